package leader_test

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/entry/catalog"
	"github.com/skylarkpond/skylarkpond/entry/leader"
	link "github.com/skylarkpond/skylarkpond/link/leader"
)

var _ = Describe("Lapse of the lease while the links stay", func() {
	var (
		leads     atomic.Bool
		l         *leader.Leader
		heard     []link.ServerLimit
		mu        sync.Mutex // guards heard
		isolated  = link.Up{Isolation: &link.Isolation{Isolated: true}}
		perSecond = 2.0
		limited   = link.Up{LimitReport: &link.LimitReport{Server: "i-1", PerSecond: &perSecond}}
	)
	BeforeEach(func() {
		heard = nil
		leads.Store(true)
		deps := entryDeps(&catalog.ChangeSet{})
		deps.IsLeader = leads.Load
		deps.LimitHeard = func(limit link.ServerLimit) {
			mu.Lock()
			defer mu.Unlock()
			heard = append(heard, limit)
		}
		servers := map[backend.ID]*backend.Server{"i-1": {
			ID: "i-1", Service: "desk", Model: "m", Group: backend.Membership{GroupKey: backend.GroupKey{Name: "g", Epoch: 1}, State: backend.GroupOpen},
		}}
		deps.Listing = func() *backend.Listing { return backend.NewListing(1, servers) }
		engine := &route.Engine{Slots: 2, Models: []route.Model{{Name: "m", Size: 1}}}
		table := route.NewTable(3, nil, []route.Service{{Name: "desk", Engine: engine}}, nil, route.Limits{})
		deps.Table = func() *route.Table { return table }
		l = leader.New(deps)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { l.Run(ctx) })
		DeferCleanup(func() { cancel(); running.Wait() })
		time.Sleep(200 * time.Millisecond) // some rounds as the leader
	})
	lapse := func(meanwhile func()) {
		leads.Store(false)
		time.Sleep(100 * time.Millisecond)
		meanwhile()
		leads.Store(true)
		time.Sleep(200 * time.Millisecond)
	}

	// Guards against an entry that is left out of the directory for minutes: the leader had forgotten that it was cut off, and told nobody when it was not
	// any more.
	It("keeps who is cut off from the servers", func() {
		l.Join("e-1", &recorder{}, link.Hello{})
		l.Receive("e-1", &recorder{}, isolated)
		lapse(func() {})
		Expect(l.OthersReachServers("e-2")).To(BeFalse())
		joining := &recorder{}
		l.Join("e-2", joining, link.Hello{})
		Expect(joining.isolated()).To(ConsistOf("e-1"))
	})

	// Guards against groups that get more requests than they have slots: the turns that linked followers held were not counted.
	It("keeps the turns that its followers hold", func() {
		asking := &recorder{}
		l.Join("e-1", asking, link.Hello{})
		ask := func(key uint64) {
			l.Receive("e-1", asking, link.Up{TurnRequest: &link.TurnRequest{Key: key, Service: "desk", Model: "m", Optional: true}})
		}
		for key := range uint64(3) { // the slots and the one beyond
			ask(key + 1)
		}
		Expect(asking.grants()).To(Equal(3))
		lapse(func() {})
		ask(4)
		Expect(asking.grants()).To(Equal(3))
		l.Receive("e-1", asking, link.Up{Done: &link.Done{Key: 1}})
		ask(5)
		Expect(asking.grants()).To(Equal(4))
	})

	// Guards against requests that are held back because others crash servers: the evidence that entries had reported before was lost, so that what was
	// reported next pointed to whatever ran beside them.
	It("keeps what its followers have reported of requests that crash servers", func() {
		first, second := &recorder{}, &recorder{}
		l.Join("e-1", first, link.Hello{})
		l.Join("e-2", second, link.Hello{})
		report := func(entry string, crash link.Crash) { l.Receive(entry, first, link.Up{Crash: &crash}) }
		report("e-1", crashOn("i-1", "bad", "a"))
		report("e-2", crashOn("i-2", "bad", "b"))
		lapse(func() {})
		report("e-1", crashOn("i-3", "bad", "a"))
		Eventually(first.heldBack).Should(Equal([]string{"bad"}))
	})

	// Guards against requests beyond a limit that the server has stated to another entry: the leader, which could not renew the lease, decided by itself.
	It("is bound by the limits that followers report meanwhile", func() {
		l.Join("e-1", &recorder{}, link.Hello{})
		lapse(func() { l.Receive("e-1", &recorder{}, limited) })
		mu.Lock()
		defer mu.Unlock()
		Expect(heard).To(HaveLen(1))
		Expect(heard[0]).To(And(HaveField("PerSecond", 2.0), HaveField("Source", "e-1")))
	})
})

// recorder is a follower that is safe for concurrent use.
type recorder struct {
	mu sync.Mutex
	follower
}

func (r *recorder) Send(message link.Down) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.follower.Send(message)
}

func (r *recorder) SendShared(message *link.Shared) { r.Send(message.Down) }

func (r *recorder) heldBack() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holds()
}

// isolated returns the entries that it was told to be cut off.
func (r *recorder) isolated() (names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, message := range r.received {
		if message.IsolationChanges != nil {
			names = append(names, message.IsolationChanges.Isolated...)
		}
	}
	return names
}

func (r *recorder) grants() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, message := range r.received {
		if message.Grant != nil {
			n++
		}
	}
	return n
}
