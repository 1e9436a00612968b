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

	"github.com/skylarkpond/skylarkpond/internal/descriptors"
	"github.com/skylarkpond/skylarkpond/link/framing"
	"github.com/skylarkpond/skylarkpond/link/ratelimit"
	"github.com/skylarkpond/skylarkpond/link/retryafter"
)

// HTTPClient implements Client over HTTP/1.1.
//
// Each caller request uses a new connection. On a reused connection that turns out to be closed, net/http
// resends a GET, or any request that carries an Idempotency-Key, on its own, so a booking could run twice.
// Requests that it does not resend fail after they may have been sent if the backend server restarted since
// the previous request, so a request that never ran would have an unknown outcome. A request on a new
// connection is never resent, and a failure to connect proves that nothing was sent. The cost is one round
// trip within a place. Probes, orders and cancellations are idempotent and reuse connections.
type HTTPClient struct {
	control  *http.Client
	requests *http.Client
	opened   descriptors.Counter
}

// Limits of an HTTPClient.
const (
	// dialTimeout limits connection establishment. Within a place it takes a few milliseconds, or a little over
	// 1 s if the first packet is lost.
	dialTimeout = 2 * time.Second
	// idleConnTimeout closes connections to backend servers that are no longer probed.
	idleConnTimeout = 30 * time.Second
	// controlTimeout limits cancellations, and orders without a deadline of their own.
	controlTimeout = 2 * time.Second
	maxStateBytes  = 1 << 20
	maxReasonBytes = 512
	// maxHeadBytes limits the head of a response.
	maxHeadBytes = 64 << 10
)

// NewHTTPClient returns a client whose connections originate from source. If source is nil, the system
// chooses the local address.
func NewHTTPClient(source net.IP) *HTTPClient {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: source}
	}
	c := &HTTPClient{}
	dial := framing.ReportResets(c.opened.Wrap(dialer.DialContext))
	c.control = newClient(&http.Transport{
		DialContext:         dial,
		IdleConnTimeout:     idleConnTimeout,
		MaxIdleConnsPerHost: 2,

		MaxResponseHeaderBytes: maxHeadBytes,
	})
	c.requests = newClient(&http.Transport{
		DialContext:        dial,
		DisableKeepAlives:  true,
		DisableCompression: true, // responses are forwarded unmodified

		MaxResponseHeaderBytes: maxHeadBytes,
	})
	return c
}

// OpenCount returns the number of open connections to backend servers.
func (c *HTTPClient) OpenCount() int { return c.opened.Open() }

