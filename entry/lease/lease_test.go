package lease_test

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
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
	"github.com/skylarkpond/skylarkpond/policy/takeover"
)

func TestLease(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Lease")
}

// candidate is an entry that may hold the lease.
type candidate struct {
	*lease.Lease
	stop   context.CancelFunc
	linked atomic.Bool
	// stalled is set while the work of the entry stands still.
	stalled atomic.Bool
	// conflicts receives a value when another entry has written the lease first.
	conflicts chan struct{}
	// attachment is written with the lease; read is the last one that was read, as a json.RawMessage.
	attachment json.RawMessage
	read       atomic.Value
}

// racingStore lets another entry write the lease immediately before each write through it.
type racingStore struct {
	store.Store
	api *objects.API
}

func (o racingStore) Put(ctx context.Context, kind store.Kind, name string, version store.Version, value json.RawMessage) (store.Version, error) {
	o.api.Write(string(kind), name, lease.Holder{Entry: "first", Token: "first", Nonce: strconv.FormatUint(uint64(version), 10)})
	return o.Store.Put(ctx, kind, name, version, value)
}

func start(api *objects.API, name string) *candidate {
	return startAs(api, lease.Holder{Entry: name, Token: name})
}

func startAs(api *objects.API, self lease.Holder) *candidate { return startOn(newClient(api), self) }

func newClient(api *objects.API) store.Store {
	return store.NewClient("http://"+api.Address(), store.WithCodec(platform.ObjectCodec{}), store.WithCallTimeout(300*time.Millisecond))
}

func startOn(platform store.Store, self lease.Holder) *candidate {
	return startWith(platform, self, takeover.Capacity{})
}

