package framing_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/link/framing"
)

func TestFraming(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "framing")
}

var _ = DescribeTable("Of tells how the end of a response is marked", func(method, text string, want framing.Framing) {
	response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), &http.Request{Method: method})
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	Expect(framing.Of(response)).To(Equal(want))
},
	Entry("a length", http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", framing.Length),
	Entry("a length of 0", http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", framing.Length),
	Entry("chunks", http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", framing.Chunked),
	Entry("neither", http.MethodGet, "HTTP/1.1 200 OK\r\n\r\nab", framing.Closed),
	Entry("neither, HTTP/1.0", http.MethodGet, "HTTP/1.0 200 OK\r\n\r\nab", framing.Closed),
	Entry("a status without a body", http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n", framing.Length),
	Entry("the answer to HEAD", http.MethodHead, "HTTP/1.1 200 OK\r\n\r\n", framing.Length),
)