func newClient(transport *http.Transport) *http.Client {
	return &http.Client{
		Transport: framing.Checked(transport),
		// A redirect is the backend server's response and is returned as is rather than followed.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Refusal is the error for a request that the backend server rejected without running it. It matches
// ErrRefused.
type Refusal struct {
	Status int
	Reason string
	// RetryAfter is how long the server wants no requests; 0 if it asks for no pause. Only a 503 does.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%v: status %d: %s", ErrRefused, r.Status, r.Reason)
}

// Is reports whether target is ErrRefused.
func (r *Refusal) Is(target error) bool { return target == ErrRefused }

// Probe implements Client. It takes at most ProbeTimeout.
func (c *HTTPClient) Probe(ctx context.Context, address string) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	request, err := newRequest(ctx, http.MethodGet, address, "/engine/v1/state", nil)
	if err != nil {
		return State{}, err
	}
	return c.doState(request)
}

// Order implements Client. It takes no longer than the order's deadline, or controlTimeout if it has none.
func (c *HTTPClient) Order(ctx context.Context, address string, order Order) (State, error) {
	timeout := controlTimeout
	if order.DeadlineMillis > 0 {
		timeout = time.Duration(order.DeadlineMillis) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(order)
	if err != nil {
		return State{}, eris.Wrap(err, "encoding the order")
	}
	request, err := newRequest(ctx, http.MethodPost, address, "/engine/v1/orders", bytes.NewReader(body))
	if err != nil {
		return State{}, err
	}
	state, err := c.doState(request)
	var refusal *Refusal
	if eris.As(err, &refusal) && refusal.Status == http.StatusConflict {
		return state, eris.Wrap(ErrStaleFence, refusal.Reason)
	}
	if eris.As(err, &refusal) && refusal.Status == http.StatusPreconditionFailed {
		return state, eris.Wrap(ErrBootMismatch, refusal.Reason)
	}
	return state, err
}

// Cancel implements Client. A request unknown to the backend server has already ended, which is not an error.
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
	return responseError(response)
}

// Complete implements Client. ctx limits the whole stream.
func (c *HTTPClient) Complete(ctx context.Context, target Target, body []byte) (Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	request, err := newRequest(ctx, http.MethodPost, target.Address, "/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Accept", "text/event-stream")
	target.setHeader(request.Header)
	response, err := send(c.requests, request)
	if err != nil {
		cancel()
		return nil, err
	}
	target.observe(response.Header)
	if response.StatusCode != http.StatusOK {
		defer cancel()
		defer response.Body.Close()
		return nil, responseError(response)
	}
	return newStream(response.Body, cancel), nil
}

// Call implements Client. It returns every response of the service as is, whatever its status, except one
// that carries HeaderRefused, which it returns as a Refusal.
func (c *HTTPClient) Call(ctx context.Context, target Target, method, path string, header http.Header, body io.Reader) (*http.Response, error) {
	request, err := newRequest(ctx, method, target.Address, path, body)
	if err != nil {
		return nil, err
	}
	request.Header = forwardedHeader(header)
	target.setHeader(request.Header)
	response, err := send(c.requests, request)
	if err != nil {
		return nil, err
	}
	target.observe(response.Header)
	if response.Header.Get(HeaderRefused) != "" {
		defer response.Body.Close()
		return nil, responseError(response)
	}
	return response, nil
}

// observe passes on the limit that the header of a response states.
func (t Target) observe(header http.Header) {
	limit, invalid := ratelimit.Decode(header.Values(HeaderRateLimit))
	if t.RateLimit != nil && (limit != nil || invalid == "") {
		t.RateLimit(limit)
	}
}

func (t Target) setHeader(header http.Header) {
	header.Set(HeaderRequest, t.RequestID)
	header.Set(HeaderGroup, string(t.Group))
	header.Set(HeaderEpoch, strconv.FormatUint(t.Epoch, 10))
	header.Set(HeaderPriority, strconv.Itoa(t.Priority))
	header.Set(HeaderService, t.Service)
	if t.ResumeFrom > 0 {
		header.Set(HeaderResumeFrom, strconv.FormatUint(t.ResumeFrom, 10))
	}
}

// doState sends a request whose response is a State.
func (c *HTTPClient) doState(request *http.Request) (State, error) {
	var state State
	response, err := send(c.control, request)
	if err != nil {
		return state, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return state, responseError(response)
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

// nonRewindable hides the concrete type of its reader so that net/http can't rewind it.
type nonRewindable struct{ io.Reader }

// newRequest returns a request whose body can be sent only once. Its errors match ErrNotSent.
func newRequest(ctx context.Context, method, address, path string, body io.Reader) (*http.Request, error) {
	if !strings.HasPrefix(path, "/") {
		// Without this check, a path such as "@host/" would change the destination host.
		return nil, eris.Wrapf(ErrNotSent, "path %q does not begin with /", path)
	}
	length := int64(-1)
	switch sized, ok := body.(interface{ Len() int }); {
	case body == nil || ok && sized.Len() == 0:
		length, body = 0, http.NoBody
	case ok:
		length, body = int64(sized.Len()), nonRewindable{body}
	default:
		body = nonRewindable{body}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	request.ContentLength = length
	return request, nil
}

// send returns ErrNotSent if no connection was obtained, and ErrInterrupted if one was, because the backend
// server may then have received the request.
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

// responseError converts a response other than 200 to an error. It returns a Refusal for 503, for 4xx, and for
// any response with HeaderRefused. Any other status leaves open whether the request ran: ErrInterrupted.
func responseError(response *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxReasonBytes))
	refusal := &Refusal{Status: response.StatusCode, Reason: strings.TrimSpace(string(text))}
	if response.StatusCode == http.StatusServiceUnavailable {
		refusal.RetryAfter, _ = retryafter.Decode(response.Header.Values("Retry-After"))
	}
	if reason := response.Header.Get(HeaderRefused); reason != "" {
		refusal.Reason = reason
		return refusal
	}
	rejected := response.StatusCode == http.StatusServiceUnavailable ||
		response.StatusCode >= http.StatusBadRequest && response.StatusCode < http.StatusInternalServerError
	if rejected {
		return refusal
	}
	return eris.Wrapf(ErrInterrupted, "status %d: %s", refusal.Status, refusal.Reason)
}
