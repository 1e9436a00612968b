package ingress_test

import (
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/link/ingress"
)

var _ = Describe("A body that nobody reads", func() {
	// Guards against connections that stay open for as long as their callers withhold the end of a body.
	DescribeTable("holds up neither the answer nor the end of the connection", func(framing, sent string) {
		s := serve(ingress.WithoutBodies(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }).ServeHTTP)
		c := s.connect()
		_, err := io.WriteString(c, "POST /x HTTP/1.1\r\nHost: h\r\n"+framing+"\r\n\r\n"+sent)
		Expect(err).NotTo(HaveOccurred())
		status, last, err := c.receive()
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
		Expect(last).To(BeTrue())
		_, err = c.reader.ReadByte()
		Expect(err).To(HaveOccurred())
	},
		Entry("with a length", "Content-Length: 1000", strings.Repeat("x", 999)),
		Entry("with chunks", "Transfer-Encoding: chunked", "1\r\nx\r\n"),
		Entry("with a length that is not sent", "Content-Length: 1000", ""),
	)

	// Guards against an interim response behind the answer, which would be taken for the answer to the next request.
	DescribeTable("is not asked for after the answer", func(answer string) {
		s := serve(ingress.WithoutBodies(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusOK)
			_, _ = io.WriteString(w, answer)
		}).ServeHTTP)
		c := s.connect()
		_, err := io.WriteString(c, "POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		received, _ := io.ReadAll(c) // the connection may be reset
		Expect(string(received)).To(HavePrefix("HTTP/1.1 200 OK"))
		Expect(string(received)).NotTo(ContainSubstring("100 Continue"))
	},
		Entry("with a body", "answer"),
		Entry("without one", ""),
	)
})
