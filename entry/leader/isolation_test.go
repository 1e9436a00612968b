package leader_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	link "github.com/skylarkpond/skylarkpond/link/leader"
)

var _ = Describe("Leader", func() {
	isolated := func(is bool) link.Up { return link.Up{Isolation: &link.Isolation{Isolated: is}} }

	// Callers would go on being sent to an entry that has lost its connections to the servers.
	It("tells its followers which entries have become isolated, and new followers all of them", func() {
		l := newLeader()
		first, second := &follower{}, &follower{}
		l.Join("e-1", first, link.Hello{})
		l.Join("e-2", second, link.Hello{})
		l.Receive("e-2", second, isolated(true))
		l.BroadcastIsolation()
		Expect(first.takeLast().IsolationChanges).To(Equal(&link.IsolationChanges{Isolated: []string{"e-2"}}))
		l.Receive("e-2", second, isolated(true))
		l.BroadcastIsolation()
		Expect(first.received).To(BeEmpty(), "nothing has changed")
		third := &follower{}
		l.Join("e-3", third, link.Hello{})
		Expect(third.takeLast().IsolationChanges).To(Equal(&link.IsolationChanges{Isolated: []string{"e-2"}}))
		l.Receive("e-2", second, isolated(false))
		l.BroadcastIsolation()
		Expect(first.takeLast().IsolationChanges).To(Equal(&link.IsolationChanges{Reaching: []string{"e-2"}}))
	})

	It("knows whether other entries reach the servers", func() {
		l := newLeader()
		l.Join("self", &follower{}, link.Hello{})
		Expect(l.OthersReachServers("self")).To(BeFalse())
		other := &follower{}
		l.Join("e-1", other, link.Hello{})
		Expect(l.OthersReachServers("self")).To(BeTrue())
		l.Receive("e-1", other, isolated(true))
		Expect(l.OthersReachServers("self")).To(BeFalse())
	})
})
