package leader_test

import (
	"maps"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/entry/catalog"
	"github.com/skylarkpond/skylarkpond/entry/leader"
	link "github.com/skylarkpond/skylarkpond/link/leader"
)

var _ = Describe("Failed connections to a head", func() {
	var (
		l           *leader.Leader
		unreachable map[backend.ID]bool
		checked     []backend.GroupKey
		blind       bool
		followers   map[string]*follower
	)
	group := backend.GroupKey{Name: "g", Epoch: 1}
	BeforeEach(func() {
		unreachable, checked, blind = make(map[backend.ID]bool), nil, false
		deps := entryDeps(&catalog.ChangeSet{})
		servers := map[backend.ID]*backend.Server{
			"i-1": {ID: "i-1", Service: "chat", Model: "m", Group: backend.Membership{GroupKey: group, State: backend.GroupOpen}},
			"d-1": {ID: "d-1", Service: "desk"},
		}
		deps.Listing = func() *backend.Listing { return backend.NewListing(1, servers) }
		deps.SetUnreachable = func(server *backend.Server, is bool) { unreachable[server.ID] = is }
		deps.Suspect = func(key backend.GroupKey) { checked = append(checked, key) }
		deps.Blind = func() bool { return blind }
		l = leader.New(deps)
		l.RefreshGroups()
		followers = map[string]*follower{"e-1": {}, "e-2": {}, "e-3": {}}
		for name, to := range followers {
			l.Join(name, to, link.Hello{})
		}
	})
	fail := func(entry string, head backend.ID) {
		l.Receive(entry, followers[entry], link.Up{HeldTurns: &link.HeldTurns{Running: []link.RunningTurn{{Key: 7, Head: head}}}})
		Expect(l.Running(head)).To(Equal(1))
		l.Receive(entry, followers[entry], link.Up{Done: &link.Done{Key: 7, Unsent: true, Unreachable: true}})
		Expect(l.Running(head)).To(BeZero())
	}

	// Guards against turns that go on being granted at a dead head, which has the fewest requests in progress.
	It("of two entries suspend it and start the check of its group", func() {
		fail("e-1", "i-1")
		Expect(unreachable).To(BeEmpty())
		fail("e-2", "i-1")
		Expect(unreachable).To(Equal(map[backend.ID]bool{"i-1": true}))
		Expect(checked).To(ConsistOf(group))
	})

	// Guards against one entry with a broken network that withholds a head from all others.
	It("of one entry do not suspend it while others are linked", func() {
		for range 5 {
			fail("e-1", "i-1")
		}
		Expect(unreachable).To(BeEmpty())
		Expect(checked).To(BeEmpty())
	})

	It("of an entry that is cut off from the servers do not count", func() {
		l.Receive("e-1", followers["e-1"], link.Up{Isolation: &link.Isolation{Isolated: true}})
		fail("e-1", "i-1")
		fail("e-2", "i-1")
		Expect(unreachable).To(BeEmpty())
		fail("e-3", "i-1")
		Expect(unreachable).To(HaveKeyWithValue(backend.ID("i-1"), true))
	})

	It("do not suspend it while this entry can't judge", func() {
		blind = true
		fail("e-1", "i-1")
		fail("e-2", "i-1")
		Expect(unreachable).To(BeEmpty())
	})

	// Nothing probes a plain server, so that nothing but the time would end its suspension.
	It("do not suspend a plain server", func() {
		fail("e-1", "d-1")
		fail("e-2", "d-1")
		Expect(unreachable).To(BeEmpty())
	})

	It("no longer suspend it once its group or it has answered", func() {
		for _, answered := range []func(backend.ID){l.ClearSuspicion, l.Reached} {
			fail("e-1", "i-1")
			fail("e-2", "i-1")
			Expect(unreachable).To(Equal(map[backend.ID]bool{"i-1": true}))
			answered("i-1")
			Expect(unreachable).To(Equal(map[backend.ID]bool{"i-1": false}))
			maps.DeleteFunc(unreachable, func(backend.ID, bool) bool { return true })
		}
	})
})

var _ = Describe("Servers heard to be cold", func() {
	// Guards against entries that go on sending to a server whose answer to another entry has said that it is cold.
	It("are told to all followers once, whether heard over a link or when it is set up", func() {
		deps := entryDeps(&catalog.ChangeSet{})
		known := make(map[backend.ID]bool)
		deps.HearCold = func(cold link.Cold) bool {
			isNew := !known[cold.Server]
			known[cold.Server] = true
			return isNew
		}
		l := leader.New(deps)
		l.RefreshGroups()
		first, second := &follower{}, &follower{}
		l.Join("e-1", first, link.Hello{})
		cold := []link.Cold{{Server: "i-1", Process: 5, Ms: 2000}}
		l.Receive("e-1", first, link.Up{Cold: cold})
		Expect(first.takeLast().Cold).To(Equal(cold))
		l.Receive("e-1", first, link.Up{Cold: cold})
		Expect(first.received).To(BeEmpty(), "nothing new")
		more := link.Cold{Server: "i-2", Process: 5, Ms: 1000}
		l.Join("e-2", second, link.Hello{Cold: []link.Cold{cold[0], more}})
		told := func(f *follower) (all []link.Cold) {
			for _, message := range f.received {
				all = append(all, message.Cold...)
			}
			return all
		}
		Expect(told(first)).To(ConsistOf(more))
		Expect(told(second)).To(ConsistOf(more))
	})
})
