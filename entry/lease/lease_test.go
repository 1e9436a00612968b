package lease_test

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/entry/lease"
	store "github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/platform"
	"github.com/skylarkpond/skylarkpond/platform/standin/objects"
)

func TestLease(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "who is in charge")
}

// member is one entry that may hold the lease.
type member struct {
	*lease.Lease
	stop   context.CancelFunc
	linked atomic.Bool
	// refused tells that another entry has written the lease first.
	refused chan struct{}
}

// outrun lets another entry write the lease just before each write that passes it.
type outrun struct {
	store.Store
	api *objects.API
}

func (o outrun) Put(ctx context.Context, kind store.Kind, name string, version store.Version, value json.RawMessage) (store.Version, error) {
	o.api.Write(string(kind), name, lease.Holder{Entry: "first", Token: "first", Nonce: strconv.FormatUint(uint64(version), 10)})
	return o.Store.Put(ctx, kind, name, version, value)
}

func start(api *objects.API, name string) *member {
	return startAs(api, lease.Holder{Entry: name, Token: name})
}

func startAs(api *objects.API, self lease.Holder) *member { return startOver(newClient(api), self) }

func newClient(api *objects.API) store.Store {
	return store.NewClient("http://"+api.Address(), store.WithWire(platform.Objects{}), store.WithCallTimeout(300*time.Millisecond))
}

