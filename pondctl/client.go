package pondctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/admin"
)

// maxAnswerBytes limits the size of a response. For scale, a timeline of 10,000 events is about 3 MB.
const maxAnswerBytes = 64 << 20

// client calls the admin API of an entry. Every call may be repeated, also at another entry: reads change nothing,
// and an apply takes effect only once because its change ID identifies it.
type client struct {
	addresses []string
	token     string
	http      http.Client
}

func newClient(args Args) *client {
	c := &client{token: args.Token, http: http.Client{Timeout: args.Timeout}}
	for address := range strings.SplitSeq(args.Entries, ",") {
		if address = strings.TrimSpace(address); address == "" {
			continue
		}
		if !strings.Contains(address, "://") {
			address = "http://" + address
		}
		c.addresses = append(c.addresses, strings.TrimSuffix(address, "/"))
	}
	return c
}

// call tries the entries in order until one responds without a server error. Status 409 or 422 in response to an apply is
// not an error: the response decoded into into then describes the conflict or the faults.
func (c *client) call(ctx context.Context, method, path string, body, into any) error {
	if len(c.addresses) == 0 {
		return eris.Wrap(ErrUsage, "no entry to ask: give --entries or POND_ENTRIES")
	}
	var last error
	for _, address := range c.addresses {
		retry, err := c.ask(ctx, address, method, path, body, into)
		if err == nil || !retry || ctx.Err() != nil {
			return err
		}
		last = err
	}
	return last
}

// ask calls a single entry. retry reports that the call failed and another entry may succeed.
func (c *client) ask(ctx context.Context, address, method, path string, body, into any) (retry bool, err error) {
	request, err := c.request(ctx, address+path, method, body)
	if err != nil {
		return false, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return true, eris.Wrap(err, "no answer")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return true, eris.Wrapf(err, "the answer of %s broke off", address)
	}
	result := response.StatusCode == http.StatusConflict || response.StatusCode == http.StatusUnprocessableEntity
	if response.StatusCode >= http.StatusBadRequest && !(result && path == admin.ApplyPath) {
		return response.StatusCode >= http.StatusInternalServerError, problemError(address, response.StatusCode, data)
	}
	if into == nil {
		return false, nil
	}
	return false, eris.Wrapf(json.Unmarshal(data, into), "the answer of %s can't be read", address)
}

func (c *client) request(ctx context.Context, target, method string, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, eris.Wrap(err, "encode the request")
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, target, reader)
	if err != nil {
		return nil, eris.Wrapf(ErrUsage, "bad address: %v", err)
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// problemError formats an error response of an entry for an operator.
func problemError(address string, status int, data []byte) error {
	var problem contract.Problem
	if json.Unmarshal(data, &problem) != nil || problem.Message == "" {
		return eris.Errorf("%s answered %d", address, status)
	}
	text := fmt.Sprintf("%s: %s", address, problem.Message)
	switch problem.Outcome {
	case contract.OutcomeUnknown:
		text += " (it may have been done)"
	case contract.OutcomeNotRun:
		text += " (nothing was changed)"
	}
	if problem.Hint != "" {
		text += "; " + problem.Hint
	}
	return eris.New(text)
}

// get requests a path with a query and decodes the response.
func get[T any](ctx context.Context, c *client, path string, query url.Values) (T, error) {
	var answer T
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	err := c.call(ctx, http.MethodGet, path, nil, &answer)
	return answer, err
}

// statusPollInterval is the interval at which apply --wait polls the status.
const statusPollInterval = 500 * time.Millisecond
