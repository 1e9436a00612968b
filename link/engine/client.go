package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// HTTPClient is the Client over HTTP/1.1.
//
// Requests of callers go out on a connection of their own. What goes wrong on a reused one: net/http sends
// a request again by itself when the connection turns out to be closed (each GET, and whatever carries an
// Idempotency-Key), so that a booking runs twice; and where it does not, a backend server that was
// restarted since the last request makes the next one fail after it may have been sent, so that a
// request that never ran has to be called unknown. A fresh connection is never retried, and a failure to
// make it proves that nothing was sent. It costs one round trip within the place. Probes, orders and
// cancellations are idempotent and share connections.
type HTTPClient struct {
	control  *http.Client
	requests *http.Client
}

// Bounds of an HTTPClient.
const (
	// dialTimeout bounds the making of a connection; within a place it takes a few milliseconds, or a second
	// and a bit if the first packet is lost.
	dialTimeout = 2 * time.Second
	// idleConnTimeout closes connections to backend servers that are no longer probed.
	idleConnTimeout = 30 * time.Second
	// controlTimeout bounds an order or a cancellation that has no deadline of its own.
	controlTimeout = 2 * time.Second
	maxStateBytes  = 1 << 20
	maxReasonBytes = 512
)

// NewHTTPClient returns a client whose connections come from source, or from an address that the system
// chooses if source is nil.
func NewHTTPClient(source net.IP) *HTTPClient {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: source}
	}
	return &HTTPClient{
		control: newClient(&http.Transport{
			DialContext:         dialer.DialContext,
			IdleConnTimeout:     idleConnTimeout,
			MaxIdleConnsPerHost: 2,
		}),
		requests: newClient(&http.Transport{
			DialContext:        dialer.DialContext,
			DisableKeepAlives:  true,
			DisableCompression: true, // answers are passed on as they are
		}),
	}
}

