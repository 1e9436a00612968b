package leader_test

import (
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/entry/leader"
	link "github.com/skylarkpond/skylarkpond/link/leader"
)

var _ = Describe("Limits of servers", func() {
	perSecond := func(value float64) *float64 { return &value }
	var (
		l             *leader.Leader
		first, second *follower
		servers       map[backend.ID]*backend.Server
		changes       []leader.LimitChange
		known         []link.ServerLimit
	)
	BeforeEach(func() {
		changes, known = nil, nil
		first, second = &follower{}, &follower{}
		servers = map[backend.ID]*backend.Server{
			"i-1": {ID: "i-1", Service: "desk", Slots: 4, StartedAtMillis: 5}, "i-2": {ID: "i-2", Service: "desk", Slots: 4},
		}
		table := route.NewTable(3, nil, []route.Service{{Name: "desk"}}, nil, route.Limits{})
		l = leader.New(leader.Deps{
			AnnounceLeaving: func(link.Leaving) bool { return true }, AnnouncedLeaving: func() []link.Leaving { return nil },
			IsLeader: func() bool { return true }, Listing: func() *backend.Listing { return backend.NewListing(1, servers) },
			ListAge: func() time.Duration { return 0 }, Table: func() *route.Table { return table },
			Config: func() (uint64, json.RawMessage) { return 3, nil }, Confirmed: func() bool { return true },
			KnownLimits: func() []link.ServerLimit { return known },
			ReportLimit: func(change leader.LimitChange) { changes = append(changes, change) },
		})
	})
	report := func(limit *float64, basis uint64) {
		l.Receive("e-1", first, link.Up{LimitReport: &link.LimitReport{Server: "i-1", Process: 5, PerSecond: limit, Basis: basis}})
	}
	ask := func(optional bool) link.Down {
		GinkgoHelper()
		l.Receive("e-1", first, link.Up{TurnRequest: &link.TurnRequest{Key: 1, Service: "desk", Optional: optional}})
		return first.takeLast()
	}

	It("tells all followers of a limit that one of them has heard, and when it is gone", func() {
		l.Join("e-1", first, link.Hello{})
		l.Join("e-2", second, link.Hello{})
		report(perSecond(2), 0)
		l.BroadcastLimits()
		told := second.takeLast().LimitChanges.Limits[0]
		Expect(told.PerSecond).To(Equal(2.0))
		Expect(told.Source).To(Equal("e-1"))
		report(nil, 0)
		l.BroadcastLimits()
		Expect(second.received).To(BeEmpty())
		report(nil, told.Version)
		l.BroadcastLimits()
		Expect(second.takeLast().LimitChanges.Lifted).To(Equal([]backend.ID{"i-1"}))
		Expect(changes).To(HaveLen(2))
	})

	// A server that states another value in each answer would have the leader send to hundreds of followers all the time.
	It("tells followers of other values of one limit seldom", func() {
		l.Join("e-1", first, link.Hello{})
		for i := range 10 {
			report(perSecond(float64(20-i)), 0)
			l.BroadcastLimits()
		}
		Expect(first.received).To(HaveLen(1))
	})

	It("adopts the limits that followers know, and tells new followers all", func() {
		l.Join("e-1", first, link.Hello{Limits: []link.ServerLimit{{Server: "i-1", Process: 5, PerSecond: 2}}})
		l.Join("e-2", second, link.Hello{})
		Expect(second.takeLast().LimitChanges).To(HaveField("Complete", true))
	})

	It("ends the limit of a server that has started again", func() {
		l.Join("e-1", first, link.Hello{})
		report(perSecond(2), 0)
		servers["i-1"] = &backend.Server{ID: "i-1", Service: "desk", Slots: 4, StartedAtMillis: 6}
		l.SweepLimits()
		Expect(changes[1].Now).To(BeNil())
	})

	// The first turns of a new leader must not be granted as if no server had a limit.
	It("keeps to the limits that its own entry knows from the moment it leads", func() {
		known = []link.ServerLimit{{Server: "i-1", Process: 5, PerSecond: 2}}
		l.RefreshGroups() // leads from here on
		l.RefreshGroups()
		Expect(changes).To(HaveLen(1))
		l.Join("e-1", first, link.Hello{})
		Expect(ask(true).Refusal).NotTo(BeNil())
	})

	// The lease holds the limits of its last write. A server that has stated a lower one since got requests at the older rate until an entry that knew
	// it was linked.
	It("grants one turn at a time by a limit of an earlier leader until the server has answered", func() {
		known = []link.ServerLimit{{Server: "i-1", Process: 5, PerSecond: 20}}
		l.RefreshGroups()
		l.RefreshGroups()
		l.Join("e-1", first, link.Hello{})
		Eventually(func() *link.Grant { return ask(true).Grant }).Should(HaveField("Watched", true))
		Consistently(func() *link.Grant { return ask(true).Grant }, "300ms").Should(BeNil())
		report(perSecond(0.4), 0)
		l.Receive("e-1", first, link.Up{Accepted: 1})
		Expect(ask(true).Grant).NotTo(BeNil(), "the burst of the lower limit")
		Consistently(func() *link.Grant { return ask(true).Grant }, "300ms").Should(BeNil())
	})

	It("grants turns by a limit of an earlier leader once the server has accepted a request without a lower one", func() {
		known = []link.ServerLimit{{Server: "i-1", Process: 5, PerSecond: 20}}
		l.RefreshGroups()
		l.RefreshGroups()
		l.Join("e-1", first, link.Hello{})
		Eventually(func() *link.Grant { return ask(true).Grant }).ShouldNot(BeNil())
		l.Receive("e-1", first, link.Up{Accepted: 1})
		for range 3 {
			Eventually(func() *link.Grant { return ask(true).Grant }, "200ms").Should(HaveField("Watched", false))
		}
	})

	It("grants turns at limited plain servers as the limit permits, and places of unsent requests again", func() {
		l.Join("e-1", first, link.Hello{})
		report(perSecond(20), 0)
		l.RefreshGroups()
		l.RefreshGroups()
		refusal := ask(true).Refusal
		Expect(refusal).NotTo(BeNil())
		Expect(refusal.Detail).To(ContainSubstring("1 servers take 20 requests a second together: i-1 stated a limit of 20 to e-1"))
		Eventually(func() *link.Grant { return ask(true).Grant }).Should(HaveField("Metered", true))
		Expect(ask(true).Refusal).NotTo(BeNil())
		l.Receive("e-1", first, link.Up{Done: &link.Done{Key: 1, Unsent: true}})
		Expect(ask(true).Grant).NotTo(BeNil())
	})
})
