package turns_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/policy/capacity"
	"github.com/skylarkpond/skylarkpond/policy/turns"
)

func TestTurns(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "turns")
}

func constantRandom() float64 { return 0.5 }

func groups(n, slots int) []turns.Group {
	list := make([]turns.Group, 0, n)
	for i := range n {
		list = append(list, turns.Group{Head: fmt.Sprintf("head%d", i), Model: "m", Engine: capacity.Engine{Slots: slots}})
	}
	return list
}

var completed = turns.End{Complete: true}

func newRequest(key string) turns.Request {
	return turns.Request{Key: key, Model: "m", MaxWait: 200 * time.Millisecond}
}

var _ = Describe("Scheduler", func() {
	var s *turns.Scheduler
	config := turns.DefaultConfig()
	config.Overcommit = 0
	BeforeEach(func() { s = turns.New(config) })

	only := func(decisions []turns.Decision) turns.Decision {
		GinkgoHelper()
		Expect(decisions).To(HaveLen(1))
		return decisions[0]
	}

	It("grants turns at the group with the largest share of free slots", func() {
		s.SetGroups(0, []turns.Group{
			{Head: "a", Model: "m", Engine: capacity.Engine{Slots: 4}},
			{Head: "b", Model: "m", Engine: capacity.Engine{Slots: 2}},
			{Head: "c", Model: "other", Engine: capacity.Engine{Slots: 9}},
		}, constantRandom)
		var heads []string
		for i := range 6 {
			heads = append(heads, only(s.Submit(0, newRequest(fmt.Sprint(i)), constantRandom)).Head)
		}
		Expect(heads).To(ConsistOf("a", "a", "a", "a", "b", "b"))
	})

	It("queues requests in order of arrival, and grants a freed slot to the first", func() {
		s.SetGroups(0, groups(1, 1), constantRandom)
		only(s.Submit(0, newRequest("runs"), constantRandom))
		patient := newRequest("first")
		patient.MaxWait = 5 * time.Second
		Expect(s.Submit(0, patient, constantRandom)).To(BeEmpty())
		patient.Key = "second"
		Expect(s.Submit(time.Millisecond, patient, constantRandom)).To(BeEmpty())
		Expect(only(s.Done(100*time.Millisecond, "runs", completed, constantRandom)).Key).To(Equal("first"))
		Expect(only(s.Done(200*time.Millisecond, "first", completed, constantRandom)).Key).To(Equal("second"))
	})

	// All slots are taken for a long time. A request that waits until its deadline costs its caller the time to try
	// elsewhere or to retry.
	It("rejects at once a request that can't be granted a turn in time, and returns a retry delay", func() {
		s.SetGroups(0, groups(1, 2), constantRandom)
		only(s.Submit(0, newRequest("a"), constantRandom))
		only(s.Submit(0, newRequest("b"), constantRandom))
		d := only(s.Submit(0, newRequest("c"), constantRandom))
		Expect(d.Reason).To(Equal(turns.TooLate))
		Expect(d.RetryAfter).To(BeNumerically(">=", config.MinRetryAfter))
	})

	It("rejects a request that has waited for its maximum wait", func() {
		s.SetGroups(0, groups(1, 20), constantRandom)
		for i := range 20 {
			only(s.Submit(0, newRequest(fmt.Sprint(i)), constantRandom))
		}
		Expect(s.Submit(0, newRequest("waits"), constantRandom)).To(BeEmpty())
		Expect(s.Tick(199*time.Millisecond, constantRandom)).To(BeEmpty())
		Expect(only(s.Tick(200*time.Millisecond, constantRandom)).Reason).To(Equal(turns.TooLate))
	})

	It("gives the reason of a rejection", func() {
		Expect(only(s.Submit(0, newRequest("a"), constantRandom)).Reason).To(Equal(turns.NoGroup))
		s.SetGroups(0, groups(1, 2), constantRandom)
		tried := newRequest("b")
		tried.TriedHeads = []string{"head0"}
		Expect(only(s.Submit(0, tried, constantRandom)).Reason).To(Equal(turns.TriedAll))
	})

	// A group has lost a member: it accepts requests but makes no progress, and each further request sent there is
	// lost for seconds.
	It("grants no turns at a suspected group until the suspicion is cleared", func() {
		s.SetGroups(0, groups(2, 4), constantRandom)
		s.Suspect(0, "head0")
		for i := range 4 {
			Expect(only(s.Submit(0, newRequest(fmt.Sprint(i)), constantRandom)).Head).To(Equal("head1"))
		}
		s.ClearSuspicion(0, "head0", constantRandom)
		Expect(only(s.Submit(0, newRequest("x"), constantRandom)).Head).To(Equal("head0"))
	})

	It("grants the slots of a new group to waiting requests", func() {
		s.SetGroups(0, groups(1, 20), constantRandom)
		for i := range 20 {
			only(s.Submit(0, newRequest(fmt.Sprint(i)), constantRandom))
		}
		Expect(s.Submit(0, newRequest("waits"), constantRandom)).To(BeEmpty())
		Expect(only(s.SetGroups(0, groups(2, 20), constantRandom)).Head).To(Equal("head1"))
	})

	// An entry dies with requests in progress. If its turns were kept, their slots would be lost for good.
	It("releases all turns of an entry that is gone", func() {
		s.SetGroups(0, groups(1, 2), constantRandom)
		only(s.Submit(0, newRequest("entry1/1"), constantRandom))
		only(s.Submit(0, newRequest("entry1/2"), constantRandom))
		s.Forget(0, "entry1/", constantRandom)
		Expect(only(s.Submit(0, newRequest("entry2/1"), constantRandom)).Reason).To(Equal(turns.Granted))
		Expect(s.Loads(0)).To(ConsistOf(HaveField("Running", 1)))
	})

	// The scheduling entry has died, and another one takes over. Without the turns that the other entries hold, it
	// would send requests to full groups.
	It("counts the turns granted by a previous scheduler", func() {
		s.SetGroups(0, groups(1, 2), constantRandom)
		held := map[string]string{"entry1/1": "head0", "entry1/2": "head0"}
		s.Reconcile(0, "entry1/", held, constantRandom)
		s.Reconcile(0, "entry1/", held, constantRandom)
		Expect(only(s.Submit(0, newRequest("entry2/1"), constantRandom)).Reason).To(Equal(turns.TooLate))
		s.Done(0, "entry1/1", completed, constantRandom)
		Expect(only(s.Submit(0, newRequest("entry2/2"), constantRandom)).Reason).To(Equal(turns.Granted))
	})

	// A new scheduling entry is told of turns at a group that it does not know yet, so their model is unknown; then
	// these turns end.
	It("reports no demand for a model without a name", func() {
		s.Reconcile(0, "entry1/", map[string]string{"entry1/1": "head9"}, constantRandom)
		s.Done(0, "entry1/1", completed, constantRandom)
		s.SetGroups(0, groups(1, 3), constantRandom)
		only(s.Submit(0, newRequest("entry2/1"), constantRandom))
		Expect(s.Demands(0)).To(ConsistOf(HaveField("Model", "m")))
	})

	// An entry loses its connection to the scheduler for a moment, and requests end meanwhile. If their turns stayed,
	// they would fill idle groups, and callers would be rejected for as long as the scheduler lives.
	It("ends the turns that an entry no longer holds, and keeps those of other entries", func() {
		s.SetGroups(0, groups(1, 3), constantRandom)
		for _, key := range []string{"entry1/1", "entry1/2", "entry2/1"} {
			only(s.Submit(0, newRequest(key), constantRandom))
		}
		s.Reconcile(0, "entry1/", map[string]string{"entry1/2": "head0"}, constantRandom)
		Expect(s.Loads(0)).To(ConsistOf(HaveField("Running", 2)))
		s.Done(0, "entry1/1", completed, constantRandom)
		Expect(s.Loads(0)).To(ConsistOf(HaveField("Running", 2)))
	})

	// A rejected caller retries, and another one arrives for the first time: only the latter's answer can still be in
	// time.
	It("queues a retry behind new requests, and counts it once", func() {
		s.SetGroups(0, groups(1, 4), constantRandom)
		for _, key := range []string{"r1", "r2", "r3", "r4"} {
			only(s.Submit(0, newRequest(key), constantRandom))
		}
		retried := turns.Request{Key: "a/1", Model: "m", FirstTokenBudget: 110 * time.Millisecond, MaxWait: 110 * time.Millisecond, Fingerprint: 7}
		Expect(only(s.Submit(0, retried, constantRandom)).Reason).To(Equal(turns.TooLate))
		retried.Key = "b/1"
		Expect(s.Submit(time.Second, retried, constantRandom)).To(BeEmpty())
		fresh := turns.Request{Key: "c/1", Model: "m", FirstTokenBudget: 5 * time.Second, MaxWait: 5 * time.Second, Fingerprint: 8}
		Expect(s.Submit(time.Second, fresh, constantRandom)).To(BeEmpty())
		Expect(only(s.Done(1100*time.Millisecond, "r1", completed, constantRandom)).Key).To(Equal("c/1"))
		Expect(s.Demands(1100 * time.Millisecond)[0].NewRequests).To(Equal(6))
	})

	It("serves urgent requests first, then new requests, then retries", func() {
		s.SetGroups(0, groups(1, 1), constantRandom)
		only(s.Submit(0, newRequest("runs"), constantRandom))
		for _, r := range []turns.Request{
			{Key: "returning", Retry: true}, {Key: "fresh"}, {Key: "urgent", Priority: -1}, {Key: "fresh2"},
		} {
			r.Model, r.MaxWait = "m", time.Minute
			Expect(s.Submit(0, r, constantRandom)).To(BeEmpty())
		}
		order := []string{}
		for key := "runs"; len(order) < 4; {
			key = only(s.Done(0, key, completed, constantRandom)).Key
			order = append(order, key)
		}
		Expect(order).To(Equal([]string{"urgent", "fresh", "fresh2", "returning"}))
	})
})

