package gateway

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	"github.com/skylarkpond/skylarkpond/link/upstream"
	"github.com/skylarkpond/skylarkpond/platform"
)

var _ = Describe("What servers state in their answers", func() {
	from := upstream.Endpoint{ID: "i-1", Address: "10.0.0.1:1", Born: 5}
	server := &backend.Server{ID: "i-1", Address: "10.0.0.1:1", StartedAtMillis: 5}
	header := func(fields ...string) http.Header {
		h := http.Header{}
		for i := 0; i < len(fields); i += 2 {
			h.Add(fields[i], fields[i+1])
		}
		return h
	}
	var g *Gateway
	BeforeEach(func() { g = newTestGateway() })

	DescribeTable("asks for a pause in a 503 alone", func(status int, fields []string, pauses bool) {
		g.serverAnswered(from, status, header(fields...))
		Expect(g.backoff.Remaining(server) > 0).To(Equal(pauses))
	},
		Entry("503", 503, []string{"Retry-After", "3"}, true),
		Entry("503 that names another server at fault", 503, []string{"Retry-After", "3", "At-Server", "i-2"}, true),
		Entry("503 without a time", 503, nil, false),
		Entry("503 with a time that can't be read", 503, []string{"Retry-After", "abc"}, false),
		Entry("429", 429, []string{"Retry-After", "3"}, false),
		Entry("421", 421, []string{"Retry-After", "3"}, false),
		Entry("200", 200, []string{"Retry-After", "3"}, false),
		Entry("503 of another server at the address", 503, []string{"Retry-After", "3", platform.HeaderServer, "i-9"}, false),
	)

	DescribeTable("says that the server is leaving in any answer", func(status int, fields []string, leaving bool) {
		g.serverAnswered(from, status, header(fields...))
		var want []link.Leaving
		if leaving {
			want = []link.Leaving{{Server: "i-1", Process: 5}}
		}
		Expect(g.catalog.AnnouncedLeaving()).To(Equal(want))
	},
		Entry("200", 200, []string{platform.HeaderLeaving, "1"}, true),
		Entry("202 to an order", 202, []string{platform.HeaderLeaving, "1", platform.HeaderServer, "i-1"}, true),
		Entry("421", 421, []string{platform.HeaderLeaving, "1"}, true),
		Entry("503", 503, []string{platform.HeaderLeaving, "1"}, true),
		Entry("0", 200, []string{platform.HeaderLeaving, "0"}, false),
		Entry("another server at the address", 421, []string{platform.HeaderLeaving, "1", platform.HeaderServer, "i-9"}, false),
	)
})

// newTestGateway returns a gateway that is not started.
func newTestGateway() *Gateway {
	GinkgoHelper()
	address := func(port string) string { return "127.0.0.1:" + port }
	common, err := newShared(Config{
		Name: "e-1", LogLevel: "error", LogQueueSize: 16, CallerAddress: address("1"), ReadyAddress: address("2"), DirectoryAddress: address("3"),
		PeerAddress: address("4"), MetricsAddress: address("5"), PlatformAddress: address("6"), PlatformRate: 10, MemoryMB: 200,
	})
	Expect(err).NotTo(HaveOccurred())
	g, err := assemble(common)
	Expect(err).NotTo(HaveOccurred())
	g.connect()
	return g
}
