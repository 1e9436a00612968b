package leader_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/entry/catalog"
	"github.com/skylarkpond/skylarkpond/entry/leader"
	link "github.com/skylarkpond/skylarkpond/link/leader"
)

var _ = Describe("Requests ordered by team", func() {
	// Guards against a new leader that serves the teams with the most requests in progress first, because it does not know whose turns it adopts. One
	// entry is of an older version and sends no team.
	It("are served by a new leader as by the one before", func() {
		deps := entryDeps(&catalog.ChangeSet{})
		head := &backend.Server{
			ID: "i-1", Service: "chat", Fabric: "d", Model: "large", Slots: 4,
			Group: backend.Membership{GroupKey: backend.GroupKey{Name: "i-1", Epoch: 1}, State: backend.GroupOpen},
		}
		table := route.NewTable(3, nil, []route.Service{{Name: "chat", Engine: &route.Engine{Slots: 4, Models: []route.Model{{Name: "large", Size: 1, TimeFactor: 1}}}}}, nil, route.Limits{})
		deps.Listing = func() *backend.Listing { return backend.NewListing(1, map[backend.ID]*backend.Server{"i-1": head}) }
		deps.Table = func() *route.Table { return table }
		deps.FairTeams = true
		l := leader.New(deps)
		current, older := &follower{}, &follower{}
		l.Join("e-1", current, link.Hello{})
		l.Join("e-2", older, link.Hello{})
		l.Receive("e-1", current, link.Up{HeldTurns: &link.HeldTurns{Running: []link.RunningTurn{{Key: 1, Head: "i-1", Team: "a"}, {Key: 2, Head: "i-1", Team: "a"}, {Key: 3, Head: "i-1", Team: "a"}}}})
		l.Receive("e-2", older, link.Up{HeldTurns: &link.HeldTurns{Running: []link.RunningTurn{{Key: 1, Head: "i-1"}, {Key: 2, Head: "i-1"}}}})
		l.RefreshGroups()
		ask := func(entry string, to *follower, key uint64, team string, maxWait time.Duration) {
			l.Receive(entry, to, link.Up{TurnRequest: &link.TurnRequest{Key: key, Service: "chat", Model: "large", Team: team, MaxWaitMs: maxWait.Milliseconds(), TimeLeftMs: 6000}})
		}
		ask("e-1", current, 10, "a", time.Minute)
		ask("e-2", older, 10, "", time.Minute)
		ask("e-1", current, 11, "b", time.Minute)
		Expect(current.takeLast().Queued).To(Equal(uint64(11)))
		l.Receive("e-1", current, link.Up{Done: &link.Done{Key: 1}})
		Expect(current.takeLast().Grant).To(HaveField("Key", uint64(11)))
		ask("e-1", current, 12, "a", 0)
		refusal := current.takeLast().Refusal
		Expect(refusal.RetryAfterMs).To(And(BeNumerically(">=", 500), BeNumerically("<=", 2000)), "a third of the time left")
		Expect(refusal.Detail).To(ContainSubstring(`team "a" has 2 in progress`))
	})
})
