// Package framing tells how the end of an HTTP/1.1 body is marked.
//
// A body with a length or in chunks that ends early is an error for its reader. A body that ends with its connection is not: when its
// sender dies, the kernel closes the connection in the same way as the sender does at the end of a complete body.
package framing

import "net/http"

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
