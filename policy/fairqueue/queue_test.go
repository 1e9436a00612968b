package fairqueue_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/policy/fairqueue"
)

const second = time.Second

func item(team, id string, work int) fairqueue.Item {
	return fairqueue.Item{ID: id, Team: team, Share: 1, Work: work, Deadline: time.Hour, Jitter: 0.5}
}

// newUnboundedQueue returns a queue that refuses nothing for its expected wait.
func newUnboundedQueue(config fairqueue.Config) *fairqueue.Queue {
	config.MaxWait, config.StandingWait, config.MaxItems = 10*time.Minute, 10*time.Minute, 100_000
	config.TimePerToken = time.Microsecond
	return fairqueue.New(config)
}

// offerBacklog queues count items like proto.
func offerBacklog(q *fairqueue.Queue, proto fairqueue.Item, count int) {
	for i := range count {
		proto.ID = fmt.Sprintf("%s-%d-%d", proto.Team, proto.Work, i)
		ExpectWithOffset(1, q.Offer(0, proto).Decision).To(Equal(fairqueue.Queued))
	}
}

// serve sends count items one at a time, each done before the next, and sums the work by team.
func serve(q *fairqueue.Queue, count int, used func(fairqueue.Item) int) map[string]int {
	work := make(map[string]int)
	for range count {
		q.SetLimit(1)
		next, ok := q.Next(0)
		ExpectWithOffset(1, ok).To(BeTrue())
		work[next.Team] += used(next)
		q.Done(0, next.ID, used(next))
	}
	return work
}

func estimatedWork(i fairqueue.Item) int { return i.Work }

var _ = Describe("Queue", func() {
	It("admits while slots are free, then queues, and sends in turn", func() {
		q := fairqueue.New(fairqueue.Config{})
		q.SetLimit(1)
		Expect(q.Offer(0, item("a", "1", 10)).Decision).To(Equal(fairqueue.Admitted))
		Expect(q.Offer(0, item("a", "2", 10)).Decision).To(Equal(fairqueue.Queued))
		Expect(q.Offer(0, item("a", "2", 10)).Code).To(Equal(fairqueue.CodeDuplicate))
		_, ok := q.Next(0)
		Expect(ok).To(BeFalse())
		q.Done(second, "1", 10)
		next, ok := q.Next(second)
		Expect(ok).To(BeTrue())
		Expect(next.ID).To(Equal("2"))
	})

	It("divides by work and share, not by count", func() {
		q := newUnboundedQueue(fairqueue.Config{})
		offerBacklog(q, item("long", "", 1000), 500)
		offerBacklog(q, item("short", "", 100), 2000)
		double := item("double", "", 100)
		double.Share = 2
		offerBacklog(q, double, 2000)
		work := serve(q, 2000, estimatedWork)
		Expect(work["short"]).To(BeNumerically("~", work["long"], 1000))
		Expect(work["double"]).To(BeNumerically("~", 2*work["short"], 1000))
	})

	It("charges what was used: an understated estimate gains nothing", func() {
		q := newUnboundedQueue(fairqueue.Config{})
		offerBacklog(q, item("honest", "", 100), 2000)
		offerBacklog(q, item("claims", "", 25), 2000)
		work := serve(q, 1000, func(fairqueue.Item) int { return 100 })
		Expect(work["claims"]).To(BeNumerically("~", work["honest"], 200))
	})

	It("saves nothing up for a team that was idle", func() {
		q := newUnboundedQueue(fairqueue.Config{})
		offerBacklog(q, item("busy", "", 100), 2000)
		serve(q, 1000, estimatedWork)
		offerBacklog(q, item("back", "", 100), 500)
		work := serve(q, 100, estimatedWork)
		Expect(work["back"]).To(BeNumerically("~", work["busy"], 200))
	})

	It("lets priority run ahead by its head start and no further", func() {
		q := newUnboundedQueue(fairqueue.Config{HeadStart: 200})
		offerBacklog(q, item("low", "", 100), 2000)
		first := item("high", "", 100)
		first.Priority = 9
		offerBacklog(q, first, 2000)
		Expect(serve(q, 18, estimatedWork)["low"]).To(BeNumerically("<=", 100))
		work := serve(q, 1000, estimatedWork)
		Expect(work["low"]).To(BeNumerically("~", work["high"], 200))
	})

	It("sends a team's short items first until a long one has aged", func() {
		q := newUnboundedQueue(fairqueue.Config{ShortWork: 100, LongAge: second})
		offerBacklog(q, item("a", "", 1000), 2)
		offerBacklog(q, item("a", "", 100), 2)
		q.SetLimit(10)
		var works []int
		for _, now := range []time.Duration{0, 2 * second, 2 * second, 2 * second} {
			next, ok := q.Next(now)
			Expect(ok).To(BeTrue())
			works = append(works, next.Work)
		}
		Expect(works).To(Equal([]int{100, 1000, 1000, 100}))
	})

	It("keeps slots from long items while short ones come, and no longer", func() {
		q := newUnboundedQueue(fairqueue.Config{ShortWork: 100, ShortReserve: 0.5})
		q.SetLimit(4)
		Expect(q.Offer(0, item("a", "short", 10)).Decision).To(Equal(fairqueue.Admitted))
		backlogged := 0
		for i := range 4 {
			if q.Offer(0, item("b", fmt.Sprint(i), 1000)).Decision == fairqueue.Queued {
				backlogged++
			}
		}
		Expect(backlogged).To(Equal(2))
		Expect(q.Offer(0, item("a", "short-2", 10)).Decision).To(Equal(fairqueue.Admitted))
		q.Done(0, "short", 10)
		q.Done(0, "short-2", 10)
		_, ok := q.Next(second)
		Expect(ok).To(BeFalse())
		_, ok = q.Next(20 * second)
		Expect(ok).To(BeTrue())
	})

	It("bounds the items without a first token", func() {
		q := fairqueue.New(fairqueue.Config{})
		q.SetLimit(10)
		q.SetStartLimit(1)
		Expect(q.Offer(0, item("a", "1", 10)).Decision).To(Equal(fairqueue.Admitted))
		Expect(q.Offer(0, item("a", "2", 10)).Decision).To(Equal(fairqueue.Queued))
		q.Started("1")
		q.Started("1")
		_, ok := q.Next(0)
		Expect(ok).To(BeTrue())
		q.Done(0, "2", 10)
		Expect(q.Offer(0, item("a", "3", 10)).Decision).To(Equal(fairqueue.Admitted))
	})

	It("drops what its caller no longer wants", func() {
		q := newUnboundedQueue(fairqueue.Config{})
		offerBacklog(q, item("a", "", 10), 3)
		Expect(q.Remove(0, "a-10-1")).To(BeTrue())
		Expect(q.Remove(0, "a-10-1")).To(BeFalse())
		Expect(q.Len()).To(Equal(2))
	})
})

