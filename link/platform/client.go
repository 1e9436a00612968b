package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
)

// Client is the Store over HTTP/1.1 with JSON. It is safe for concurrent use.
//
// A write is one send on the wire. What goes wrong otherwise: a write that the transport repeats by itself
// can take effect, then meet its own effect and report a conflict that nobody caused. net/http repeats a
// request on a reused connection if it may rewind the body or finds an Idempotency-Key; writes here
// have a body that can't be rewound and no such header. Reads may be repeated.
type Client struct {
	base         string
	transport    *http.Transport
	http         *http.Client
	callTimeout  time.Duration
	watchTimeout time.Duration
	limiter      *limiter
	registry     metrics.Registry
	wire         Codec
}

// Defaults of a Client.
const (
	// DefaultCallTimeout bounds one call; the platform answers in milliseconds.
	DefaultCallTimeout = 2 * time.Second
	// DefaultWatchTimeout bounds one watch. It is above the platform's own waiting time of 20 s.
	DefaultWatchTimeout = 30 * time.Second
	// idleConnTimeout is below what servers commonly use, so that it is rarely the platform that closes
	// an idle connection: a write that meets such a closing is unconfirmed.
	idleConnTimeout = 10 * time.Second
	// maxIdleConns is above the calls that one entry has open at a time.
	maxIdleConns = 32
	// maxErrorBytes bounds what is kept of a refusal's text.
	maxErrorBytes = 512
)

// Option changes a Client.
type Option func(*Client)

// WithCallTimeout bounds each call but watches.
func WithCallTimeout(d time.Duration) Option { return func(c *Client) { c.callTimeout = d } }

// WithWatchTimeout bounds each watch; it must exceed the platform's waiting time.
func WithWatchTimeout(d time.Duration) Option { return func(c *Client) { c.watchTimeout = d } }

// WithRates bounds the calls a second; reads never use the part that is reserved for writes.
func WithRates(r Rates) Option { return func(c *Client) { c.limiter = newLimiter(r) } }

// WithMetrics counts the calls in registry, under "platform.calls.<kind>.<verb>".
func WithMetrics(registry metrics.Registry) Option { return func(c *Client) { c.registry = registry } }

// WithCodec makes the calls in another platform's form.
func WithCodec(wire Codec) Option { return func(c *Client) { c.wire = wire } }

// WithSource lets all connections come from a local address; nil: the system chooses.
func WithSource(source net.IP) Option {
	return func(c *Client) {
		if source == nil {
			return
		}
		dialer := newDialer()
		dialer.LocalAddr = &net.TCPAddr{IP: source}
		c.transport.DialContext = dialer.DialContext
	}
}

// Bounds of a connection.
const (
	// dialTimeout bounds the making of a connection; the platform answers in milliseconds. A lost first packet is sent again only
	// after a second, so another try is sooner there.
	dialTimeout = 700 * time.Millisecond
	// A waiting watch hears nothing for many seconds, so that only probes tell a connection that has gone
	// silent from a quiet kind. With these it is noticed after 3 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

func newDialer() *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
}

// errCompacted: the platform no longer has the history that a watch begins at.
var errCompacted = eris.New("history before this revision is gone")

