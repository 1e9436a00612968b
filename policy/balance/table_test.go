package balance

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// newFilledTable returns a table of ready, idle groups.
func newFilledTable(count int) *Table {
	t := NewTable(DefaultConfig(), "0")
	for i := range count {
		t.Put(0, Candidate{
			ID: fmt.Sprint("group-", i), Ready: true, Limit: 16, ServingFor: time.Hour,
			FirstToken: 100 * ms, TokenGap: 20 * ms, FailureDomain: fmt.Sprint(i % 3),
		})
	}
	return t
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

var _ = Describe("A table", func() {
	It("orders the groups of a prefix the same way on all fronts, and moves only the prefixes of a removed group", func() {
		one, other := newFilledTable(20), NewTable(DefaultConfig(), "1")
		for i := 19; i >= 0; i-- {
			other.Put(0, one.groups[i].Candidate)
		}
		r := newRand()
		before := map[uint64]string{}
		for prefix := uint64(1); prefix <= 200; prefix++ {
			before[prefix] = one.Choose(0, Request{Prefix: prefix}, r).ID
			Expect(other.Choose(0, Request{Prefix: prefix}, r).ID).To(Equal(before[prefix]))
		}
		one.Remove("group-3")
		for prefix, id := range before {
			if id != "group-3" {
				Expect(one.Choose(0, Request{Prefix: prefix}, r).ID).To(Equal(id))
			}
		}
	})

	It("counts its own requests ahead of the next report", func() {
		t := newFilledTable(10)
		r := newRand()
		first := t.Choose(0, Request{Prefix: 7}, r)
		Expect(first.Reason).To(Equal(Affine))
		for range 15 {
			t.Begin(first.ID)
		}
		Expect(t.Choose(0, Request{Prefix: 7}, r).Reason).To(Equal(Spilled))
		again := t.groups[t.index[first.ID]].Candidate
		again.ReportID = 1
		t.Put(0, again)
		for range 15 {
			t.Begin(first.ID)
		}
		t.Put(0, again)
		Expect(t.Choose(0, Request{Prefix: 7}, r).Reason).To(Equal(Spilled))
		for range 30 {
			t.End(first.ID)
		}
		Expect(t.Choose(0, Request{Prefix: 7}, r)).To(Equal(first))
	})

	It("sends a new group only a small part of the requests", func() {
		t := newFilledTable(10)
		t.Put(0, Candidate{ID: "new", Ready: true, Limit: 16})
		r := newRand()
		count := 0
		for range 1000 {
			choice := t.Choose(0, Request{}, r)
			t.Begin(choice.ID)
			if choice.ID == "new" {
				count++
			}
		}
		Expect(count).To(BeNumerically("~", 1000/101, 10))
	})

	It("avoids a slow group only while the others can take over its requests", func() {
		t := newFilledTable(20)
		slow := t.groups[4].Candidate
		slow.TokenGap = 500 * ms
		t.Put(0, slow)
		t.refresh(RefreshInterval)
		Expect(t.avoided).To(ConsistOf(4))
		for _, g := range t.groups {
			g.InFlight = 13
			t.Put(0, g.Candidate)
		}
		t.refresh(2 * RefreshInterval)
		Expect(t.avoided).To(BeEmpty())
	})

	It("names a reason for each outcome", func() {
		r := newRand()
		Expect(NewTable(DefaultConfig(), "0").Choose(0, Request{Prefix: 1}, r)).To(Equal(Choice{}))
		t := newFilledTable(2)
		Expect(t.Choose(0, Request{Tried: []string{"group-0"}}, r).ID).To(Equal("group-1"))
		Expect(t.Choose(0, Request{Tried: []string{"group-0", "group-1"}}, r).Reason).To(Equal(NoGroup))
		Expect(newFilledTable(9).Choose(0, Request{}, r).Reason).To(Equal(Near))
		Expect(OnlySlow.String()).To(Equal("only-slow"))
	})

	It("reports a share only for a prefix that is popular beyond chance", func() {
		var p popularity
		r := newRand()
		for i := range 2000 {
			Expect(p.observe(time.Duration(i)*30*ms, 100+r.Uint64N(600))).To(BeNumerically("<", 0.02))
		}
		share := 0.0
		for i := range 40 {
			p.observe(60*sec, 100+r.Uint64N(600))
			share = p.observe(60*sec+time.Duration(i), 1)
		}
		Expect(share).To(BeNumerically("~", 0.4, 0.15))
	})

	DescribeTable("refuses a configuration out of range", func(change func(*Config)) {
		c := DefaultConfig()
		Expect(c.Check()).To(Succeed())
		change(&c)
		Expect(errors.Is(c.Check(), ErrRange)).To(BeTrue())
	},
		Entry("zero slack", func(c *Config) { c.BoundSlack = 0 }),
		Entry("not a number", func(c *Config) { c.MinLoadBound = math.NaN() }),
		Entry("all may be slow", func(c *Config) { c.MaxSlowShare = 1 }),
		Entry("ramp", func(c *Config) { c.SlowStart.Floor = 0 }),
	)

	// Wrong measurements reported by homes must not take all groups of a service out of use.
	It("never chooses a group that is not ready or was tried, and avoids at most the configured share", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			table := NewTable(DefaultConfig(), "0")
			r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
			known := map[string]Candidate{}
			at := time.Duration(0)
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				at += time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * ms
				id := fmt.Sprint("group-", rapid.IntRange(0, 15).Draw(t, "group"))
				switch rapid.IntRange(0, 4).Draw(t, "step") {
				case 0:
					table.Remove(id)
					delete(known, id)
				case 1:
					table.Begin(id)
				case 2:
					table.End(id)
				default:
					c := Candidate{ID: id, Ready: rapid.Bool().Draw(t, "ready"), FailureDomain: rapid.SampledFrom([]string{"0", "1"}).Draw(t, "domain")}
					c.InFlight, c.Limit = rapid.IntRange(0, 99).Draw(t, "in flight"), rapid.IntRange(0, 32).Draw(t, "limit")
					c.TokenGap = time.Duration(rapid.IntRange(0, 1000).Draw(t, "gap")) * ms
					table.Put(at, c)
					known[id] = c
				}
				checkInvariants(t, table, known, at, r)
			}
		})
	})
})

