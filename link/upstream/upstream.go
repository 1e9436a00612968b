// Package upstream sends requests to backend servers unmodified, each exactly once.
//
// The net/http client is unsuitable for requests that must not be repeated: it resends a request on its own
// when a reused connection turns out to be closed, and it doesn't report whether anything was sent. This
// package writes each request once to one connection, and its errors state whether the server can have seen it.
package upstream

import (
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/backend"
)

// Errors returned by Send. Every failure wraps one of them.
var (
	// ErrNotSent means that no byte of the request was written to a connection. The request has not run.
	ErrNotSent = eris.New("request was not sent")
	// ErrNotPermitted means that Request.Permit or the pool's permit has prevented the request from being sent. It has not run.
	ErrNotPermitted = eris.New("request was withheld")
	// ErrOutcomeUnknown means that the request was sent in whole or in part and no response arrived. It may have
	// run.
	ErrOutcomeUnknown = eris.New("request was sent and has no answer")
)

// Endpoint identifies one incarnation of a backend server. Idle connections are kept per endpoint rather than
// per address, because addresses are reused.
type Endpoint struct {
	ID      backend.ID
	Address string
	Born    int64
}

// EndpointOf returns the endpoint of a server.
func EndpointOf(server *backend.Server) Endpoint {
	return Endpoint{ID: server.ID, Address: server.Address, Born: server.StartedAtMillis}
}

// Request is a request to a backend server. Only framing headers are added to Header.
type Request struct {
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Matches reports whether a response belongs to this request; nil accepts every response. A response that
	// doesn't match is skipped, because a faulty server may send a response twice and the second copy would then
	// arrive in place of the next response.
	Matches func(header http.Header) bool
	// Permit reports whether the request may still be sent; nil permits it. It is asked when a connection is ready, which may take a while.
	Permit func() bool
}

// Connection limits.
const (
	// dialTimeout limits one connection attempt. Servers are a few milliseconds away, and a server that is gone
	// doesn't respond at all.
	dialTimeout = 200 * time.Millisecond
	// dialAttempts is two because a single lost packet would delay one attempt by a second.
	dialAttempts = 2
	// defaultIdleTimeout is how long an idle connection is kept if the server doesn't announce a shorter timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the timeout that a server announces, so that the server rarely closes
	// the connection first: a request sent on a connection that is being closed has an unknown outcome.
	idleTimeoutMargin = 500 * time.Millisecond
	// maxIdlePerServer limits the idle connections to one server.
	maxIdlePerServer = 16
	// maxHeadBytes limits the heads that are read until the response to one request, skipped ones included. A faulty server may send one without
	// end.
	maxHeadBytes = 64 << 10
	// maxSkippedBytes limits the body of a skipped response. A larger one closes the connection.
	maxSkippedBytes = 256 << 10
	// maxSkippedResponses limits the interim and mismatched responses skipped before one response.
	maxSkippedResponses = 2
	// maxInlineBody is the largest body that is written before the response is read. A larger body is written
	// concurrently, because the server may respond before it has read all of it.
	maxInlineBody = 32 << 10
	// readBufferSize is the read buffer size in bytes. It fits the response headers and a few events of a stream.
	readBufferSize = 2 << 10
)
