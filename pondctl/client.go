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

// maxAnswerBytes bounds an answer: a time line of 10,000 events is some 3 MB.
const maxAnswerBytes = 64 << 20

// client calls the admin address of an entry. Every call may be sent again, to another entry too: reads
// change nothing, and an apply is taken once by its change id.
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

// call asks one entry after the other until one answers. An answer of 409 or 422 to an apply is no error:
// into then says what it is.
func (c *client) call(ctx context.Context, method, path string, body, into any) error {
	if len(c.addresses) == 0 {
		return eris.Wrap(ErrUsage, "no entry to ask: give --entries or POND_ENTRIES")
	}
	var last error
	for _, address := range c.addresses {
		again, err := c.ask(ctx, address, method, path, body, into)
		if err == nil || !again || ctx.Err() != nil {
			return err
		}
		last = err
	}
	return last
}

// ask asks one entry; again says that another one may do better.
func (c *client) ask(ctx context.Context, address, method, path string, body, into any) (again bool, err error) {
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
		return response.StatusCode >= http.StatusInternalServerError, refusal(address, response.StatusCode, data)
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

// refusal words an entry's problem for an operator.
func refusal(address string, status int, data []byte) error {
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

func get[T any](ctx context.Context, c *client, path string, query url.Values) (T, error) {
	var answer T
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	err := c.call(ctx, http.MethodGet, path, nil, &answer)
	return answer, err
}

// pollPause is the pause between two looks at the status.
const pollPause = 500 * time.Millisecond
