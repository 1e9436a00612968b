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

func even() float64 { return 0.5 }

func groups(n, slots int) []turns.Group {
	list := make([]turns.Group, 0, n)
	for i := range n {
		list = append(list, turns.Group{Head: fmt.Sprintf("head%d", i), Model: "m", Engine: capacity.Engine{Slots: slots}})
	}
	return list
}

var whole = turns.End{Complete: true}

func ask(key string) turns.Request {
	return turns.Request{Key: key, Model: "m", MaxWait: 200 * time.Millisecond}
}

var _ = Describe("Scheduler", func() {
	var s *turns.Scheduler
	config := turns.DefaultConfig()
	config.Overcommit = 0
	BeforeEach(func() { s = turns.New(config) })

	one := func(decisions []turns.Decision) turns.Decision {
		GinkgoHelper()
		Expect(decisions).To(HaveLen(1))
		return decisions[0]
	}

	It("gives turns at the group with the largest share of free places", func() {
		s.SetGroups(0, []turns.Group{
			{Head: "a", Model: "m", Engine: capacity.Engine{Slots: 4}},
			{Head: "b", Model: "m", Engine: capacity.Engine{Slots: 2}},
			{Head: "c", Model: "other", Engine: capacity.Engine{Slots: 9}},
		}, even)
		var heads []string
		for i := range 6 {
			heads = append(heads, one(s.Submit(0, ask(fmt.Sprint(i)), even)).Head)
		}
		Expect(heads).To(ConsistOf("a", "a", "a", "a", "b", "b"))
	})

	It("lets requests wait in the order of their arrival, and gives the place that comes free to the first", func() {
		s.SetGroups(0, groups(1, 1), even)
		one(s.Submit(0, ask("runs"), even))
		patient := ask("first")
		patient.MaxWait = 5 * time.Second
		Expect(s.Submit(0, patient, even)).To(BeEmpty())
		patient.Key = "second"
		Expect(s.Submit(time.Millisecond, patient, even)).To(BeEmpty())
		Expect(one(s.Done(100*time.Millisecond, "runs", whole, even)).Key).To(Equal("first"))
		Expect(one(s.Done(200*time.Millisecond, "first", whole, even)).Key).To(Equal("second"))
	})

	// All places are taken for long. A request that waits until its deadline has cost its caller the time in which it could have gone
	// elsewhere or come back.
	It("turns away at once what can't have its turn in time, and says when there will be room", func() {
		s.SetGroups(0, groups(1, 2), even)
		one(s.Submit(0, ask("a"), even))
		one(s.Submit(0, ask("b"), even))
		d := one(s.Submit(0, ask("c"), even))
		Expect(d.Reason).To(Equal(turns.TooLate))
		Expect(d.RetryAfter).To(BeNumerically(">=", config.MinRetryAfter))
	})

	It("turns away what has waited for longer than it can", func() {
		s.SetGroups(0, groups(1, 20), even)
		for i := range 20 {
			one(s.Submit(0, ask(fmt.Sprint(i)), even))
		}
		Expect(s.Submit(0, ask("waits"), even)).To(BeEmpty())
		Expect(s.Tick(199*time.Millisecond, even)).To(BeEmpty())
		Expect(one(s.Tick(200*time.Millisecond, even)).Reason).To(Equal(turns.TooLate))
	})

	It("says why there is no turn", func() {
		Expect(one(s.Submit(0, ask("a"), even)).Reason).To(Equal(turns.NoGroup))
		s.SetGroups(0, groups(1, 2), even)
		tried := ask("b")
		tried.TriedHeads = []string{"head0"}
		Expect(one(s.Submit(0, tried, even)).Reason).To(Equal(turns.TriedAll))
	})

	// A group has lost a member: it takes requests and nothing moves in it. Each further request sent there is lost for seconds.
	It("gives no turns at a group that is suspected, until that proves wrong", func() {
		s.SetGroups(0, groups(2, 4), even)
		s.Suspect(0, "head0")
		for i := range 4 {
			Expect(one(s.Submit(0, ask(fmt.Sprint(i)), even)).Head).To(Equal("head1"))
		}
		s.ClearSuspicion(0, "head0", even)
		Expect(one(s.Submit(0, ask("x"), even)).Head).To(Equal("head0"))
	})

	It("gives the places of a new group to those that wait", func() {
		s.SetGroups(0, groups(1, 20), even)
		for i := range 20 {
			one(s.Submit(0, ask(fmt.Sprint(i)), even))
		}
		Expect(s.Submit(0, ask("waits"), even)).To(BeEmpty())
		Expect(one(s.SetGroups(0, groups(2, 20), even)).Head).To(Equal("head1"))
	})

	// An entry dies with requests in progress. Were its turns kept, its share of every group would be lost for good.
	It("takes back all turns of an entry that is gone", func() {
		s.SetGroups(0, groups(1, 2), even)
		one(s.Submit(0, ask("entry1/1"), even))
		one(s.Submit(0, ask("entry1/2"), even))
		s.Forget(0, "entry1/", even)
		Expect(one(s.Submit(0, ask("entry2/1"), even)).Reason).To(Equal(turns.Granted))
		Expect(s.Loads(0)).To(ConsistOf(HaveField("Running", 1)))
	})

	// The entry in charge has died, and the next one begins. Without the turns that others hold it would fill groups that are full.
	It("counts the turns that an earlier scheduler gave", func() {
		s.SetGroups(0, groups(1, 2), even)
		held := map[string]string{"entry1/1": "head0", "entry1/2": "head0"}
		s.Reconcile(0, "entry1/", held, even)
		s.Reconcile(0, "entry1/", held, even)
		Expect(one(s.Submit(0, ask("entry2/1"), even)).Reason).To(Equal(turns.TooLate))
		s.Done(0, "entry1/1", whole, even)
		Expect(one(s.Submit(0, ask("entry2/2"), even)).Reason).To(Equal(turns.Granted))
	})

	// An entry takes charge, is told of turns at a group that it does not know yet, and these end. Their model is not known.
	It("tells of no model without a name", func() {
		s.Reconcile(0, "entry1/", map[string]string{"entry1/1": "head9"}, even)
		s.Done(0, "entry1/1", whole, even)
		s.SetGroups(0, groups(1, 3), even)
		one(s.Submit(0, ask("entry2/1"), even))
		Expect(s.Demands(0)).To(ConsistOf(HaveField("Model", "m")))
	})

	// An entry loses its link to the one in charge for a moment, and requests end meanwhile. Counted on, their turns fill groups in which nothing
	// runs, and callers are turned away from idle groups for as long as the scheduler lives.
	It("ends the turns that an entry no longer holds, and keeps those of others", func() {
		s.SetGroups(0, groups(1, 3), even)
		for _, key := range []string{"entry1/1", "entry1/2", "entry2/1"} {
			one(s.Submit(0, ask(key), even))
		}
		s.Reconcile(0, "entry1/", map[string]string{"entry1/2": "head0"}, even)
		Expect(s.Loads(0)).To(ConsistOf(HaveField("Running", 2)))
		s.Done(0, "entry1/1", whole, even)
		Expect(s.Loads(0)).To(ConsistOf(HaveField("Running", 2)))
	})

	// A caller was turned away and comes again, another one comes for the first time: its answer can still be in time.
	It("lets one that was turned away wait behind others, and counts it once", func() {
		s.SetGroups(0, groups(1, 4), even)
		for _, key := range []string{"r1", "r2", "r3", "r4"} {
			one(s.Submit(0, ask(key), even))
		}
		back := turns.Request{Key: "a/1", Model: "m", FirstTokenBudget: 110 * time.Millisecond, MaxWait: 110 * time.Millisecond, Fingerprint: 7}
		Expect(one(s.Submit(0, back, even)).Reason).To(Equal(turns.TooLate))
		back.Key = "b/1"
		Expect(s.Submit(time.Second, back, even)).To(BeEmpty())
		fresh := turns.Request{Key: "c/1", Model: "m", FirstTokenBudget: 5 * time.Second, MaxWait: 5 * time.Second, Fingerprint: 8}
		Expect(s.Submit(time.Second, fresh, even)).To(BeEmpty())
		Expect(one(s.Done(1100*time.Millisecond, "r1", whole, even)).Key).To(Equal("c/1"))
		Expect(s.Demands(1100 * time.Millisecond)[0].NewRequests).To(Equal(6))
	})

	It("puts urgent requests first, then those that were not turned away before", func() {
		s.SetGroups(0, groups(1, 1), even)
		one(s.Submit(0, ask("runs"), even))
		for _, r := range []turns.Request{
			{Key: "returning", Retry: true}, {Key: "fresh"}, {Key: "urgent", Priority: -1}, {Key: "fresh2"},
		} {
			r.Model, r.MaxWait = "m", time.Minute
			Expect(s.Submit(0, r, even)).To(BeEmpty())
		}
		order := []string{}
		for key := "runs"; len(order) < 4; {
			key = one(s.Done(0, key, whole, even)).Key
			order = append(order, key)
		}
		Expect(order).To(Equal([]string{"urgent", "fresh", "fresh2", "returning"}))
	})
})

