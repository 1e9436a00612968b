package intake_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/policy/intake"
)

func TestIntake(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Bodies in memory")
}

const (
	capacity = 8 << 20
	large    = 1 << 20
	small    = 2 << 10
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// grown returns a body of a size that was opened at a time.
func grown(a *intake.Account, size int64, now time.Time) *intake.Body {
	GinkgoHelper()
	b := a.Open(now)
	_, ok := a.Grow(b, size, now)
	Expect(ok).To(BeTrue())
	return b
}

var _ = Describe("Account", func() {
	// Guards against memory without a bound, and against a crowd that leaves no room for ordinary requests.
	It("stays within its capacity, and small bodies find room beside any crowd of large ones", func() {
		for seed := range uint64(40) {
			random := rand.New(rand.NewPCG(seed, 0))
			a := intake.NewAccount(capacity)
			var open []*intake.Body
			now := start
			for range 3000 {
				now = now.Add(time.Duration(random.Int64N(int64(20 * time.Millisecond))))
				switch {
				case len(open) == 0 || random.IntN(3) == 0:
					open = append(open, a.Open(now))
				case random.IntN(8) == 0:
					i := random.IntN(len(open))
					a.Close(open[i])
					open = append(open[:i], open[i+1:]...)
				default:
					b := open[random.IntN(len(open))]
					if _, ok := a.Grow(b, intake.NextSize(b.Size(), -1, large), now); !ok {
						a.Close(b)
						continue
					}
					b.Received(random.IntN(64<<10), now)
					if b.Size() > intake.SmallBytes && random.IntN(4) == 0 {
						b.Complete()
					}
				}
				held, _ := a.Held()
				Expect(held).To(BeNumerically("<=", capacity+large))
			}
			for _, b := range open {
				if b.Size() <= intake.SmallBytes {
					a.Close(b) // a crowd of small ones is another case
				}
			}
			ordinary := a.Open(now)
			_, ok := a.Grow(ordinary, small, now)
			Expect(ok).To(BeTrue())
		}
	})

	It("gives room to a single large body of any size", func() {
		a := intake.NewAccount(capacity)
		_, ok := a.Grow(a.Open(start), 4*capacity, start)
		Expect(ok).To(BeTrue())
		_, ok = a.Grow(a.Open(start), small, start)
		Expect(ok).To(BeTrue())
	})

	It("refuses large bodies that find no room, and takes nothing from others that arrive", func() {
		a := intake.NewAccount(capacity)
		for range 7 {
			grown(a, large, start)
		}
		lost, ok := a.Grow(a.Open(start), large, start)
		Expect(ok).To(BeFalse())
		Expect(lost).To(BeEmpty())
	})

	// Guards against bodies that stall a byte before their end and are held until their deadline.
	It("gives up bodies that stall, the largest first, once others need their room", func() {
		a := intake.NewAccount(capacity)
		whole := grown(a, large, start)
		whole.Complete()
		var stalled []*intake.Body
		for i := range 6 {
			stalled = append(stalled, grown(a, large-int64(i), start))
		}
		now := at(2)
		lost, ok := a.Grow(a.Open(now), large, now)
		Expect(ok).To(BeTrue())
		Expect(lost).To(ConsistOf(intake.Loss{Body: stalled[0], Reason: intake.TooSlow, Size: large}))
		_, ok = a.Grow(stalled[0], 2*large, now)
		Expect(ok).To(BeFalse())
	})

	It("gives up nothing while there is room, however slow a body is", func() {
		a := intake.NewAccount(capacity)
		slow := grown(a, large, start)
		lost, ok := a.Grow(a.Open(at(3600)), large, at(3600))
		Expect(ok).To(BeTrue())
		Expect(lost).To(BeEmpty())
		Expect(slow.Size()).To(BeEquivalentTo(large))
	})

	// Guards against a byte now and then by which a body that stalls would count as one that arrives.
	It("takes a body that arrives by single bytes for slow, and one that keeps up not", func() {
		a := intake.NewAccount(capacity)
		trickling, steady := grown(a, large, start), grown(a, large, start)
		for range 5 {
			grown(a, large, start).Complete()
		}
		for i := range 100 {
			trickling.Received(1, at(float64(i)/10))
			steady.Received(16<<10, at(float64(i)/10))
		}
		now := at(9.95)
		lost, ok := a.Grow(a.Open(now), large, now)
		Expect(ok).To(BeTrue())
		Expect(lost).To(ConsistOf(intake.Loss{Body: trickling, Reason: intake.TooSlow, Size: large}))
	})

	It("gives up the newest large body for a small one if none is slow", func() {
		a := intake.NewAccount(capacity)
		var bodies []*intake.Body
		for range 7 {
			bodies = append(bodies, grown(a, large, start))
		}
		for range large / intake.SmallBytes {
			grown(a, intake.SmallBytes, start)
		}
		lost, ok := a.Grow(a.Open(start), small, start)
		Expect(ok).To(BeTrue())
		Expect(lost).To(ConsistOf(intake.Loss{Body: bodies[6], Reason: intake.Newest, Size: large}))
	})

	It("gives up the one that is the longest overdue when connections are needed", func() {
		a := intake.NewAccount(capacity)
		older := grown(a, small, start)
		grown(a, small, at(0.5))
		_, found := a.GiveUpSlowest(at(0.9))
		Expect(found).To(BeFalse())
		lost, found := a.GiveUpSlowest(at(2))
		Expect(found).To(BeTrue())
		Expect(lost.Body).To(BeIdenticalTo(older))
		Expect(older.Size()).To(BeZero())
	})
})

var _ = DescribeTable("NextSize", func(size, length, limit, next int64) {
	Expect(intake.NextSize(size, length, limit)).To(Equal(next))
},
	Entry("a first part", int64(0), int64(-1), int64(1<<20), int64(4<<10)),
	Entry("a short body", int64(0), int64(100), int64(1<<20), int64(100)),
	Entry("small steps", int64(4<<10), int64(1<<20), int64(1<<20), int64(8<<10)),
	Entry("all of a large body", int64(64<<10), int64(1<<20), int64(4<<20), int64(1<<20)),
	Entry("twice the room of chunks", int64(64<<10), int64(-1), int64(1<<20), int64(128<<10)),
	Entry("no more than the limit", int64(768<<10), int64(-1), int64(1<<20), int64(1<<20)),
)
