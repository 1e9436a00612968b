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

var _ = Describe("Plain servers without a limit", func() {
	// play reports 20 requests to each of two servers, of which one rejects some, then asks for turns, and returns how many each got, how many requests
	// were refused, and for which services the follower was told to ask.
	play := func(costRouting bool, rejected int) (used map[backend.ID]int, refused int, services []string) {
		servers := map[backend.ID]*backend.Server{
			"i-1": {ID: "i-1", Service: "desk", Slots: 4}, "i-2": {ID: "i-2", Service: "desk", Slots: 4},
		}
		table := route.NewTable(3, nil, []route.Service{{Name: "desk"}}, nil, route.Limits{})
		l := leader.New(leader.Deps{
			AnnounceLeaving: func(link.Leaving) bool { return true }, AnnouncedLeaving: func() []link.Leaving { return nil },
			IsLeader: func() bool { return true }, Listing: func() *backend.Listing { return backend.NewListing(1, servers) },
			ListAge: func() time.Duration { return 0 }, Table: func() *route.Table { return table },
			Config: func() (uint64, json.RawMessage) { return 3, nil }, Confirmed: func() bool { return true },
			KnownLimits: func() []link.ServerLimit { return nil }, CostRouting: costRouting,
		})
		to := &follower{}
		l.Join("e-1", to, link.Hello{})
		l.RefreshGroups()
		l.Receive("e-1", to, link.Up{PlainEnds: []link.PlainEnds{{Server: "i-2", Answered: 20 - rejected/10, Rejected: rejected / 10}}})
		l.Receive("e-1", to, link.Up{PlainEnds: []link.PlainEnds{{Server: "i-1", Answered: 20 - rejected, Rejected: rejected}}})
		for _, message := range to.received {
			if told := message.PlainServices; told != nil {
				services = told.Services
			}
		}
		used = make(map[backend.ID]int)
		for key := uint64(1); key <= 20; key++ {
			l.Receive("e-1", to, link.Up{TurnRequest: &link.TurnRequest{Key: key, Service: "desk", Optional: true}})
			reply := to.takeLast()
			if reply.Grant == nil {
				refused++
				continue
			}
			used[reply.Grant.Head]++
			rejects := reply.Grant.Head == "i-1"
			l.Receive("e-1", to, link.Up{Done: &link.Done{Key: key, Complete: !rejects, Rejected: rejects}})
		}
		return used, refused, services
	}

	It("get turns while one rejects more than the others, that one few", func() {
		used, refused, services := play(true, 20)
		Expect(services).To(Equal([]string{"desk"}))
		Expect(refused).To(BeZero())
		Expect(used["i-1"]).To(BeNumerically("<=", 2))
		Expect(used["i-2"]).To(BeNumerically(">=", 18))
	})

	It("get none while all accept their requests, or without cost routing", func() {
		used, _, services := play(true, 0)
		Expect(used).To(BeEmpty())
		Expect(services).To(BeEmpty())
		used, _, services = play(false, 20)
		Expect(used).To(BeEmpty())
		Expect(services).To(BeEmpty())
	})
})