var _ = Describe("Bounds", func() {
	DescribeTable("leave what the objective leaves",
		func(objective, elapsed time.Duration, returning bool, due, patience time.Duration) {
			gotDue, gotPatience := turns.WaitBounds(objective, elapsed, returning)
			Expect(gotDue).To(Equal(due))
			Expect(gotPatience).To(Equal(patience))
		},
		Entry("at once", 300*time.Millisecond, time.Duration(0), false, 285*time.Millisecond, 285*time.Millisecond),
		Entry("later", 300*time.Millisecond, 150*time.Millisecond, false, 135*time.Millisecond, 135*time.Millisecond),
		Entry("too late", 100*time.Millisecond, 95*time.Millisecond, false, 25*time.Millisecond, 25*time.Millisecond),
		Entry("come again", 300*time.Millisecond, time.Duration(0), true, time.Duration(0), 600*time.Millisecond),
	)
})

func BenchmarkAsk(b *testing.B) {
	for _, size := range []struct{ entries, groups int }{{13, 12}, {142, 30}, {330, 630}} {
		b.Run(fmt.Sprintf("%d-entries-%d-groups", size.entries, size.groups), func(b *testing.B) {
			s := turns.New(turns.DefaultConfig())
			s.SetGroups(0, groups(size.groups, 26), even)
			keys := make([]string, size.groups*20)
			for i := range keys {
				keys[i] = fmt.Sprintf("entry%d/%d", i%size.entries, i)
				s.Submit(0, ask(keys[i]), even)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				key := keys[i%len(keys)]
				s.Done(0, key, whole, even)
				s.Submit(0, ask(key), even)
			}
		})
	}
}
