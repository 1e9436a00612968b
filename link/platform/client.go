package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
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

// WithSource lets all connections come from a local address; nil: the system chooses.
func WithSource(source net.IP) Option {
	return func(c *Client) {
		if source == nil {
			return
		}
		dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: source}}
		c.transport.DialContext = dialer.DialContext
	}
}

// NewClient returns a client of the platform at baseURL, such as "http://10.0.0.1:8000".
func NewClient(baseURL string, opts ...Option) *Client {
	c := &Client{
		base:         strings.TrimRight(baseURL, "/"),
		callTimeout:  DefaultCallTimeout,
		watchTimeout: DefaultWatchTimeout,
		limiter:      newLimiter(DefaultRates),
		registry:     metrics.NewRegistry(),
		transport: &http.Transport{
			MaxIdleConns:        maxIdleConns,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleConnTimeout,
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

// verb names a call for the count of calls.
type verb string

const (
	verbGet    verb = "get"
	verbList   verb = "list"
	verbPut    verb = "put"
	verbDelete verb = "delete"
	verbWatch  verb = "watch"
)

func (v verb) writes() bool { return v == verbPut || v == verbDelete }

// call is one call on the wire.
type call struct {
	verb   verb
	method string
	kind   Kind
	url    string
	body   []byte
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	var object Object
	err := c.do(ctx, call{verb: verbGet, method: http.MethodGet, kind: kind, url: c.objectURL(kind, name)}, &object)
	return object, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, kind Kind) (Changes, error) {
	var changes Changes
	target := c.base + "/v1/objects/" + url.PathEscape(string(kind))
	err := c.do(ctx, call{verb: verbList, method: http.MethodGet, kind: kind, url: target}, &changes)
	return changes, err
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, kind Kind, name string, version Version, value json.RawMessage) (Version, error) {
	if len(value) > MaxValueBytes {
		return 0, eris.Wrapf(ErrTooLarge, "%s/%s: %d bytes", kind, name, len(value))
	}
	target := c.objectURL(kind, name) + "?version=" + formatVersion(version)
	var written Written
	err := c.do(ctx, call{verb: verbPut, method: http.MethodPut, kind: kind, url: target, body: value}, &written)
	return written.Version, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, kind Kind, name string, version Version) error {
	target := c.objectURL(kind, name) + "?version=" + formatVersion(version)
	return c.do(ctx, call{verb: verbDelete, method: http.MethodDelete, kind: kind, url: target}, nil)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, kind Kind, after Version) (Changes, error) {
	var changes Changes
	target := c.base + "/v1/watch/" + url.PathEscape(string(kind)) + "?after=" + formatVersion(after)
	err := c.do(ctx, call{verb: verbWatch, method: http.MethodGet, kind: kind, url: target}, &changes)
	return changes, err
}

// Written is the platform's answer to a write.
type Written struct {
	Version Version `json:"version"`
}

func (c *Client) objectURL(kind Kind, name string) string {
	return c.base + "/v1/objects/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}

func formatVersion(v Version) string { return strconv.FormatUint(uint64(v), 10) }

// do waits for the rate limit, makes the call and decodes its answer into reply, unless that is nil.
func (c *Client) do(ctx context.Context, call call, reply any) error {
	if err := c.limiter.wait(ctx, call.verb.writes()); err != nil {
		return eris.Wrapf(ErrThrottled, "%s %s: %v", call.verb, call.kind, err)
	}
	c.count(call)
	timeout := c.callTimeout
	if call.verb == verbWatch {
		timeout = c.watchTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.send(ctx, call, reply)
}

func (c *Client) count(call call) {
	name := "platform.calls." + string(call.kind) + "." + string(call.verb)
	metrics.GetOrRegisterCounter(name, c.registry).Inc(1)
}

// send makes the call. Once a connection was got, the platform may have taken it: only an answer of the
// platform itself can then say that a write did not take effect.
func (c *Client) send(ctx context.Context, call call, reply any) error {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := newRequest(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return eris.Wrapf(ErrUnavailable, "%s %s: %v", call.verb, call.kind, err)
	}
	response, err := c.http.Do(request)
	if err != nil && !connected.Load() {
		return eris.Wrapf(ErrUnavailable, "%s %s: %v", call.verb, call.kind, err)
	}
	if err != nil {
		return eris.Wrapf(lost(call), "%s %s: %v", call.verb, call.kind, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return refusal(call, response)
	}
	if reply == nil {
		return nil
	}
	if err := json.NewDecoder(response.Body).Decode(reply); err != nil {
		return eris.Wrapf(lost(call), "%s %s: %v", call.verb, call.kind, err)
	}
	// Read to the end, so that the connection can be used again.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorBytes))
	return nil
}

// oneShot hides what the reader below it is, so that net/http can't rewind it.
type oneShot struct{ io.Reader }

func newRequest(ctx context.Context, call call) (*http.Request, error) {
	if call.body == nil {
		return http.NewRequestWithContext(ctx, call.method, call.url, nil)
	}
	request, err := http.NewRequestWithContext(ctx, call.method, call.url, oneShot{bytes.NewReader(call.body)})
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(call.body))
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// lost is the error of a call whose answer did not come.
func lost(call call) error {
	if call.verb.writes() {
		return ErrUnconfirmed
	}
	return ErrUnavailable
}

// refusal turns an answer that is not 200 into an error. A status that isn't the platform's own word
// (say, 502 of something in between) leaves a write unconfirmed.
func refusal(call call, response *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	return eris.Wrapf(errorOfStatus(call, response.StatusCode), "%s %s: status %d: %s",
		call.verb, call.kind, response.StatusCode, strings.TrimSpace(string(text)))
}

func errorOfStatus(call call, status int) error {
	switch status {
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case http.StatusTooManyRequests:
		return ErrThrottled
	case http.StatusServiceUnavailable, http.StatusBadRequest, http.StatusForbidden, http.StatusMethodNotAllowed:
		return ErrUnavailable
	}
	return lost(call)
}
