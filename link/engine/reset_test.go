package engine_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/link/engine"
)

// longBody is larger than what the buffers of two sockets hold.
const longBody = 8 << 20

// serveEarly starts a server that answers each request once it has read its head, with a body that ends with the connection, and then passes the
// connection to end. It returns its address.
func serveEarly(end func(request *http.Request, conn *net.TCPConn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
				end(request, conn.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}

func callWithLongBody(address string) (string, error) {
	target := engine.Target{Address: address, RequestID: "r1", Service: "s"}
	response, err := engine.NewHTTPClient(nil).Call(ctx, target, http.MethodPost, "/x", http.Header{}, bytes.NewReader(make([]byte, longBody)))
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

var _ = Describe("An answer without a length to a request whose body is still being written", func() {
	// Guards against a part of an answer that looks complete: the error of the reset goes to the writer of the body, and the reader sees an orderly end.
	DescribeTable("is an error if the connection is reset", func(after time.Duration) {
		address := serveEarly(func(_ *http.Request, conn *net.TCPConn) {
			time.Sleep(after)
			_ = conn.SetLinger(0)
		})
		for range 50 {
			body, err := callWithLongBody(address)
			Expect(err).To(HaveOccurred(), "%q", body)
		}
	}, Entry("at once", time.Duration(0)), Entry("a little later", 2*time.Millisecond), Entry("later", 10*time.Millisecond))

	// Guards against sound answers that are refused: the server ends its answer, reads all of the body and closes in order.
	It("is complete if the server has read all of the body", func() {
		address := serveEarly(func(request *http.Request, conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, request.Body)
		})
		for range 20 {
			Expect(callWithLongBody(address)).To(Equal("part"))
		}
	})
})
