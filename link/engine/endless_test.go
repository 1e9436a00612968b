package engine_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/link/engine"
)

const (
	// fewBytes is above what the buffers of two sockets and of an answer that is given up take.
	fewBytes = 16 << 20
	// endlessBytes bounds what is sent on one connection.
	endlessBytes = 128 << 20
)

// serveEndless starts a server that answers each request with a beginning and then repeats a text until the connection is closed. It returns its
// address and the count of the bytes written.
func serveEndless(begin, repeated string) (string, *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	written := new(atomic.Int64)
	chunk := strings.Repeat(repeated, 1+(32<<10)/len(repeated))
	serve := func(conn net.Conn) {
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		text := begin
		for sent := 0; sent < endlessBytes; text = chunk {
			n, err := io.WriteString(conn, text)
			written.Add(int64(n))
			if sent += n; err != nil {
				return
			}
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String(), written
}

// Guards against a process that is killed for its memory, or requests that wait until their deadline, because a server never ends its answer.
var _ = DescribeTable("An answer that never ends is given up", func(begin, repeated string) {
	address, written := serveEndless(begin, repeated)
	client := engine.NewHTTPClient(nil)
	target := engine.Target{Address: address, RequestID: "r1", Service: "s"}
	within := func(what string, call func() error) {
		GinkgoHelper()
		written.Store(0)
		began := time.Now()
		Expect(call()).To(HaveOccurred(), what)
		Expect(time.Since(began)).To(BeNumerically("<", 5*time.Second), what)
		Consistently(written.Load, "100ms").Should(BeNumerically("<", fewBytes), what)
	}
	within("probe", func() error { _, err := client.Probe(ctx, address); return err })
	within("order", func() error {
		_, err := client.Order(ctx, address, engine.Order{Kind: engine.OrderLoad})
		return err
	})
	within("completion", func() error {
		stream, err := client.Complete(ctx, target, []byte(prompt))
		if err != nil {
			return err
		}
		defer stream.Close()
		_, err = stream.Next()
		return err
	})
	if strings.Contains(begin, "\r\n\r\n") {
		return // a body of a call is handed on as it comes
	}
	within("call", func() error {
		response, err := client.Call(ctx, target, http.MethodPost, "/x", http.Header{}, strings.NewReader("body"))
		if err == nil {
			_ = response.Body.Close()
		}
		return err
	})
},
	Entry("a status line", "HTTP/1.1 200 ", "x"),
	Entry("a field", "HTTP/1.1 200 OK\r\nNote: ", "x"),
	Entry("a head", "HTTP/1.1 200 OK\r\n", "Note: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n"),
	Entry("interim answers", "", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"),
	Entry("a body", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "x"),
	Entry("an event", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: ", "x"),
	Entry("the body of a failure", "HTTP/1.1 500 Odd\r\nConnection: close\r\n\r\n", "x"),
	Entry("bytes that are no answer", "", "xxxxxxxx"),
)
