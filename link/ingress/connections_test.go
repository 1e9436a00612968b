package ingress_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/skylarkpond/skylarkpond/link/ingress"
	"github.com/skylarkpond/skylarkpond/policy/connections"
)

var _ = Describe("A bound on connections", func() {
	// fewest is the bound of a process that has no descriptors left for callers.
	const fewest = 16
	var (
		given    atomic.Int32
		reported chan ingress.Shortage
		bound    *ingress.Connections
	)
	BeforeEach(func() {
		given.Store(0)
		reported = make(chan ingress.Shortage, 100)
		bound = ingress.NewConnections(ingress.ConnectionsDeps{
			Limits: connections.Limits{Descriptors: 1}, Own: func() int { return 0 }, Metrics: metrics.NewRegistry(),
			GiveUpSlowest: func() bool { given.Add(1); return false }, Report: func(s ingress.Shortage) { reported <- s },
		})
	})
	bounded := func(handler http.HandlerFunc) *served { return serveWith(handler, ingress.WithConnections(bound)) }

	// Guards against connections without a request that keep callers out.
	DescribeTable("closes connections that bring no request for one that does", func(text string) {
		s := bounded(echo)
		for range 2 * fewest {
			_, err := io.WriteString(s.connect(), text)
			Expect(err).NotTo(HaveOccurred())
		}
		status, _, err := s.connect().send()
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
		Expect((<-reported).WithoutRequest).NotTo(BeZero())
	},
		Entry("silent ones", ""),
		Entry("unfinished headers", "POST /x HTTP/1.1\r\nHost: h\r\n"),
	)

	// Guards against callers that lose a connection which they are about to use.
	It("answers a request that comes as its idle connection is closed", func() {
		s := bounded(echo)
		var callers []*caller
		for range fewest {
			c := s.connect()
			_, _, err := c.send()
			Expect(err).NotTo(HaveOccurred())
			callers = append(callers, c)
		}
		time.Sleep(1100 * time.Millisecond)
		status, _, err := s.connect().send()
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
		Expect((<-reported).Idle).NotTo(BeZero())
		Expect(s.reported()).To(BeEmpty())
		kept := 0
		for _, c := range callers {
			if status, _, err := c.send(); err == nil && status == http.StatusOK {
				kept++
			}
		}
		Expect(kept).To(BeNumerically(">=", fewest/2))
	})

	// Guards against readiness checks that wait behind callers, after which the platform would replace the process.
	It("leaves some connections to a server with a reserve while callers use up the rest", func() {
		release := make(chan struct{})
		callers := bounded(func(w http.ResponseWriter, _ *http.Request) { <-release })
		for range 2 * fewest {
			_, err := io.WriteString(callers.connect(), request)
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(given.Load).Should(BeNumerically(">", 0))
		checks := serveWith(echo, ingress.WithConnections(bound), ingress.WithReserve())
		status, _, err := checks.connect().send()
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
		close(release)
	})

	// Guards against requests in progress that are cut for new connections.
	It("never closes a connection with a request in progress, and new ones wait", func() {
		release := make(chan struct{})
		s := bounded(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-release
			_, _ = io.WriteString(w, "answer")
		})
		results := make(chan int, 2*fewest)
		for range 2 * fewest {
			c := s.connect()
			go func() {
				status, _, err := c.send()
				if err != nil {
					status = 0
				}
				results <- status
			}()
		}
		Eventually(given.Load).Should(BeNumerically(">", 0))
		Consistently(results, 200*time.Millisecond).ShouldNot(Receive())
		close(release)
		for range 2 * fewest {
			Expect(<-results).To(Equal(http.StatusOK))
		}
	})
})
