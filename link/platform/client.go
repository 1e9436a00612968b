package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/link/framing"
)

// Client implements Store over HTTP/1.1 with JSON. It is safe for concurrent use.
//
// Each write is sent exactly once. If the transport retried a write on its own, the retry could see the
// effect of the first attempt and report a conflict that no other writer caused. net/http retries a request
// on a reused connection if the body can be rewound or the request carries an Idempotency-Key. Writes
// therefore use a body that can't be rewound and don't set that header. Reads may be retried.
type Client struct {
	base         string
	transport    *http.Transport
	http         *http.Client
	callTimeout  time.Duration
	watchTimeout time.Duration
	limiter      *limiter
	registry     metrics.Registry
	codec        Codec
	unreadables  unreadables
}

// Client defaults.
const (
	// DefaultCallTimeout limits one call. The platform usually responds within milliseconds.
	DefaultCallTimeout = 2 * time.Second
	// DefaultWatchTimeout limits one watch. It exceeds the platform's own wait limit of 20 s.
	DefaultWatchTimeout = 30 * time.Second
	// idleConnTimeout is shorter than common server-side idle timeouts, so that the platform rarely closes
	// an idle connection first: a write sent on a connection that is being closed ends unconfirmed.
	idleConnTimeout = 10 * time.Second
	// maxIdleConns exceeds the number of calls that one entry has open at a time.
	maxIdleConns = 32
	// maxResponseBytes limits a response: a page of a list holds a few values. maxHeadBytes limits its head.
	maxResponseBytes = 16 << 20
	// maxWatchBytes limits the response to a watch. It holds every change of an object, so that beyond the size of a few values a list,
	// which holds each object once, is smaller.
	maxWatchBytes = 4 << 20
	maxHeadBytes  = 64 << 10
	// maxErrorBytes limits how much of an error response body is kept.
	maxErrorBytes = 512
)

// Option configures a Client.
type Option func(*Client)

// WithCallTimeout sets the timeout of every call except watches.
func WithCallTimeout(d time.Duration) Option { return func(c *Client) { c.callTimeout = d } }

// WithWatchTimeout sets the timeout of each watch. It must exceed the platform's wait limit.
func WithWatchTimeout(d time.Duration) Option { return func(c *Client) { c.watchTimeout = d } }

// WithRates sets the call rate limits. Reads never use the rate reserved for writes.
func WithRates(r Rates) Option { return func(c *Client) { c.limiter = newLimiter(r) } }

// WithMetrics counts calls in registry under "platform.calls.<kind>.<verb>".
func WithMetrics(registry metrics.Registry) Option { return func(c *Client) { c.registry = registry } }

// WithCodec selects the message format of another platform implementation.
func WithCodec(codec Codec) Option { return func(c *Client) { c.codec = codec } }

// WithSource binds all connections to a local address. If source is nil, the system chooses one.
func WithSource(source net.IP) Option {
	return func(c *Client) {
		if source == nil {
			return
		}
		dialer := newDialer()
		dialer.LocalAddr = &net.TCPAddr{IP: source}
		c.transport.DialContext = framing.ReportResets(dialer.DialContext)
	}
}

// Connection limits.
const (
	// dialTimeout limits connection establishment; the platform responds in milliseconds. A lost SYN is
	// retransmitted only after 1 s, so dialing again is faster than waiting for the retransmission.
	dialTimeout = 700 * time.Millisecond
	// A pending watch can receive no data for many seconds, so only keep-alive probes distinguish a dead
	// connection from a kind without changes. These values detect a dead connection after 3 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

func newDialer() *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
}

// errCompacted is returned when the platform has discarded the history from which a watch starts.
var errCompacted = eris.New("history before this revision is gone")