// An answer that arrives after the caller has disconnected is wasted, and delays every request behind it.
// The caller sees a timeout where it could have tried elsewhere, or later.
var _ = Describe("Refusal", func() {
	It("refuses at once what cannot meet its deadline, and says when to come back", func() {
		q := fairqueue.New(fairqueue.Config{TimePerToken: 100 * time.Millisecond, MaxWait: time.Minute})
		q.SetLimit(1)
		unmeetable := item("a", "0", 100)
		unmeetable.Deadline = second
		Expect(q.Offer(0, unmeetable)).To(Equal(fairqueue.Verdict{Decision: fairqueue.Refused, Code: fairqueue.CodeDeadline}))
		Expect(q.Offer(0, item("a", "1", 100)).Decision).To(Equal(fairqueue.Admitted))
		Expect(q.Offer(0, item("a", "2", 100)).Decision).To(Equal(fairqueue.Queued))
		late := item("a", "3", 100)
		late.Deadline = 12 * second
		verdict := q.Offer(0, late)
		Expect(verdict.Code).To(Equal(fairqueue.CodeDeadline))
		Expect(verdict.Wait).To(BeNumerically(">", 7*second))
		Expect(verdict.RetryAfter).To(BeNumerically(">", second))
	})

	DescribeTable("returns what has waited too long, once", func(slotFree bool) {
		q := fairqueue.New(fairqueue.Config{MaxWait: 10 * second})
		q.SetLimit(1)
		q.Offer(0, item("a", "1", 10))
		Expect(q.Offer(0, item("a", "2", 10)).Decision).To(Equal(fairqueue.Queued))
		Expect(q.Expire(10 * second)).To(BeEmpty())
		now := 10*second + 1
		if slotFree {
			q.Done(now, "1", 10)
			_, ok := q.Next(now)
			Expect(ok).To(BeFalse())
		}
		expired := q.Expire(now)
		Expect(expired).To(HaveLen(1))
		Expect(q.RetryAfter(now, expired[0])).To(BeNumerically(">=", second))
		Expect(q.Expire(11 * second)).To(BeEmpty())
		Expect(q.Len()).To(BeZero())
	}, Entry("while no slot is free", false), Entry("when a slot gets free too late", true))

	It("takes a plain call whose deadline is short", func() {
		call := item("a", "1", fairqueue.PlainWork)
		call.Deadline = second
		for config, decision := range map[fairqueue.Config]fairqueue.Decision{
			{}: fairqueue.Refused,
			fairqueue.Config{}.ForPlain(200 * time.Millisecond): fairqueue.Admitted,
		} {
			q := fairqueue.New(config)
			q.SetLimit(1)
			Expect(q.Offer(0, call).Decision).To(Equal(decision))
		}
	})

	It("leaves room in the queue for others than the team that fills it", func() {
		q := fairqueue.New(fairqueue.Config{MaxItems: 10, MaxWait: 10 * time.Minute, StandingWait: 10 * time.Minute, TimePerToken: time.Microsecond})
		decisions := make(map[fairqueue.Decision]int)
		for i := range 100 {
			decisions[q.Offer(0, item("flood", fmt.Sprint(i), 10)).Decision]++
		}
		Expect(decisions[fairqueue.Queued]).To(BeNumerically("<=", 6))
		Expect(q.Offer(0, item("other", "x", 10)).Decision).To(Equal(fairqueue.Queued))
	})

	It("gives those of a burst places in a line, as fast as the queue drains", func() {
		q := fairqueue.New(fairqueue.Config{TimePerToken: 100 * time.Millisecond, MaxWait: second, MaxRetryAfter: 10 * time.Minute})
		q.SetLimit(10) // 100 tokens a second
		inSecond := make(map[int]int)
		latest := 0
		for i := range 300 {
			offered := item("a", fmt.Sprint(i), 10)
			offered.Jitter = float64(i%10) / 10
			if v := q.Offer(0, offered); v.Decision == fairqueue.Refused {
				inSecond[int(v.RetryAfter.Seconds())]++
				latest = max(latest, int(v.RetryAfter.Seconds()))
			}
		}
		Expect(latest).To(BeNumerically("~", 75, 30), "some 280 items of 10 tokens at half of 100 a second, moved by up to half")
		for at, count := range inSecond {
			Expect(count).To(BeNumerically("<=", 30), "in second %d", at)
		}
	})

	It("takes work again when a group that refused everything for being slow has had time to recover", func() {
		q := fairqueue.New(fairqueue.Config{TimePerToken: 10 * time.Millisecond})
		q.SetLimit(1)
		q.Offer(0, item("a", "slow", 100))
		q.Done(time.Minute, "slow", 100)
		next := item("a", "next", 100)
		next.Deadline = time.Minute + 5*second
		verdict := q.Offer(time.Minute, next)
		Expect(verdict.Code).To(Equal(fairqueue.CodeDeadline))
		Expect(verdict.RetryAfter).To(BeNumerically(">", 0))
		next.Deadline = 4*time.Minute + 5*second
		Expect(q.Offer(4*time.Minute, next).Decision).To(Equal(fairqueue.Admitted))
	})
})

var _ = Describe("Config", func() {
	DescribeTable("refuses what is out of range",
		func(config fairqueue.Config, field string) {
			var rangeError *fairqueue.RangeError
			Expect(config.Check()).To(BeAssignableToTypeOf(rangeError))
			Expect(config.Check().Error()).To(HavePrefix(field + " is "))
		},
		Entry("wait", fairqueue.Config{MaxWait: time.Hour}, "MaxWait"),
		Entry("standing above the longest", fairqueue.Config{MaxWait: second, StandingWait: 2 * second}, "StandingWait"),
		Entry("reserve", fairqueue.Config{ShortReserve: 1}, "ShortReserve"),
		Entry("below zero", fairqueue.Config{MaxItems: -1}, "MaxItems"),
	)

	It("accepts the defaults", func() { Expect(fairqueue.Config{}.Check()).To(Succeed()) })
})