func newClient(transport *http.Transport) *http.Client {
	return &http.Client{
		Transport: transport,
		// A redirect is the backend server's answer, not an order to send the request elsewhere.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Refusal is the error of a request that the backend server answered without running it. It is ErrRefused.
type Refusal struct {
	Status int
	Reason string
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%v: status %d: %s", ErrRefused, r.Status, r.Reason)
}

// Is makes a Refusal an ErrRefused.
func (r *Refusal) Is(target error) bool { return target == ErrRefused }

// Probe implements Client. It takes ProbeTimeout at most.
func (c *HTTPClient) Probe(ctx context.Context, address string) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	request, err := newRequest(ctx, http.MethodGet, address, "/engine/v1/state", nil)
	if err != nil {
		return State{}, err
	}
	return c.state(request)
}

// Order implements Client. It takes no longer than the order's deadline.
func (c *HTTPClient) Order(ctx context.Context, address string, order Order) (State, error) {
	timeout := controlTimeout
	if order.DeadlineMillis > 0 {
		timeout = time.Duration(order.DeadlineMillis) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(order)
	if err != nil {
		return State{}, eris.Wrap(err, "order")
	}
	request, err := newRequest(ctx, http.MethodPost, address, "/engine/v1/orders", bytes.NewReader(body))
	if err != nil {
		return State{}, err
	}
	state, err := c.state(request)
	var refusal *Refusal
	if eris.As(err, &refusal) && refusal.Status == http.StatusConflict {
		return state, eris.Wrap(ErrStaleFence, refusal.Reason)
	}
	if eris.As(err, &refusal) && refusal.Status == http.StatusPreconditionFailed {
		return state, eris.Wrap(ErrBootMismatch, refusal.Reason)
	}
	return state, err
}

// Cancel implements Client. A request that the backend server doesn't know is over: no error.
func (c *HTTPClient) Cancel(ctx context.Context, address, requestID string) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	path := "/engine/v1/cancel/" + url.PathEscape(requestID)
	request, err := newRequest(ctx, http.MethodPost, address, path, nil)
	if err != nil {
		return err
	}
	response, err := send(c.control, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK || response.StatusCode == http.StatusNotFound {
		return nil
	}
	return refusalOf(response)
}

// Complete implements Client. ctx bounds the whole stream.
func (c *HTTPClient) Complete(ctx context.Context, to Target, body []byte) (Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	request, err := newRequest(ctx, http.MethodPost, to.Address, "/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Accept", "text/event-stream")
	to.setHeader(request.Header)
	response, err := send(c.requests, request)
	if err != nil {
		cancel()
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		defer cancel()
		defer response.Body.Close()
		return nil, refusalOf(response)
	}
	return newStream(response.Body, cancel), nil
}

// Call implements Client. Every answer of the service is returned as it is, whatever its status, unless
// it carries HeaderRefused: that is a Refusal.
func (c *HTTPClient) Call(ctx context.Context, to Target, method, path string, header http.Header, body io.Reader) (*http.Response, error) {
	request, err := newRequest(ctx, method, to.Address, path, body)
	if err != nil {
		return nil, err
	}
	request.Header = endToEnd(header)
	to.setHeader(request.Header)
	response, err := send(c.requests, request)
	if err != nil {
		return nil, err
	}
	if response.Header.Get(HeaderRefused) != "" {
		defer response.Body.Close()
		return nil, refusalOf(response)
	}
	return response, nil
}

func (s Target) setHeader(header http.Header) {
	header.Set(HeaderRequest, s.RequestID)
	header.Set(HeaderGroup, string(s.Group))
	header.Set(HeaderEpoch, strconv.FormatUint(s.Epoch, 10))
	header.Set(HeaderPriority, strconv.Itoa(s.Priority))
	header.Set(HeaderService, s.Service)
	if s.ResumeFrom > 0 {
		header.Set(HeaderResumeFrom, strconv.FormatUint(s.ResumeFrom, 10))
	}
}

// state makes a call that answers with a State.
func (c *HTTPClient) state(request *http.Request) (State, error) {
	var state State
	response, err := send(c.control, request)
	if err != nil {
		return state, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return state, refusalOf(response)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxStateBytes))
	if err == nil {
		err = json.Unmarshal(body, &state)
	}
	if err != nil {
		return state, eris.Wrap(ErrInterrupted, err.Error())
	}
	return state, nil
}

// oneShot hides what the reader below it is, so that net/http can't rewind it.
type oneShot struct{ io.Reader }

// newRequest makes a request whose body can be sent once only. Its errors are ErrNotSent.
func newRequest(ctx context.Context, method, address, path string, body io.Reader) (*http.Request, error) {
	if !strings.HasPrefix(path, "/") {
		// Without this, a path such as "@host/" would change where the request goes.
		return nil, eris.Wrapf(ErrNotSent, "path %q does not begin with /", path)
	}
	length := int64(-1)
	switch sized, ok := body.(interface{ Len() int }); {
	case body == nil || ok && sized.Len() == 0:
		length, body = 0, http.NoBody
	case ok:
		length, body = int64(sized.Len()), oneShot{body}
	default:
		body = oneShot{body}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	request.ContentLength = length
	return request, nil
}

// send returns ErrNotSent if no connection was got, and ErrInterrupted if one was: the request may then have
// been taken.
func send(client *http.Client, request *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	response, err := client.Do(request)
	switch {
	case err == nil:
		return response, nil
	case connected.Load():
		return nil, eris.Wrap(ErrInterrupted, err.Error())
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, fmt.Errorf("%w: %w: %w", ErrNotSent, ErrConnectionRefused, err)
	default:
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
}

// refusalOf turns an answer that isn't 200 into an error. A status of 500 and above that is not a
// refusal leaves open whether the request ran.
func refusalOf(response *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxReasonBytes))
	refusal := &Refusal{Status: response.StatusCode, Reason: strings.TrimSpace(string(text))}
	if reason := response.Header.Get(HeaderRefused); reason != "" {
		refusal.Reason = reason
		return refusal
	}
	refused := response.StatusCode == http.StatusServiceUnavailable ||
		response.StatusCode >= http.StatusBadRequest && response.StatusCode < http.StatusInternalServerError
	if refused {
		return refusal
	}
	return eris.Wrapf(ErrInterrupted, "status %d: %s", refusal.Status, refusal.Reason)
}
