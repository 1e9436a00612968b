package leader_test

import (
	"encoding/json"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/entry/leader"
	link "github.com/skylarkpond/skylarkpond/link/leader"
)

var _ = Describe("Servers that have asked an entry for a pause", func() {
	var (
		l             *leader.Leader
		first, second *follower
		servers       map[backend.ID]*backend.Server
	)
	head := func(id backend.ID, startedAt int64) *backend.Server {
		return &backend.Server{
			ID: id, Service: "chat", Fabric: "d", Model: "large", Slots: 4, StartedAtMillis: startedAt,
			Group: backend.Membership{GroupKey: backend.GroupKey{Name: string(id), Epoch: 1}, State: backend.GroupOpen},
		}
	}
	BeforeEach(func() {
		first, second = &follower{}, &follower{}
		servers = map[backend.ID]*backend.Server{"i-1": head("i-1", 5), "i-2": head("i-2", 5)}
		engine := &route.Engine{Slots: 4, Models: []route.Model{{Name: "large", Size: 1, TimeFactor: 1}}}
		table := route.NewTable(3, nil, []route.Service{{Name: "chat", Engine: engine}}, nil, route.Limits{})
		l = leader.New(leader.Deps{
			AnnounceLeaving: func(link.Leaving) bool { return true }, AnnouncedLeaving: func() []link.Leaving { return nil },
			IsLeader: func() bool { return true }, Listing: func() *backend.Listing { return backend.NewListing(1, servers) },
			ListAge: func() time.Duration { return 0 }, Table: func() *route.Table { return table },
			Config: func() (uint64, json.RawMessage) { return 3, nil }, Confirmed: func() bool { return true },
			Dissolving:  func(backend.GroupKey) bool { return false },
			KnownLimits: func() []link.ServerLimit { return nil }, ReportLimit: func(leader.LimitChange) {},
		})
		l.RefreshGroups()
	})
	key := uint64(0)
	ask := func(entry string, to *follower) link.Down {
		GinkgoHelper()
		key++
		l.Receive(entry, to, link.Up{TurnRequest: &link.TurnRequest{Key: key, Service: "chat", Model: "large", MaxWaitMs: 100}})
		return to.takeLast()
	}

	It("are granted to the others, and the refusal names them", func() {
		l.Join("e-1", first, link.Hello{})
		l.Join("e-2", second, link.Hello{})
		for _, server := range []backend.ID{"i-1", "i-2"} {
			l.Receive("e-1", first, link.Up{Pause: &link.Pause{Server: server, Process: 5, Ms: 3000}})
		}
		refusal := ask("e-1", first).Refusal
		Expect(refusal).NotTo(BeNil())
		Expect(refusal.Reason).To(Equal("paused"))
		Expect(refusal.RetryAfterMs).To(BeNumerically(">", 2500))
		_, left, found := strings.Cut(refusal.Detail, "2 servers want no requests of this entry: i-1 for another ")
		Expect(found).To(BeTrue(), refusal.Detail)
		Expect(time.ParseDuration(left)).To(And(BeNumerically(">", 2500*time.Millisecond), BeNumerically("<=", 3*time.Second)))
		Expect(ask("e-2", second).Grant).To(HaveField("Watched", true))
	})

	// A new leader would grant what the one before had learned not to.
	It("are known to a new leader from the entries that link to it", func() {
		l.Join("e-1", first, link.Hello{Pauses: []link.Pause{{Server: "i-1", Process: 5, Ms: 3000}}})
		for range 3 {
			Expect(ask("e-1", first).Grant.Head).To(Equal(backend.ID("i-2")))
		}
	})

	It("are granted again once they have started anew, and a late report of the earlier process changes nothing", func() {
		l.Join("e-1", first, link.Hello{Pauses: []link.Pause{{Server: "i-1", Process: 5, Ms: 3000}, {Server: "i-2", Process: 5, Ms: 3000}}})
		servers["i-1"] = head("i-1", 6)
		l.SweepPauses()
		l.Receive("e-1", first, link.Up{Pause: &link.Pause{Server: "i-1", Process: 5, Ms: 3000}})
		Expect(ask("e-1", first).Grant.Head).To(Equal(backend.ID("i-1")))
	})
})
