package upstream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/link/upstream"
)

// longBody is larger than what the buffers of two sockets hold.
const longBody = 8 << 20

// longRequest returns a request whose body is still being written while the answer is read.
func longRequest(id string) *upstream.Request {
	request := newRequest(id)
	request.Method, request.Body = http.MethodPost, make([]byte, longBody)
	return request
}

// unframed is an answer that ends with its connection.
const unframed = "HTTP/1.1 200 OK\r\nX-Id: a1\r\nConnection: close\r\n\r\npart"

var _ = Describe("An answer without a length to a request whose body is still being written", func() {
	// Guards against a part of an answer that looks complete: the error of the reset goes to the writer of the body, and the reader sees an orderly end.
	DescribeTable("is an error if the connection is reset", func(after time.Duration) {
		s := serveRaw(func(_ int, _ *http.Request, c net.Conn) bool {
			_, _ = io.WriteString(c, unframed)
			time.Sleep(after)
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		})
		for range 20 {
			body, err := sendAndRead(upstream.NewPool(), s.endpoint(), longRequest("a1"))
			Expect(err).To(HaveOccurred(), "%q", body)
		}
	}, Entry("at once", time.Duration(0)), Entry("a little later", 2*time.Millisecond), Entry("later", 10*time.Millisecond))

	// Guards against the same if the server closes in order: what is unread makes its kernel reset the connection.
	It("is an error if the server closes the connection with a part of the body unread", func() {
		s := serveRaw(func(_ int, _ *http.Request, c net.Conn) bool {
			_, _ = io.WriteString(c, unframed)
			return false
		})
		for range 20 {
			body, err := sendAndRead(upstream.NewPool(), s.endpoint(), longRequest("a1"))
			Expect(err).To(HaveOccurred(), "%q", body)
		}
	})

	// Guards against sound answers that are refused: the server ends its answer, reads all of the body and closes in order.
	It("is complete if the server has read all of the body", func() {
		s := serveRaw(func(_ int, r *http.Request, c net.Conn) bool {
			_, _ = io.WriteString(c, unframed)
			_ = c.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, r.Body)
			return false
		})
		for range 20 {
			Expect(sendAndRead(upstream.NewPool(), s.endpoint(), longRequest("a1"))).To(Equal("part"))
		}
	})

	// Guards against a reader that waits for ever: the server has ended its answer and reads no further.
	It("is an error at the end of the request's time if the body is never read", func() {
		done := make(chan struct{})
		defer close(done)
		s := serveRaw(func(_ int, _ *http.Request, c net.Conn) bool {
			_, _ = io.WriteString(c, unframed)
			_ = c.(*net.TCPConn).CloseWrite()
			<-done
			return false
		})
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		response, err := upstream.NewPool().Send(ctx, s.endpoint(), longRequest("a1"))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		_, err = io.ReadAll(response.Body)
		Expect(err).To(HaveOccurred())
	})
})