func startWith(platform store.Store, self lease.Holder, capacity takeover.Capacity) *candidate {
	m := &candidate{conflicts: make(chan struct{}, 1), attachment: json.RawMessage(`{"of":"` + self.Entry + `"}`)}
	m.Lease = lease.New(lease.Deps{
		Store: platform, Self: self, Linked: m.linked.Load, Capacity: capacity,
		Renewed: func() {}, HolderChanged: func(lease.Holder, bool) {}, Stalled: m.stalled.Load,
		Attachment: func() json.RawMessage { return m.attachment }, AttachmentRead: func(attachment json.RawMessage) { m.read.Store(attachment) },
		WriteConflict: func() {
			select {
			case m.conflicts <- struct{}{}:
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

func heldCount(candidates ...*candidate) func() int {
	return func() int {
		n := 0
		for _, m := range candidates {
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

	It("is held by one entry, known to all others", func() {
		a, b, c := start(api, "a"), start(api, "b"), start(api, "c")
		Eventually(heldCount(a, b, c), waitFor).Should(Equal(1))
		Consistently(func() int { return heldCount(a, b, c)() }, "2s").Should(BeNumerically("<=", 1))
		Eventually(func() bool {
			x, _ := a.Holder()
			y, _ := b.Holder()
			z, _ := c.Holder()
			return x.Entry != "" && x.Entry == y.Entry && y.Entry == z.Entry
		}, waitFor).Should(BeTrue())
	})

	// The leader dies. No group is repaired until another entry takes over.
	It("passes to another entry after its holder has died", func() {
		a := start(api, "a")
		Eventually(a.Held, waitFor).Should(BeTrue())
		first := a.Version()
		b := start(api, "b")
		a.stop()
		Eventually(b.Held, waitFor).Should(BeTrue())
		Expect(b.Version()).To(BeNumerically(">", first))
	})

	// The platform does not answer. A holder that went on acting could conflict with its successor.
	// A leader whose work waits for a lock for ever went on renewing, so that nobody took over.
	It("passes to another entry while its holder's work stands still, and is not taken by an entry whose work does", func() {
		a := start(api, "a")
		Eventually(a.Held, waitFor).Should(BeTrue())
		b, c := start(api, "b"), start(api, "c")
		c.stalled.Store(true)
		a.stalled.Store(true)
		Eventually(b.Held, "5s").Should(BeTrue())
		Expect(a.IsLeader()).To(BeFalse())
		a.stalled.Store(false)
		b.stalled.Store(true)
		Eventually(a.Held, "5s").Should(BeTrue())
		Expect(c.IsLeader()).To(BeFalse())
	})

	It("is not held for longer than its validity after the last confirmed write", func() {
		a := start(api, "a")
		Eventually(a.Held, waitFor).Should(BeTrue())
		api.SetFaults(objects.Faults{Unresponsive: true})
		Eventually(a.Held, waitFor).Should(BeFalse())
		Expect(a.IsLeader()).To(BeTrue())
		api.SetFaults(objects.Faults{})
		Eventually(a.Held, waitFor).Should(BeTrue())
	})

	// The answer to the write that acquired the lease is lost. If the entry took this for a conflict, all others would
	// wait for a leader that does not know its role.
	It("is held after the answer to a write was lost", func() {
		api.SetFaults(objects.Faults{LoseAnswers: true})
		a := start(api, "a")
		Consistently(a.Held, "500ms").Should(BeFalse())
		api.SetFaults(objects.Faults{})
		Eventually(a.Held, waitFor).Should(BeTrue())
	})

	// Guards against seconds without a leader: a holder that had given up on a write took it for another entry's, and waited until its own lease expired.
	It("is resumed at once by its holder if the last write was its own", func() {
		a := start(api, "a")
		Eventually(a.Held, waitFor).Should(BeTrue())
		api.SetFaults(objects.Faults{LoseAnswers: true})
		time.Sleep(2 * time.Second)
		api.SetFaults(objects.Faults{})
		Eventually(a.Held, "1s").Should(BeTrue())
	})

	It("is given up by a holder that finds another holder", func() {
		a := start(api, "a")
		Eventually(a.Held, waitFor).Should(BeTrue())
		api.Write(string(lease.Kind), lease.Name, lease.Holder{Entry: "other", Token: "other"})
		Eventually(a.IsLeader, waitFor).Should(BeFalse())
	})

	It("is not read while the entry hears from the holder", func() {
		a := start(api, "a")
		Eventually(a.Held, waitFor).Should(BeTrue())
		b := start(api, "b")
		b.linked.Store(true)
		time.Sleep(500 * time.Millisecond)
		before := api.Calls()["GET "+string(lease.Kind)]
		Consistently(func() int { return api.Calls()["GET "+string(lease.Kind)] }, "1500ms").Should(Equal(before))
	})

	// The leader has died. Hundreds of entries would read the lease repeatedly before it can have changed.
	It("is not read before it can be acquired", func() {
		a := start(api, "a")
		Eventually(a.Held, waitFor).Should(BeTrue())
		b := start(api, "b")
		Eventually(func() bool { _, known := b.Holder(); return known }, waitFor).Should(BeTrue())
		gets := func() int { return api.Calls()["GET "+string(lease.Kind)] }
		b.linked.Store(true)
		time.Sleep(200 * time.Millisecond)
		b.ObserveRenewal(a.Version() + 1000) // reported as renewed a moment ago
		before := gets()
		b.linked.Store(false)
		time.Sleep(1200 * time.Millisecond)
		Expect(gets()).To(Equal(before))
		a.stop()
		Eventually(b.Held, waitFor).Should(BeTrue())
	})

	// The leader is killed, alone or with all other entries, and restarts immediately. Without this rule there would be
	// no leader for as long as its previous process might still act, although that process is known to have ended.
	It("is acquired immediately by an entry that held it before its restart", func() {
		a := start(api, "a")
		Eventually(a.Held, waitFor).Should(BeTrue())
		other := start(api, "other")
		Eventually(func() bool { _, known := other.Holder(); return known }, waitFor).Should(BeTrue())
		a.stop()
		restarted := startAs(api, lease.Holder{Entry: "a", Token: "of its next process"})
		Eventually(restarted.Held, waitFor).Should(BeTrue())
		Expect(other.IsLeader()).To(BeFalse())
	})

	// Guards against an entry that keeps following a former leader, which can't read the platform, after another entry
	// acquired the lease just before it.
	It("is read again by an entry whose attempt to acquire it failed", func() {
		api.Write(string(lease.Kind), lease.Name, lease.Holder{Entry: "former", Token: "former"})
		late := startOn(racingStore{newClient(api), api}, lease.Holder{Entry: "late", Token: "late"})
		Eventually(late.conflicts, waitFor).Should(Receive())
		version := uint64(1000)
		Eventually(func() string {
			version++
			late.ObserveRenewal(version) // renewed continuously, so that it never expires
			holder, _ := late.Holder()
			return holder.Entry
		}, waitFor, "50ms").Should(Equal("first"))
	})

	// The platform was down for longer than the lease is valid, so that it has expired for all entries. The first one that read it
	// afterwards became the leader: of 195 entries one with a fifth of a core.
	It("is acquired after an outage of the platform only after the delay that depends on the entry's capacity", func() {
		a := start(api, "a")
		Eventually(a.Held, waitFor).Should(BeTrue())
		weak := startWith(newClient(api), lease.Holder{Entry: "weak", Token: "weak"}, takeover.Capacity{LinkMbps: 1, Cores: 0.01})
		Eventually(func() bool { _, known := weak.Holder(); return known }, waitFor).Should(BeTrue())
		a.stop()
		api.SetFaults(objects.Faults{Unresponsive: true})
		time.Sleep(4 * time.Second)
		api.SetFaults(objects.Faults{})
		gets := func() int { return api.Calls()["GET "+string(lease.Kind)] }
		before := gets()
		Eventually(gets, waitFor, "5ms").Should(BeNumerically(">", before))
		Consistently(weak.Held, "300ms", "10ms").Should(BeFalse())
		Eventually(weak.Held, waitFor).Should(BeTrue())
	})

	// All entries were killed. One reads the lease before the holder's next process rewrites it, and can't connect to
	// the holder that it read.
	It("is read again early by an entry that can't reach the holder", func() {
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
			b.ObserveRenewal(renewed) // renewed continuously, so that it never expires
			b.HolderUnreachable()
			holder, _ := b.Holder()
			return holder.Token
		}, waitFor, "50ms").Should(Equal("of its next process"))
	})

	// All entries have died. What the leader knew would be lost with it.
	It("hands the holder's attachment to an entry that has just started", func() {
		api := objects.New()
		DeferCleanup(api.Close)
		first := start(api, "first")
		Eventually(first.Held, "5s").Should(BeTrue())
		first.stop()
		late := start(api, "late")
		Eventually(late.read.Load, "5s").Should(Equal(json.RawMessage(`{"of":"first"}`)))
		Eventually(late.Held, "10s").Should(BeTrue())
		spec, ok := api.Get(string(lease.Kind), lease.Name)
		Expect(ok).To(BeTrue())
		Expect(string(spec)).To(ContainSubstring(`{"of":"late"}`))
	})
})

var _ = Describe("A lease that another writer has replaced by an object that can't be read", func() {
	DescribeTable("is acquired once it has expired", func(element string) {
		api := objects.New()
		DeferCleanup(api.Close)
		api.WriteOdd(string(lease.Kind), lease.Name, element)
		m := start(api, "a")
		Eventually(m.Held, "5s").Should(BeTrue())
	},
		Entry("nested", `{"metadata":{"name":"grouping","revision":$revision},"spec":`+strings.Repeat("[", 20_000)+strings.Repeat("]", 20_000)+`}`),
		Entry("of another type", `{"metadata":{"name":"grouping","revision":$revision},"spec":[]}`),
		Entry("whose name is a number", `{"metadata":{"name":7,"revision":$revision},"spec":{}}`),
	)
})
