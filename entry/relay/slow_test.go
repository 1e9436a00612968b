package relay_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/entry/relay"
	"github.com/skylarkpond/skylarkpond/platform"
	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

// slowClient returns a client whose connections have a small receive buffer, so that the kernel does not read in its place.
func slowClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true, ReadBufferSize: 1 << 10,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return conn, conn.(*net.TCPConn).SetReadBuffer(8 << 10)
		},
	}}
}

var _ = Describe("Callers that read slowly", func() {
	ended := func(r *harness) relay.Report {
		GinkgoHelper()
		Eventually(func() int {
			r.mu.Lock()
			defer r.mu.Unlock()
			return len(r.reports)
		}, 10*time.Second).Should(Equal(1))
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.reports[0]
	}

	// What bounds callers that stop reading must not cut one that reads a little at a time.
	DescribeTable("but steadily get all of their answers", func(path string, frame func(http.Header)) {
		r := newHarness(replica.Config{Slots: 8}, 1)
		content := bytes.Repeat([]byte("id: 1\ndata: 0123456789abcdef0123456789abcdef0123\n\n"), 2<<10)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			w.Header().Set(platform.HeaderRequestID, request.Header.Get(platform.HeaderRequestID))
			w.Header().Set(platform.HeaderSignature, "signed")
			frame(w.Header())
			_, _ = w.Write(content) // the caller compares what arrives
		}))
		DeferCleanup(server.Close)
		r.turns.servers = []*backend.Server{{ID: "i-9", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 8}}
		response, err := slowClient().Do(r.request(http.MethodPost, path, "a1"))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		var read bytes.Buffer
		for err == nil {
			_, err = io.CopyN(&read, response.Body, int64(len(content)/9))
			time.Sleep(500 * time.Millisecond)
		}
		Expect(err).To(Equal(io.EOF))
		Expect(bytes.Equal(read.Bytes(), content)).To(BeTrue(), "%d bytes", read.Len())
		Expect(ended(r).Outcome).To(Equal(relay.Served))
		Expect(r.cuts.Load()).To(BeZero())
		Expect(r.turns.stalls).To(BeZero())
	},
		Entry("in a stream", "/chat/x", func(http.Header) {}),
		Entry("in a whole answer that ends with its connection", "/slow/x", func(h http.Header) { h.Set("Transfer-Encoding", "identity") }),
	)

	// The server was reported as stalled, and the stream was begun again at another one, which took a second slot.
	It("and stop are cut before their servers do so, and no server is blamed", func() {
		r := newHarness(replica.Config{Slots: 8}, 2)
		for _, server := range r.servers {
			server.SetFaults(replica.Faults{Endless: replica.EndlessStream})
		}
		response, err := slowClient().Do(r.request(http.MethodPost, "/chat/x", "a1"))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		report := ended(r)
		Expect(report.Outcome).To(Equal(relay.Cut))
		Expect(report.Detail).To(ContainSubstring("does not read"))
		Expect(report.Servers).To(HaveLen(1))
		Expect(r.cuts.Load()).To(BeEquivalentTo(1))
		Expect(r.turns.ended()).To(HaveLen(1))
		Expect(r.turns.ended()[0].Failed || r.turns.ended()[0].Stalled).To(BeFalse())
		Expect(r.turns.stalls).To(BeZero())
		Expect(r.servers[0].UnreadCuts()).To(BeZero())
		_, err = io.Copy(io.Discard, response.Body)
		Expect(err).To(HaveOccurred(), "an answer that was cut looks complete")
		Expect(r.callers.Counts().Bytes).To(BeNumerically("<", 200<<10))
	})

	// A whole answer was written without a limit of time, and its part taken for all of it where it ends with its connection.
	It("and stop are cut from whole answers, which don't look complete", func() {
		r := newHarness(replica.Config{Slots: 8}, 1)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			w.Header().Set(platform.HeaderRequestID, request.Header.Get(platform.HeaderRequestID))
			w.Header().Set(platform.HeaderSignature, "signed")
			w.Header().Set("Transfer-Encoding", "identity")
			_, _ = w.Write(make([]byte, 900<<10)) // the entry holds it whole
		}))
		DeferCleanup(server.Close)
		r.turns.servers = []*backend.Server{{ID: "i-9", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 8}}
		response, err := slowClient().Do(r.request(http.MethodPost, "/slow/x", "a1"))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(ended(r).Outcome).To(Equal(relay.Cut))
		_, err = io.Copy(io.Discard, response.Body)
		Expect(err).To(HaveOccurred())
	})
})
