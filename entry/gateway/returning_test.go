package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/entry/leader"
	"github.com/skylarkpond/skylarkpond/entry/limits"
	"github.com/skylarkpond/skylarkpond/entry/suspects"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	"github.com/skylarkpond/skylarkpond/logline"
	"github.com/skylarkpond/skylarkpond/policy/turns"
)

var _ = Describe("A new leader after the loss of all entries", func() {
	var (
		lines    *bytes.Buffer
		reported []turns.ReturningCount
		keys     uint64
	)
	BeforeEach(func() { lines, reported = &bytes.Buffer{}, nil })
	// newEntry returns the parts of an entry that keep slots for new requests. One group of 40 slots serves.
	newEntry := func() *shared {
		log := logrus.New()
		log.SetOutput(lines)
		engine := &route.Engine{Slots: 40, Models: []route.Model{{Name: "m", Size: 1}}}
		table := route.NewTable(1, nil, []route.Service{{Name: "chat", Engine: engine}}, nil, route.Limits{})
		head := backend.Membership{GroupKey: backend.GroupKey{Name: "g", Epoch: 1}, State: backend.GroupOpen}
		listing := backend.NewListing(1, map[backend.ID]*backend.Server{"i-1": {ID: "i-1", Service: "chat", Model: "m", Group: head}})
		return &shared{
			config: Config{Returning: returningReserve}, log: log.WithField("entry", "e"), registry: metrics.NewRegistry(),
			components: &components{
				limits: limits.New(limits.Deps{}), suspects: suspects.New(suspects.Deps{SendToLeader: func(link.Up) {}}),
				leader: leader.New(leader.Deps{
					IsLeader: func() bool { return true }, Table: func() *route.Table { return table }, Listing: func() *backend.Listing { return listing },
					ListAge: func() time.Duration { return 0 }, Dissolving: func(backend.GroupKey) bool { return false }, Confirmed: func() bool { return true },
					KnownLimits: func() []link.ServerLimit { return nil }, ReportDemand: func(turns.Demand) {},
					ReserveForNew: true, ReportReturning: func(count turns.ReturningCount) { reported = append(reported, count) },
				}),
			},
		}
	}
	// ask sends a request of each of 40 teams and ends it.
	ask := func(s *shared, remaining time.Duration) {
		for team := range 40 {
			keys++
			to := &loopbackLink{queue: make(chan link.Down, loopbackQueueSize)}
			s.components.leader.Receive("e", to, link.Up{TurnRequest: &link.TurnRequest{
				Key: keys, Service: "chat", Model: "m", Team: fmt.Sprint(team), DeadlineMs: remaining.Milliseconds(), Fingerprint: keys, FirstTokenBudgetMs: 200, MaxWaitMs: 200,
			}})
			s.components.leader.Receive("e", to, link.Up{Done: &link.Done{Key: keys, Complete: true}})
		}
	}
	// recognized returns how many of 40 requests with 4 s left a new leader takes for those of returning callers.
	recognized := func(attachment json.RawMessage) int {
		s := newEntry()
		for range 3 { // the lease is read several times before it is acquired
			if attachment != nil {
				s.attachmentRead(attachment)
			}
		}
		s.components.leader.RefreshGroups()
		ask(s, 4*time.Second)
		s.components.leader.MeasureDemand()
		if len(reported) == 0 {
			return 0
		}
		return reported[len(reported)-1].Recognized
	}
	// learned returns the attachment of a leader whose callers have deadlines of 6 s.
	learned := func() json.RawMessage {
		s := newEntry()
		s.components.leader.RefreshGroups()
		Eventually(func() int {
			ask(s, 6*time.Second)
			return s.components.leader.KnownDeadlines()
		}, "5s", "100ms").Should(Equal(1))
		return s.leaseAttachment()
	}

	// Guards against a new leader that takes all callers that return for new ones: no process remembers them.
	It("recognizes callers that return if the lease tells their usual deadlines", func() {
		attachment := learned()
		Expect(len(attachment)).To(BeNumerically("<", 400))
		Expect(recognized(attachment)).To(Equal(40))
		Expect(lines.String()).To(BeEmpty())
	})

	It("takes all for new callers without the attachment, or with one of an earlier version", func() {
		Expect(recognized(nil)).To(BeZero())
		Expect(recognized(json.RawMessage(`{"limits":[]}`))).To(BeZero())
		Expect(lines.String()).To(BeEmpty())
	})

	// Guards against a leader that rejects everybody, or does not start, for what an earlier version or a fault has written.
	DescribeTable("ignores what can't be read, and says so once", func(callers string) {
		Expect(recognized(json.RawMessage(`{"callers":` + callers + `}`))).To(BeZero())
		Expect(strings.Count(lines.String(), logline.CallersInvalid)).To(Equal(1), lines.String())
	},
		Entry(nil, `7`),
		Entry(nil, `{"deadlines":[{"model":"chat/m","ms":-5}]}`),
		Entry(nil, `{"deadlines":[{"model":"chat/m","ms":9000000000}]}`),
		Entry(nil, `{"deadlines":[{"ms":6000}]}`),
		Entry(nil, `{"deadlines":[{"model":"chat/m","ms":6000,"teams":[{"team":"t","ms":0}]}]}`),
		Entry(nil, `{"deadlines":[{"model":"chat/m","ms":6000}],"models":[{"model":"chat/m","new_per_second":1e300,"turn_ms":1}]}`),
	)
})