func startOver(platform store.Store, self lease.Holder) *member {
	m := &member{refused: make(chan struct{}, 1)}
	m.Lease = lease.New(lease.Deps{
		Store: platform, Self: self, Linked: m.linked.Load,
		Renewed: func() {}, HolderChanged: func(lease.Holder, bool) {},
		WriteConflict: func() {
			select {
			case m.refused <- struct{}{}:
			default:
			}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { m.Run(ctx) })
	m.stop = func() {
		cancel()
		running.Wait()
	}
	DeferCleanup(m.stop)
	return m
}

func held(members ...*member) func() int {
	return func() int {
		n := 0
		for _, m := range members {
			if m.Held() {
				n++
			}
		}
		return n
	}
}

const waitFor = "10s"

var _ = Describe("Lease", func() {
	var api *objects.API
	BeforeEach(func() {
		api = objects.New()
		DeferCleanup(api.Close)
	})

	It("is held by one entry, which the others know", func() {
		a, b, c := start(api, "a"), start(api, "b"), start(api, "c")
		Eventually(held(a, b, c), waitFor).Should(Equal(1))
		Consistently(func() int { return held(a, b, c)() }, "2s").Should(BeNumerically("<=", 1))
		Eventually(func() bool {
			x, _ := a.Holder()
			y, _ := b.Holder()
			z, _ := c.Holder()
			return x.Entry != "" && x.Entry == y.Entry && y.Entry == z.Entry
		}, waitFor).Should(BeTrue())
	})

	// The entry in charge dies. Until another one takes over, no group is mended.
	It("passes to another entry when its holder is gone", func() {
		a := start(api, "a")
		Eventually(a.Held, waitFor).Should(BeTrue())
		first := a.Version()
		b := start(api, "b")
		a.stop()
		Eventually(b.Held, waitFor).Should(BeTrue())
		Expect(b.Version()).To(BeNumerically(">", first))
	})

	// The platform does not answer. A holder that acts on as if nothing had happened may meet its successor.
	It("is not held for longer than its last confirmation allows", func() {
		a := start(api, "a")
		Eventually(a.Held, waitFor).Should(BeTrue())
		api.Set(objects.Faults{Silent: true})
		Eventually(a.Held, waitFor).Should(BeFalse())
		Expect(a.IsLeader()).To(BeTrue())
		api.Set(objects.Faults{})
		Eventually(a.Held, waitFor).Should(BeTrue())
	})

	// The answer to the write that took the lease is lost. An entry that takes that for a refusal leaves everybody waiting for a holder
	// that does not know of its office.
	It("is held after a write whose answer was lost", func() {
		api.Set(objects.Faults{LoseAnswers: true})
		a := start(api, "a")
		Consistently(a.Held, "500ms").Should(BeFalse())
		api.Set(objects.Faults{})
		Eventually(a.Held, waitFor).Should(BeTrue())
	})

	It("is given up by a holder that meets another one", func() {
		a := start(api, "a")
		Eventually(a.Held, waitFor).Should(BeTrue())
		api.Write(string(lease.Kind), lease.Name, lease.Holder{Entry: "other", Token: "other"})
		Eventually(a.IsLeader, waitFor).Should(BeFalse())
	})

	It("asks the platform nothing while it hears from the holder", func() {
		a := start(api, "a")
		Eventually(a.Held, waitFor).Should(BeTrue())
		b := start(api, "b")
		b.linked.Store(true)
		time.Sleep(500 * time.Millisecond)
		before := api.Calls()["GET "+string(lease.Kind)]
		Consistently(func() int { return api.Calls()["GET "+string(lease.Kind)] }, "1500ms").Should(Equal(before))
	})

	// The entry in charge has died. Hundreds of others ask who holds the lease, again and again, before it can have changed.
	It("is not asked for before it can be taken", func() {
		a := start(api, "a")
		Eventually(a.Held, waitFor).Should(BeTrue())
		b := start(api, "b")
		Eventually(func() bool { _, known := b.Holder(); return known }, waitFor).Should(BeTrue())
		gets := func() int { return api.Calls()["GET "+string(lease.Kind)] }
		b.linked.Store(true)
		time.Sleep(200 * time.Millisecond)
		b.ObserveRenewal(a.Version() + 1000) // the holder renewed it a moment ago
		before := gets()
		b.linked.Store(false)
		time.Sleep(1200 * time.Millisecond)
		Expect(gets()).To(Equal(before))
		a.stop()
		Eventually(b.Held, waitFor).Should(BeTrue())
	})

	// The entry in charge is killed, with all others or alone, and starts again at once. Nobody would be in charge for as long as its former
	// process might still act, although it is known to have ended.
	It("is taken up at once by the entry that held it before its restart", func() {
		a := start(api, "a")
		Eventually(a.Held, waitFor).Should(BeTrue())
		other := start(api, "other")
		Eventually(func() bool { _, known := other.Holder(); return known }, waitFor).Should(BeTrue())
		a.stop()
		again := startAs(api, lease.Holder{Entry: "a", Token: "of its next process"})
		Eventually(again.Held, waitFor).Should(BeTrue())
		Expect(other.IsLeader()).To(BeFalse())
	})

	// Guards against an entry that goes on with a former leader, which can't read the platform, because another entry took the lease just before it.
	It("is read again by an entry that was not the first to take it", func() {
		api.Write(string(lease.Kind), lease.Name, lease.Holder{Entry: "former", Token: "former"})
		late := startOver(outrun{newClient(api), api}, lease.Holder{Entry: "late", Token: "late"})
		Eventually(late.refused, waitFor).Should(Receive())
		version := uint64(1000)
		Eventually(func() string {
			version++
			late.ObserveRenewal(version) // it is renewed all the time, so that nobody may take it
			holder, _ := late.Holder()
			return holder.Entry
		}, waitFor, "50ms").Should(Equal("first"))
	})

	// All entries were killed. One reads the lease before the holder's next process has written it anew, and can't link to what it read.
	It("is read again soon by an entry that does not reach the holder", func() {
		a := start(api, "a")
		Eventually(a.Held, waitFor).Should(BeTrue())
		b := start(api, "b")
		Eventually(func() bool { _, known := b.Holder(); return known }, waitFor).Should(BeTrue())
		b.linked.Store(true)
		a.stop()
		api.Write(string(lease.Kind), lease.Name, lease.Holder{Entry: "a", Token: "of its next process"})
		b.linked.Store(false)
		renewed := a.Version() + 1000
		Eventually(func() string {
			renewed++
			b.ObserveRenewal(renewed) // it is renewed all the time, so that nobody may take it
			b.HolderUnreachable()
			holder, _ := b.Holder()
			return holder.Token
		}, waitFor, "50ms").Should(Equal("of its next process"))
	})
})
