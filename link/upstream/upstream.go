// Package upstream sends requests to backend servers as they are, each exactly once on the wire.
//
// net/http's own client won't do for requests that may not be repeated: it sends again by itself when a kept connection
// turns out to be closed, and it does not tell whether anything was sent. Here a request is written once to
// one connection, and an error says whether the server can have seen it.
package upstream

import (
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/backend"
)

// Errors of Send. Every failure is wrapped into one of them.
var (
	// ErrNotSent: no byte of the request was given to a connection. It has not run.
	ErrNotSent = eris.New("request was not sent")
	// ErrOutcomeUnknown: the request was sent, wholly or in part, and has no answer. It may have run.
	ErrOutcomeUnknown = eris.New("request was sent and has no answer")
)

// Endpoint is one life of one backend server. Connections are kept by endpoint, since addresses are used again.
type Endpoint struct {
	ID      backend.ID
	Address string
	Born    int64
}

// EndpointOf returns the endpoint of a server.
func EndpointOf(server *backend.Server) Endpoint {
	return Endpoint{ID: server.ID, Address: server.Address, Born: server.Born}
}

// Request is what is sent. Nothing is added to Header but the framing.
type Request struct {
	Method string
	// Target is the path and query, as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Matches says whether an answer belongs to this request. One that does not is skipped: a faulty server
	// may send an answer twice, and the second copy comes where the next answer is due.
	Matches func(header http.Header) bool
}

// Bounds of connections.
const (
	// dialTimeout bounds one try to connect. Servers are within a few milliseconds; a server that is gone does not answer.
	dialTimeout = 200 * time.Millisecond
	// dialTries is two, since one lost packet holds a connection up for a second.
	dialTries = 2
	// keptIdle is how long an idle connection is kept where the server names no time of its own.
	keptIdle = 4 * time.Second
	// keptMargin is taken off the time that a server names, so that it is rarely the server that closes first:
	// a request that meets such a closing has an unknown outcome.
	keptMargin = 500 * time.Millisecond
	// keptPerServer bounds the idle connections to one server.
	keptPerServer = 16
	// maxForeign is how many answers of other requests are skipped on one connection.
	maxForeign = 2
	// inlineBody is the largest body that is written before the answer is read. A larger one is written beside
	// it, since a server may answer before it has read the whole.
	inlineBody = 32 << 10
	// readBuffer holds the answers' headers and some events of a stream, in bytes.
	readBuffer = 2 << 10
)
