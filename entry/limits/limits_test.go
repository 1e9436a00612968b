package limits_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/entry/limits"
	link "github.com/skylarkpond/skylarkpond/link/leader"
)

func TestLimits(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "limits")
}

func perSecond(value float64) *float64 { return &value }

var _ = Describe("Tracker", func() {
	server := &backend.Server{ID: "i-1", Service: "desk", StartedAtMillis: 5}
	var (
		tracker *limits.Tracker
		reports []link.LimitReport
		heard   []limits.Change
		invalid []string
		sent    int
	)
	BeforeEach(func() {
		reports, heard, invalid, sent = nil, nil, nil, 0
		tracker = limits.New(limits.Deps{
			SendToLeader: func(message link.Up) { reports = append(reports, *message.LimitReport) },
			Changed:      func(change limits.Change) { heard = append(heard, change) },
			Sent:         func(*backend.Server) { sent++ },
			Invalid:      func(_ *backend.Server, text string) { invalid = append(invalid, text) },
		})
	})
	answered := func(known limits.Knowledge, limit *float64) {
		tracker.Answered(limits.Answer{Server: server, Known: known, PerSecond: limit})
	}
	told := func(limit float64, version uint64) {
		tracker.ApplyChanges(link.LimitChanges{Limits: []link.ServerLimit{{Server: "i-1", Process: 5, PerSecond: limit, Version: version}}})
	}

	// What an entry hears has to reach the one that decides for all.
	It("limits a server at once, and reports it", func() {
		answered(tracker.Sending(server), perSecond(2))
		Expect(tracker.Limited(server)).To(BeTrue())
		Expect(reports).To(Equal([]link.LimitReport{{Server: "i-1", Process: 5, PerSecond: perSecond(2)}}))
		answered(tracker.Sending(server), perSecond(2))
		Expect(reports).To(HaveLen(1))
		Expect(heard).To(HaveLen(1))
		Expect(sent).To(Equal(1))
	})

	// The answer to a request that was sent before the limit was known does not say that it is gone.
	It("reports that a limit is gone only by answers to requests that were sent with it known, and leaves it to the leader", func() {
		before := tracker.Sending(server)
		told(2, 7)
		answered(before, nil)
		Expect(reports).To(BeEmpty())
		answered(tracker.Sending(server), nil)
		Expect(reports).To(Equal([]link.LimitReport{{Server: "i-1", Process: 5, Basis: 7}}))
		Expect(tracker.Limited(server)).To(BeTrue())
		tracker.ApplyChanges(link.LimitChanges{Lifted: []backend.ID{"i-1"}})
		Expect(tracker.Limited(server)).To(BeFalse())
	})

	It("reports a lower limit at once, and a higher one like none", func() {
		before := tracker.Sending(server)
		told(2, 7)
		answered(before, perSecond(20))
		Expect(reports).To(BeEmpty())
		answered(before, perSecond(1))
		Expect(reports).To(HaveLen(1))
		told(1, 8)
		answered(tracker.Sending(server), perSecond(20))
		Expect(reports[1]).To(Equal(link.LimitReport{Server: "i-1", Process: 5, PerSecond: perSecond(20), Basis: 8}))
	})

	It("does not limit a later process of the server", func() {
		told(2, 7)
		Expect(tracker.Limited(&backend.Server{ID: "i-1", StartedAtMillis: 6})).To(BeFalse())
		Expect(tracker.Limited(&backend.Server{ID: "i-1", StartedAtMillis: 4})).To(BeTrue())
		tracker.Answered(limits.Answer{Server: &backend.Server{ID: "i-1", StartedAtMillis: 4}, PerSecond: perSecond(1)})
		Expect(reports).To(BeEmpty())
	})

	It("takes a limit that can't be read for no statement, and tells of the first of each server", func() {
		told(2, 7)
		for range 3 {
			tracker.Answered(limits.Answer{Server: server, Known: tracker.Sending(server), Invalid: "abc"})
		}
		Expect(invalid).To(Equal([]string{"abc"}))
		Expect(reports).To(BeEmpty())
		Expect(tracker.Limited(server)).To(BeTrue())
	})

	// An entry hears of a limit while it sets up its link to a new leader.
	It("reports what it has heard without a leader once more", func() {
		answered(limits.Knowledge{}, perSecond(2))
		Expect(tracker.Unconfirmed()).To(Equal([]link.Up{{LimitReport: &reports[0]}}))
		told(2, 7)
		Expect(tracker.Unconfirmed()).To(BeEmpty())
	})

	It("stores the limits and restores them, but for servers of which it knows one", func() {
		Expect(tracker.Encode()).To(BeNil())
		told(2, 7)
		stored := tracker.Encode()
		other := limits.New(limits.Deps{})
		other.ApplyChanges(link.LimitChanges{Limits: []link.ServerLimit{{Server: "i-2", PerSecond: 1, Version: 3}}})
		Expect(other.Restore(stored)).To(Succeed())
		Expect(other.Limited(server)).To(BeTrue())
		Expect(other.Count()).To(Equal(2))
		Expect(other.Restore([]byte("{}"))).NotTo(Succeed())
		Expect(other.Restore([]byte(`[{"server":"i-9","per_second":1e300},{"server":"i-8","per_second":-1}]`))).To(Succeed())
		Expect(other.Limits()).NotTo(ContainElement(HaveField("Server", BeElementOf(backend.ID("i-8"), backend.ID("i-9")))), "out of range")
	})
})
