// Package framing tells how the end of an HTTP/1.1 body is marked.
//
// A body with a length or in chunks that ends early is an error for its reader. A body that ends with its connection is not: when its
// sender dies, the kernel closes the connection in the same way as the sender does at the end of a complete body.
package framing

import (
	"context"
	"net"
	"net/http"
)

// Framing is the way in which the end of a body is marked.
type Framing string

// The framings.
const (
	// Length: the header states the length, or there is no body.
	Length Framing = "length"
	// Chunked: the last chunk marks the end.
	Chunked Framing = "chunked"
	// Closed: the body ends with its connection, so that a complete body can't be told from one that was cut off.
	Closed Framing = "closed"
)

// Of returns the framing of a response that was read from a connection.
func Of(response *http.Response) Framing {
	switch {
	case response.ContentLength >= 0 || response.Body == http.NoBody:
		return Length
	case len(response.TransferEncoding) > 0:
		return Chunked
	default:
		return Closed
	}
}

// identity is the transfer encoding with which net/http ends a body with its connection. The header itself is not sent.
const (
	transferEncoding = "Transfer-Encoding"
	identity         = "identity"
)

// EndWithConnection makes a response whose header has not been sent end with its connection, for a body that may have been cut off. It must
// have no Content-Length.
func EndWithConnection(header http.Header) { header.Set(transferEncoding, identity) }

// EndsWithConnection reports whether a response with this header ends with its connection.
func EndsWithConnection(header http.Header) bool { return header.Get(transferEncoding) == identity }

// connKey is the key of a request's connection in its context.
type connKey struct{}

// WithConn returns a context that holds a connection. It is the ConnContext of servers whose responses use ResetUnlessFinished.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// ResetUnlessFinished makes the connection of a request end with a reset, whoever closes it, until finished is called. A response that ends with its
// connection would look complete if the HTTP server closed that in order after a failed write, or the kernel after the process was killed.
func ResetUnlessFinished(request *http.Request) (finished func()) {
	conn, ok := request.Context().Value(connKey{}).(interface{ SetLinger(seconds int) error })
	if !ok {
		return func() {}
	}
	_ = conn.SetLinger(0)
	return func() { _ = conn.SetLinger(-1) }
}

// Abort ends a response early, so that the part already sent can't be taken for a complete body. It does not return: it panics with
// http.ErrAbortHandler.
//
// A response that ends with its connection is reset, because an orderly close is its regular end. Others are closed: a reset could discard
// data that the client has not received yet.
func Abort(w http.ResponseWriter, request *http.Request) {
	if !request.ProtoAtLeast(1, 1) || EndsWithConnection(w.Header()) {
		reset(w)
	}
	panic(http.ErrAbortHandler)
}

func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the connection is gone
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