func checkInvariants(t *rapid.T, table *Table, known map[string]Candidate, at time.Duration, r *rand.Rand) {
	tried := []string{fmt.Sprint("group-", r.IntN(16))}
	choice := table.Choose(at, Request{Prefix: r.Uint64N(3), Tried: tried}, r)
	ready, choosable := 0, 0
	for id, c := range known {
		if c.Ready {
			ready++
			if id != tried[0] {
				choosable++
			}
		}
	}
	if (choice.Reason == NoGroup) != (choosable == 0) {
		t.Fatalf("%v with %d groups to choose from", choice.Reason, choosable)
	}
	if choosable > 0 && (!known[choice.ID].Ready || choice.ID == tried[0]) {
		t.Fatalf("chose %q", choice.ID)
	}
	if len(table.avoided) > max(1, ready/10) {
		t.Fatalf("avoids %d of %d", len(table.avoided), ready)
	}
	work := 0.0
	for _, i := range table.eligible {
		work += table.groups[i].estimatedRequests(table.correction)
	}
	if math.Abs(work-table.requests) > 1e-6 {
		t.Fatalf("sum of work is %v, not %v", table.requests, work)
	}
}

var sizes = []int{53, 630, 5000}

// BenchmarkChoose measures one choice together with its Begin and End.
func BenchmarkChoose(b *testing.B) {
	for _, size := range sizes {
		for _, kind := range []string{"prefix", "popular prefix", "no prefix", "least loaded scan"} {
			b.Run(fmt.Sprintf("%s/%d", kind, size), func(b *testing.B) {
				t := newFilledTable(size)
				r := newRand()
				t.refresh(0)
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					request := Request{Prefix: uint64(1 + i%600)}
					switch kind {
					case "popular prefix":
						request.Prefix = uint64(1 + i%4)
					case "no prefix":
						request.Prefix = 0
					case "least loaded scan":
						scanLeastLoaded(t)
						continue
					}
					choice := t.Choose(0, request, r)
					t.Begin(choice.ID)
					t.End(choice.ID)
				}
			})
		}
	}
}

func scanLeastLoaded(t *Table) int {
	best := 0
	for i := range t.groups {
		if t.groups[i].InFlight+t.groups[i].Queued < t.groups[best].InFlight+t.groups[best].Queued {
			best = i
		}
	}
	return best
}

// BenchmarkRefresh measures the refresh, which happens twice a second.
func BenchmarkRefresh(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			t := newFilledTable(size)
			t.refresh(0)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				t.refresh(time.Duration(i) * RefreshInterval)
			}
		})
	}
}

// BenchmarkPut measures the cost of a report.
func BenchmarkPut(b *testing.B) {
	t := newFilledTable(630)
	t.refresh(0)
	b.ReportAllocs()
	for i := range b.N {
		t.Put(0, t.groups[i%630].Candidate)
	}
}

func TestChooseAllocatesNothing(t *testing.T) {
	for _, size := range sizes {
		table := newFilledTable(size)
		r := newRand()
		i := 0
		allocations := testing.AllocsPerRun(200, func() {
			i++
			choice := table.Choose(time.Duration(i)*100*ms, Request{Prefix: uint64(i % 5)}, r)
			table.Begin(choice.ID)
			table.End(choice.ID)
		})
		if allocations != 0 {
			t.Errorf("%d groups: %v allocations per choice", size, allocations)
		}
	}
}