// NewClient returns a client of the platform at baseURL, such as "http://10.0.0.1:8000".
func NewClient(baseURL string, opts ...Option) *Client {
	c := &Client{
		base:         strings.TrimRight(baseURL, "/"),
		callTimeout:  DefaultCallTimeout,
		watchTimeout: DefaultWatchTimeout,
		limiter:      newLimiter(DefaultRates),
		registry:     metrics.NewRegistry(),
		wire:         ownWire{},
		transport: &http.Transport{
			MaxIdleConns:        maxIdleConns,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleConnTimeout,
			DialContext:         newDialer().DialContext,
		},
	}
	c.http = &http.Client{
		Transport:     c.transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	return c.object(ctx, Call{Verb: VerbGet, Kind: kind, Name: name})
}

// List implements Store. Where the list has several pages, it is complete up to the first one's revision,
// and a watch from there tells again what changed while the others were read.
func (c *Client) List(ctx context.Context, kind Kind) (Changes, error) {
	call := Call{Verb: VerbList, Kind: kind}
	page, err := c.page(ctx, call)
	changes := page.Changes
	for err == nil && page.Next != "" {
		call.After = page.Next
		page, err = c.page(ctx, call)
		changes.Objects = append(changes.Objects, page.Objects...)
	}
	return changes, err
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, kind Kind, name string, version Version, value json.RawMessage) (Version, error) {
	if len(value) > MaxValueBytes {
		return 0, eris.Wrapf(ErrTooLarge, "%s/%s: %d bytes", kind, name, len(value))
	}
	object, err := c.object(ctx, Call{Verb: VerbPut, Kind: kind, Name: name, Version: version, Value: value})
	return object.Version, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, kind Kind, name string, version Version) error {
	_, err := c.do(ctx, Call{Verb: VerbDelete, Kind: kind, Name: name, Version: version})
	return err
}

// Watch implements Store. A history that the platform has dropped is replaced by a list.
func (c *Client) Watch(ctx context.Context, kind Kind, after Version) (Changes, error) {
	return c.WatchFor(ctx, kind, after, 0)
}

// WatchFor is a Watch that waits no longer than wait, or as long as the platform does where wait is 0.
func (c *Client) WatchFor(ctx context.Context, kind Kind, after Version, wait time.Duration) (Changes, error) {
	page, err := c.page(ctx, Call{Verb: VerbWatch, Kind: kind, Version: after, Wait: wait})
	if eris.Is(err, errCompacted) {
		return c.List(ctx, kind)
	}
	return page.Changes, err
}

func (c *Client) object(ctx context.Context, call Call) (Object, error) {
	body, err := c.do(ctx, call)
	if err != nil {
		return Object{}, err
	}
	object, err := c.wire.DecodeObject(call, body)
	if err != nil {
		return Object{}, eris.Wrapf(lost(call), "%s %s: %v", call.Verb, call.Kind, err)
	}
	return object, nil
}

func (c *Client) page(ctx context.Context, call Call) (Page, error) {
	body, err := c.do(ctx, call)
	if err != nil {
		return Page{}, err
	}
	page, err := c.wire.DecodePage(call, body)
	if err != nil {
		return Page{}, eris.Wrapf(lost(call), "%s %s: %v", call.Verb, call.Kind, err)
	}
	return page, nil
}

// do waits for the rate limit, makes the call and returns the body of its answer.
func (c *Client) do(ctx context.Context, call Call) ([]byte, error) {
	if err := c.limiter.wait(ctx, call.Verb.writes()); err != nil {
		return nil, eris.Wrapf(ErrThrottled, "%s %s: %v", call.Verb, call.Kind, err)
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
	metrics.GetOrRegisterCounter(name, c.registry).Inc(1)
}

// send makes the call. Once a connection was got, the platform may have taken it: only an answer of the
// platform itself can then say that a write did not take effect.
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
		return nil, eris.Wrapf(lost(call), "%s %s: %v", call.Verb, call.Kind, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusCreated {
		return nil, refusal(call, response)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, eris.Wrapf(lost(call), "%s %s: %v", call.Verb, call.Kind, err)
	}
	return body, nil
}

// oneShot hides what the reader below it is, so that net/http can't rewind it.
type oneShot struct{ io.Reader }

func (c *Client) newRequest(ctx context.Context, call Call) (*http.Request, error) {
	message, err := c.wire.Encode(call)
	if err != nil {
		return nil, err
	}
	if message.Body == nil {
		return http.NewRequestWithContext(ctx, message.Method, c.base+message.Target, nil)
	}
	request, err := http.NewRequestWithContext(ctx, message.Method, c.base+message.Target, oneShot{bytes.NewReader(message.Body)})
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(message.Body))
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// lost is the error of a call whose answer did not come.
func lost(call Call) error {
	if call.Verb.writes() {
		return ErrUnconfirmed
	}
	return ErrUnavailable
}

// refusal turns an answer that is not 200 into an error. A status that isn't the platform's own word
// (say, 502 of something in between) leaves a write unconfirmed.
func refusal(call Call, response *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	return eris.Wrapf(errorOfStatus(call, response.StatusCode), "%s %s: status %d: %s",
		call.Verb, call.Kind, response.StatusCode, strings.TrimSpace(string(text)))
}

func errorOfStatus(call Call, status int) error {
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
	return lost(call)
}
