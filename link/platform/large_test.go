package platform_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	link "github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/platform"
	"github.com/skylarkpond/skylarkpond/platform/standin/objects"
)

// serveWatch starts a platform that answers lists with one object at version 21 and watches by answer.
func serveWatch(answer http.HandlerFunc) *link.Client {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("watch") {
			answer(w, r)
			return
		}
		fmt.Fprint(w, `{"entries":[{"metadata":{"name":"main","revision":21},"spec":{"version":21}}],"asOf":21}`)
	}))
	DeferCleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return link.NewClient(server.URL, link.WithCodec(platform.ObjectCodec{}), link.WithCallTimeout(300*time.Millisecond))
}

var _ = Describe("A watch whose response can't be read whole", func() {
	const mebibyte = 1 << 20

	// Guards against a client that asks for the same response again, as long as the platform keeps that history.
	DescribeTable("is replaced by a list", func(answer http.HandlerFunc) {
		client := serveWatch(answer)
		changes, err := client.WatchFor(context.Background(), platform.KindConfig, 1, 100*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(changes.Complete).To(BeTrue())
		Expect(changes.Objects).To(ConsistOf(HaveField("Version", link.Version(21))))
	},
		Entry("too large, with a length", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", fmt.Sprint(20*mebibyte))
			fmt.Fprint(w, `{"events":[`)
		}),
		Entry("too large, without one", func(w http.ResponseWriter, _ *http.Request) {
			for range 20 {
				fmt.Fprint(w, strings.Repeat(" ", mebibyte))
			}
		}),
		Entry("closed midway", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "1000")
			fmt.Fprint(w, `{"events":[`)
		}),
		Entry("too slow", func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprint(w, `{"events":[`)
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}),
	)

	// Guards against a VM whose memory is taken by changes that newer ones have replaced.
	It("is not read beyond a few of the largest objects", func() {
		var written atomic.Int64
		client := serveWatch(func(w http.ResponseWriter, _ *http.Request) {
			for range 256 {
				n, err := w.Write([]byte(strings.Repeat(" ", mebibyte)))
				written.Add(int64(n))
				if err != nil {
					return
				}
			}
		})
		_, err := client.WatchFor(context.Background(), platform.KindConfig, 1, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Consistently(written.Load, "200ms").Should(BeNumerically("<", 16*mebibyte))
	})

	// Guards against a list of servers that is followed no further after hundreds of changes of large registrations.
	It("may concern hundreds of objects, of which each is returned once", func() {
		api := objects.New()
		DeferCleanup(api.Close)
		start := api.Write("servers", "i-0", map[string]any{"sequence": -1})
		text := strings.Repeat("x", 20<<10)
		for i := range 600 {
			api.Write("servers", fmt.Sprintf("i-%d", i%50), map[string]any{"sequence": i, "text": text})
		}
		client := link.NewClient("http://"+api.Address(), link.WithCodec(platform.ObjectCodec{}))
		changes, err := client.WatchFor(context.Background(), platform.KindServers, link.Version(start), time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(changes.Objects).To(HaveLen(50))
		Expect(changes.Revision).To(Equal(link.Version(start + 600)))
	})
})

// Guards against callers that can't tell a platform that is away from a response that they can't take.
var _ = Describe("A read", func() {
	It("that is not answered in time is told from one whose answer ends early", func() {
		client := serveWatch(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		_, err := client.WatchFor(context.Background(), platform.KindConfig, 1, 100*time.Millisecond)
		Expect(err).To(MatchError(link.ErrTimeout))
		Expect(err).To(MatchError(link.ErrUnavailable))
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "1000")
			fmt.Fprint(w, "{")
		}))
		DeferCleanup(server.Close)
		_, err = link.NewClient(server.URL).Get(context.Background(), link.KindEntry, "a")
		Expect(err).To(MatchError(link.ErrIncomplete))
		Expect(err).To(MatchError(link.ErrUnavailable))
	})
})
