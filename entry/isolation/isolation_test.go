package isolation_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/entry/isolation"
)

func TestIsolation(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "isolation")
}

var _ = Describe("Watch", func() {
	var (
		watch   *isolation.Watch
		cut     atomic.Bool
		probes  atomic.Int32
		changes chan bool
		// lastFromAny is what the last call of Changed to return reported; slowService is the service whose calls take longer.
		lastFromAny atomic.Bool
		slowService atomic.Pointer[string]
	)
	BeforeEach(func() {
		cut.Store(false)
		probes.Store(0)
		changes = make(chan bool, 10)
		servers := make(map[backend.ID]*backend.Server)
		for i := range 6 {
			id := backend.ID(fmt.Sprint("i-", i))
			servers[id] = &backend.Server{ID: id, Service: "chat", Leaving: i == 0}
			servers["desk-"+id] = &backend.Server{ID: "desk-" + id, Service: "desk"}
		}
		listing := backend.NewListing(1, servers)
		watch = isolation.New(isolation.Deps{
			Listing: func() *backend.Listing { return listing },
			Probe: func(ctx context.Context, server *backend.Server) bool {
				defer GinkgoRecover()
				Expect(server.Leaving).To(BeFalse(), "a leaving server may be gone")
				probes.Add(1)
				if cut.Load() {
					<-ctx.Done()
					return false
				}
				return true
			},
			Changed: func(service string, isolated, fromAny bool) {
				if slow := slowService.Load(); slow != nil && *slow == service {
					time.Sleep(100 * time.Millisecond)
				}
				lastFromAny.Store(fromAny)
				if service == "chat" {
					changes <- isolated
				}
			},
		})
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			watch.Run(ctx)
		}()
		DeferCleanup(func() {
			stop()
			<-done
		})
	})

	// The entry would go on sending requests to servers that it has lost, or never come back to them.
	It("notices that the servers of one service are lost, and that they are back", func() {
		cut.Store(true)
		watch.Suspect("chat")
		Eventually(changes, "2s").Should(Receive(BeTrue()))
		Expect(watch.Isolated("chat")).To(BeTrue())
		Expect(watch.Isolated("desk")).To(BeFalse())
		Expect(watch.Any()).To(BeTrue())
		Consistently(changes, "500ms").ShouldNot(Receive())
		cut.Store(false)
		Eventually(changes, "5s").Should(Receive(BeFalse()))
		Expect(watch.Any()).To(BeFalse())
	})

	// One server fails; all callers of the entry would be sent through other entries.
	It("stays with its servers if they answer, and then probes no more", func() {
		watch.Suspect("chat")
		Eventually(probes.Load).Should(Equal(int32(3)))
		Consistently(probes.Load, "700ms").Should(Equal(int32(3)))
		Expect(changes).NotTo(Receive())
	})

	// Two services are reached again at the same moment, and the entry reported last that it was still isolated from one of them. Callers were not
	// sent to it any more.
	DescribeTable("tells the present state last, if it changes for several services at once", func(slow string) {
		slowService.Store(&slow)
		cut.Store(true)
		watch.Suspect("chat")
		watch.Suspect("desk")
		Eventually(watch.Any, "2s").Should(BeTrue())
		Eventually(func() bool { return watch.Isolated("chat") && watch.Isolated("desk") }, "2s").Should(BeTrue())
		cut.Store(false)
		Eventually(watch.Any, "5s").Should(BeFalse())
		Eventually(lastFromAny.Load).Should(BeFalse())
		Consistently(lastFromAny.Load, "300ms").Should(BeFalse())
	}, Entry("chat is reported slowly", "chat"), Entry("desk is reported slowly", "desk"))

	It("is not isolated from a service that has no servers", func() {
		for range 3 {
			watch.Suspect("none")
			time.Sleep(100 * time.Millisecond)
		}
		Expect(watch.Any()).To(BeFalse())
	})

	It("checks at once whether any server answers", func() {
		Expect(watch.Check(context.Background(), "chat")).To(BeTrue())
		cut.Store(true)
		Expect(watch.Check(context.Background(), "chat")).To(BeFalse())
		Eventually(changes, "2s").Should(Receive(BeTrue()))
		asked := time.Now()
		Expect(watch.Check(context.Background(), "chat")).To(BeFalse())
		Expect(time.Since(asked)).To(BeNumerically("<", 100*time.Millisecond), "it knows")
	})
})
