package standing_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/domain"
	"github.com/skylarkpond/skylarkpond/entry/standing"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	"github.com/skylarkpond/skylarkpond/link/upstream"
	policy "github.com/skylarkpond/skylarkpond/policy/standing"
)

func TestStanding(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "standing")
}

var _ = Describe("Tracker", func() {
	var (
		tracker      *standing.Tracker
		servers      map[backend.ID]*backend.Server
		began        []standing.Cold
		ended        []backend.ID
		invalid      []string
		evacuations  int
		returnedFrom []domain.FailureDomain
	)
	BeforeEach(func() {
		began, ended, invalid, evacuations, returnedFrom = nil, nil, nil, 0, nil
		servers = map[backend.ID]*backend.Server{
			"i-1": {ID: "i-1", Service: "chat", FailureDomain: "a", StartedAtMillis: 5, Revision: 1},
			"i-2": {ID: "i-2", Service: "chat", FailureDomain: "b", StartedAtMillis: 5, Revision: 2},
			"d-1": {ID: "d-1", Service: "desk", FailureDomain: "a", StartedAtMillis: 5, Revision: 3},
		}
		table := route.NewTable(1, nil, []route.Service{
			{Name: "chat", ColdTime: 200 * time.Millisecond, ColdPerSecond: 14}, {Name: "desk", ColdTime: time.Second},
		}, nil, route.Limits{})
		tracker = standing.New(standing.Deps{
			Table: func() *route.Table { return table }, Listing: func() *backend.Listing { return backend.NewListing(9, servers) },
			ColdBegan: func(cold standing.Cold) { began = append(began, cold) }, ColdEnded: func(id backend.ID) { ended = append(ended, id) },
			Invalid:         func(_ backend.ID, text string) { invalid = append(invalid, text) },
			EvacuationBegan: func(_ domain.FailureDomain, n int) { evacuations += n },
			EvacuationEnded: func(name domain.FailureDomain, _ int, _ time.Duration) { returnedFrom = append(returnedFrom, name) },
		})
	})
	set := func(id backend.ID, change func(*backend.Server)) *backend.Server {
		changed := *servers[id]
		changed.Revision++
		change(&changed)
		servers[id] = &changed
		tracker.Observe()
		return &changed
	}
	cold := func(id backend.ID) bool { return tracker.Of(servers[id]).Reason == policy.Cold }

	// Guards against requests without a limit to a server whose registration says that it is cold.
	It("limits a server that registers as cold until its time is over", func() {
		set("i-1", func(s *backend.Server) { s.ColdFor = 150 * time.Millisecond })
		Expect(tracker.Of(servers["i-1"]).PerSecond).To(Equal(14.0))
		Expect(tracker.Limited(servers["i-2"])).To(BeFalse())
		Expect(began).To(HaveLen(1))
		Expect(began[0].Source).To(Equal(standing.Registered))
		Eventually(func() bool { return cold("i-1") }).Should(BeFalse())
		tracker.Sweep()
		Expect(ended).To(ConsistOf(backend.ID("i-1")))
	})

	It("believes the latest registration", func() {
		set("i-1", func(s *backend.Server) { s.ColdFor = time.Minute })
		set("i-1", func(s *backend.Server) { s.ColdFor = 0 })
		Expect(cold("i-1")).To(BeFalse())
	})

	It("takes a time that can't be read for the service's cold time", func() {
		set("i-1", func(s *backend.Server) { s.ColdFor = backend.ColdUnknown })
		tracker.Observe()
		Expect(cold("i-1")).To(BeTrue())
		Expect(invalid).To(HaveLen(1))
		Eventually(func() bool { return cold("i-1") }).Should(BeFalse())
	})

	// Guards against a server that becomes cold again between two registrations.
	It("hears of a cold server from an answer, and says once that this is new", func() {
		heard := link.Cold{Server: "i-1", Process: 5, Ms: 60_000}
		Expect(tracker.Hear(heard)).To(BeTrue())
		Expect(tracker.Hear(heard)).To(BeFalse())
		Expect(cold("i-1")).To(BeTrue())
		Expect(tracker.Heard()).To(HaveLen(1))
		set("i-1", func(s *backend.Server) { s.StartedAtMillis = 6 })
		Expect(cold("i-1")).To(BeFalse(), "a later process")
		Expect(tracker.Hear(heard)).To(BeFalse(), "an earlier process")
	})

	It("limits no server of a service without a rate", func() {
		set("d-1", func(s *backend.Server) { s.ColdFor = time.Minute })
		Expect(tracker.Hear(link.Cold{Server: "d-1", Process: 5, Ms: 60_000})).To(BeFalse())
		Expect(tracker.Limited(servers["d-1"])).To(BeFalse())
	})

	// Guards against requests, reports, orders and probes to an evacuated failure domain, and against the whole load at once on its cold servers when it is
	// taken back.
	It("blocks an evacuated failure domain, and takes its servers for cold when it is taken back", func() {
		tracker.SetEvacuated([]domain.FailureDomain{"a", "unknown"})
		Expect(evacuations).To(Equal(2))
		Expect(tracker.Blocked(servers["i-1"])).To(BeTrue())
		Expect(tracker.Blocked(servers["d-1"])).To(BeTrue())
		Expect(tracker.Blocked(servers["i-2"])).To(BeFalse())
		Expect(tracker.Permits(upstream.EndpointOf(servers["i-1"]))).To(BeFalse())
		Expect(tracker.Permits(upstream.EndpointOf(servers["i-2"]))).To(BeTrue())
		_, evacuated := tracker.Counts()
		Expect(evacuated).To(Equal(2))
		tracker.SetEvacuated(nil)
		Expect(returnedFrom).To(ConsistOf(domain.FailureDomain("a"), domain.FailureDomain("unknown")))
		Expect(tracker.Permits(upstream.EndpointOf(servers["i-1"]))).To(BeTrue())
		Expect(cold("i-1")).To(BeTrue())
		Expect(cold("i-2")).To(BeFalse())
		Eventually(func() bool { return cold("i-1") }).Should(BeFalse())
	})

	// Guards against reports and orders to a server of an evacuated failure domain whose registration has lapsed, as after a cut from the platform.
	It("permits nothing to a server whose registration lapses during the evacuation", func() {
		Expect(tracker.KnowsEvacuations()).To(BeFalse())
		tracker.SetEvacuated([]domain.FailureDomain{"a"})
		Expect(tracker.KnowsEvacuations()).To(BeTrue())
		known, late := upstream.EndpointOf(servers["i-1"]), &backend.Server{ID: "i-9", Service: "chat", FailureDomain: "a", StartedAtMillis: 5, Revision: 1}
		servers["i-9"] = late
		tracker.Observe()
		delete(servers, "i-1")
		delete(servers, "i-9")
		tracker.Observe()
		Expect(tracker.Permits(known)).To(BeFalse())
		Expect(tracker.Permits(upstream.EndpointOf(late))).To(BeFalse())
		tracker.SetEvacuated(nil)
		Expect(tracker.Permits(known)).To(BeTrue())
	})

	// Another entry has heard from a process that is not listed here yet: its registration must not end what it has said.
	It("keeps what a process has said when the list first shows it", func() {
		Expect(tracker.Hear(link.Cold{Server: "i-1", Process: 6, Ms: 60_000})).To(BeTrue())
		set("i-1", func(s *backend.Server) { s.StartedAtMillis = 6 })
		Expect(cold("i-1")).To(BeTrue())
	})

	It("blocks a server that can't be reached until it has answered or started again", func() {
		tracker.SetUnreachable(servers["i-1"], true)
		Expect(tracker.Of(servers["i-1"]).Reason).To(Equal(policy.Unreachable))
		Expect(tracker.Permits(upstream.EndpointOf(servers["i-1"]))).To(BeTrue(), "it is probed")
		tracker.SetUnreachable(servers["i-1"], false)
		Expect(tracker.Blocked(servers["i-1"])).To(BeFalse())
		tracker.SetUnreachable(servers["i-1"], true)
		set("i-1", func(s *backend.Server) { s.StartedAtMillis = 6 })
		Expect(tracker.Blocked(servers["i-1"])).To(BeFalse())
	})
})