// NewClient returns a client for the platform at baseURL, for example "http://10.0.0.1:8000".
func NewClient(baseURL string, opts ...Option) *Client {
	c := &Client{
		base:         strings.TrimRight(baseURL, "/"),
		callTimeout:  DefaultCallTimeout,
		watchTimeout: DefaultWatchTimeout,
		limiter:      newLimiter(DefaultRates),
		registry:     metrics.NewRegistry(),
		codec:        standinCodec{},
		transport: &http.Transport{
			MaxIdleConns:        maxIdleConns,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleConnTimeout,
			DialContext:         framing.ReportResets(newDialer().DialContext),

			MaxResponseHeaderBytes: maxHeadBytes,
		},
	}
	c.http = &http.Client{
		Transport:     framing.Checked(c.transport),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	return c.doObject(ctx, Call{Verb: VerbGet, Kind: kind, Name: name})
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, kind Kind, name string, version Version, value json.RawMessage) (Version, error) {
	if len(value) > MaxValueBytes {
		return 0, eris.Wrapf(ErrTooLarge, "%s/%s: %d bytes", kind, name, len(value))
	}
	object, err := c.doObject(ctx, Call{Verb: VerbPut, Kind: kind, Name: name, Version: version, Value: value})
	return object.Version, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, kind Kind, name string, version Version) error {
	_, err := c.do(ctx, Call{Verb: VerbDelete, Kind: kind, Name: name, Version: version})
	return err
}

// Watch implements Store. It falls back to a list if the platform has discarded the requested history, if its response is larger than
// maxWatchBytes or ends before it is complete (the same watch would have the same response), or if it returns a change of an object without a
// name that can be read.
func (c *Client) Watch(ctx context.Context, kind Kind, after Version) (Changes, error) {
	return c.WatchFor(ctx, kind, after, 0)
}

// WatchFor is like Watch but waits no longer than wait. If wait is 0, the platform's wait limit applies.
func (c *Client) WatchFor(ctx context.Context, kind Kind, after Version, wait time.Duration) (Changes, error) {
	page, err := c.doPage(ctx, Call{Verb: VerbWatch, Kind: kind, Version: after, Wait: wait})
	if eris.Is(err, ErrIncomplete) {
		metrics.GetOrRegisterCounter("platform.incomplete."+string(kind), c.registry).Inc(1)
	}
	nameless := err == nil && c.unreadables.mustList(kind, page.Nameless != nil)
	if nameless || eris.Is(err, errCompacted) || eris.Is(err, ErrIncomplete) {
		return c.List(ctx, kind)
	}
	return page.Changes, err
}

func (c *Client) doObject(ctx context.Context, call Call) (Object, error) {
	body, err := c.do(ctx, call)
	if err != nil {
		return Object{}, err
	}
	object, err := c.codec.DecodeObject(call, body)
	if err != nil {
		return Object{}, eris.Wrapf(noResponseError(call), "%s %s: %v", call.Verb, call.Kind, err)
	}
	return object, nil
}

func (c *Client) doPage(ctx context.Context, call Call) (Page, error) {
	body, err := c.do(ctx, call)
	if err != nil {
		return Page{}, err
	}
	page, err := c.codec.DecodePage(call, body)
	if err != nil {
		return Page{}, eris.Wrapf(noResponseError(call), "%s %s: %v", call.Verb, call.Kind, err)
	}
	c.unreadables.note(call.Kind, page)
	return page, nil
}

// do waits for the rate limiter, makes the call and returns the response body.
func (c *Client) do(ctx context.Context, call Call) ([]byte, error) {
	if !call.Stale {
		if err := c.limiter.wait(ctx, call.Verb.writes()); err != nil {
			return nil, eris.Wrapf(ErrThrottled, "%s %s: %v", call.Verb, call.Kind, err)
		}
	}
	c.count(call)
	timeout := c.callTimeout
	if call.Verb == VerbWatch {
		timeout = c.watchTimeout
		if call.Wait > 0 {
			timeout = call.Wait + c.callTimeout
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.send(ctx, call)
}

func (c *Client) count(call Call) {
	name := "platform.calls." + string(call.Kind) + "." + string(call.Verb)
	if call.Stale {
		name += ".stale"
	}
	metrics.GetOrRegisterCounter(name, c.registry).Inc(1)
}

// send makes the call. Once a connection has been obtained, the platform may have received the request, so
// only a response from the platform itself proves that a write did not take effect.
func (c *Client) send(ctx context.Context, call Call) ([]byte, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return nil, eris.Wrapf(ErrUnavailable, "%s %s: %v", call.Verb, call.Kind, err)
	}
	response, err := c.http.Do(request)
	if err != nil && !connected.Load() {
		return nil, eris.Wrapf(ErrUnavailable, "%s %s: %v", call.Verb, call.Kind, err)
	}
	if err != nil {
		return nil, unansweredError(call, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusCreated {
		return nil, statusError(call, response)
	}
	limit := maxResponseBytes
	if call.Verb == VerbWatch {
		limit = maxWatchBytes
	}
	return readBody(call, response, limit)
}

// readBody returns the body of a response, unless it is larger than limit.
func readBody(call Call, response *http.Response, limit int) ([]byte, error) {
	if response.ContentLength > int64(limit) {
		return nil, incompleteError(call, eris.Errorf("%d bytes, over %d", response.ContentLength, limit))
	}
	var body bytes.Buffer
	if response.ContentLength > 0 {
		body.Grow(int(response.ContentLength) + bytes.MinRead) // a body of a known length is read without copies
	}
	if _, err := body.ReadFrom(io.LimitReader(response.Body, int64(limit)+1)); err != nil {
		return nil, incompleteError(call, err)
	}
	if body.Len() > limit {
		return nil, incompleteError(call, eris.Errorf("over %d bytes", limit))
	}
	return body.Bytes(), nil
}

// nonRewindable hides the concrete type of its reader so that net/http can't rewind it.
type nonRewindable struct{ io.Reader }

func (c *Client) newRequest(ctx context.Context, call Call) (*http.Request, error) {
	message, err := c.codec.Encode(call)
	if err != nil {
		return nil, err
	}
	if message.Body == nil {
		return http.NewRequestWithContext(ctx, message.Method, c.base+message.Target, nil)
	}
	request, err := http.NewRequestWithContext(ctx, message.Method, c.base+message.Target, nonRewindable{bytes.NewReader(message.Body)})
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(message.Body))
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// noResponseError returns the error for a call that received no usable response.
func noResponseError(call Call) error {
	if call.Verb.writes() {
		return ErrUnconfirmed
	}
	return ErrUnavailable
}

// readError is the failure of a read. It matches ErrUnavailable and what it wraps, ErrIncomplete or ErrTimeout.
type readError struct{ error }

func (e readError) Unwrap() error        { return e.error }
func (e readError) Is(target error) bool { return target == ErrUnavailable }

// incompleteError returns the error for a response that began but could not be read whole.
func incompleteError(call Call, cause error) error {
	if call.Verb.writes() {
		return eris.Wrapf(ErrUnconfirmed, "%s %s: %v", call.Verb, call.Kind, cause)
	}
	return readError{eris.Wrapf(ErrIncomplete, "%s %s: %v", call.Verb, call.Kind, cause)}
}

// unansweredError returns the error for a call without the beginning of a response.
func unansweredError(call Call, cause error) error {
	if !call.Verb.writes() && errors.Is(cause, context.DeadlineExceeded) {
		return readError{eris.Wrapf(ErrTimeout, "%s %s: %v", call.Verb, call.Kind, cause)}
	}
	return eris.Wrapf(noResponseError(call), "%s %s: %v", call.Verb, call.Kind, cause)
}

// statusError converts an unsuccessful response to an error. A status that the platform itself doesn't use
// (for example, 502 from a proxy) leaves a write unconfirmed.
func statusError(call Call, response *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	return eris.Wrapf(errorForStatus(call, response.StatusCode), "%s %s: status %d: %s",
		call.Verb, call.Kind, response.StatusCode, strings.TrimSpace(string(text)))
}

func errorForStatus(call Call, status int) error {
	switch status {
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusPreconditionFailed, http.StatusConflict:
		return ErrConflict
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case http.StatusGone:
		return errCompacted
	case http.StatusTooManyRequests:
		return ErrThrottled
	case http.StatusServiceUnavailable, http.StatusBadRequest, http.StatusForbidden, http.StatusMethodNotAllowed:
		return ErrUnavailable
	}
	return noResponseError(call)
}
