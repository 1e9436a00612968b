package ingress

import (
	"io"
	"net/http"
	"time"
)

const (
	// unreadTimeout bounds the time in which the rest of a body is read that is not needed, maxDiscardedBytes its size.
	unreadTimeout     = 500 * time.Millisecond
	maxDiscardedBytes = 8 << 20
)

// PrepareUnread prepares the answer to a request whose body has not been read to its end. The answer is sent without waiting for the rest of the body,
// and is the last one on its connection. It is called before the answer's header is written, DiscardUnread at the end of the handler.
func PrepareUnread(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).EnableFullDuplex() // fails only for a recorder in tests
}

// DiscardUnread sends the answer and reads the rest of the body for a while. A connection that is closed with data unread is reset, and the answer may
// be lost.
func DiscardUnread(w http.ResponseWriter, request *http.Request) {
	controller := http.NewResponseController(w)
	if controller.Flush() != nil {
		return
	}
	_ = controller.SetReadDeadline(time.Now().Add(unreadTimeout))
	_, _ = io.CopyN(io.Discard, request.Body, maxDiscardedBytes) // the answer has been given
}

// IgnoreBody is called at the beginning of a handler that reads no body, finish at its end.
func IgnoreBody(w http.ResponseWriter, request *http.Request) (finish func()) {
	if request.ContentLength == 0 {
		return func() {}
	}
	PrepareUnread(w)
	return func() { DiscardUnread(w, request) }
}

// WithoutBodies returns a handler that reads no bodies.
func WithoutBodies(handler http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		defer IgnoreBody(w, request)()
		handler(w, request)
	})
}

// WithBodyTimeout returns a handler whose requests' bodies must arrive within a time.
func WithBodyTimeout(handler http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.ContentLength != 0 {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout)) // fails only for a recorder in tests
		}
		handler.ServeHTTP(w, request)
	})
}