var _ = Describe("WaitBounds", func() {
	DescribeTable("return the time that the objective leaves",
		func(objective, elapsed time.Duration, returning bool, due, patience time.Duration) {
			gotDue, gotPatience := turns.WaitBounds(objective, elapsed, returning)
			Expect(gotDue).To(Equal(due))
			Expect(gotPatience).To(Equal(patience))
		},
		Entry("no time elapsed", 300*time.Millisecond, time.Duration(0), false, 285*time.Millisecond, 285*time.Millisecond),
		Entry("time elapsed", 300*time.Millisecond, 150*time.Millisecond, false, 135*time.Millisecond, 135*time.Millisecond),
		Entry("no time left", 100*time.Millisecond, 95*time.Millisecond, false, 25*time.Millisecond, 25*time.Millisecond),
		Entry("retry", 300*time.Millisecond, time.Duration(0), true, time.Duration(0), 600*time.Millisecond),
	)
})

func BenchmarkAsk(b *testing.B) {
	for _, size := range []struct{ entries, groups int }{{13, 12}, {142, 30}, {330, 630}} {
		b.Run(fmt.Sprintf("%d-entries-%d-groups", size.entries, size.groups), func(b *testing.B) {
			s := turns.New(turns.DefaultConfig())
			s.SetGroups(0, groups(size.groups, 26), constantRandom)
			keys := make([]string, size.groups*20)
			for i := range keys {
				keys[i] = fmt.Sprintf("entry%d/%d", i%size.entries, i)
				s.Submit(0, newRequest(keys[i]), constantRandom)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				key := keys[i%len(keys)]
				s.Done(0, key, completed, constantRandom)
				s.Submit(0, newRequest(key), constantRandom)
			}
		})
	}
}
