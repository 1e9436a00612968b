package connections_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/policy/connections"
)

func TestConnections(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Connections of callers")
}

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

var _ = DescribeTable("Limits.Most", func(limits connections.Limits, own, least, most int) {
	got := limits.Most(own)
	Expect(got).To(BeNumerically(">=", least))
	Expect(got).To(BeNumerically("<=", most))
},
	Entry("leaves descriptors for the process's own connections", connections.Limits{Descriptors: 300}, 25, 150, 225),
	Entry("shrinks as the process's own connections grow", connections.Limits{Descriptors: 2870}, 1900, 100, 670),
	Entry("is bounded by memory", connections.Limits{Memory: 206 << 20, Descriptors: 1 << 20}, 0, 1000, 1600),
	Entry("is never none", connections.Limits{Memory: 1 << 20, Descriptors: 32}, 500, 16, 16),
	Entry("has no bound without limits", connections.Limits{}, 10, 1<<20, 1<<31),
)

var _ = Describe("Victims", func() {
	waiting := func(since float64, served bool) connections.Connection {
		return connections.Connection{Waiting: true, Served: served, Since: at(since)}
	}

	It("closes connections without a request before those that are idle, the older before the newer", func() {
		open := []connections.Connection{waiting(1, true), waiting(5, false), waiting(3, false), {Since: at(0)}}
		Expect(connections.Victims(open, at(10))).To(Equal([]int{2}))
		Expect(connections.Victims(open[:2], at(10))).To(Equal([]int{1}))
		Expect(connections.Victims(open[:1], at(10))).To(Equal([]int{0}))
	})

	// Guards against connections that are closed before their callers could send a request.
	It("leaves connections alone for a while, and those with a request always", func() {
		open := []connections.Connection{waiting(9.5, false), waiting(9.1, true), {Since: at(0)}, {Served: true, Since: at(0)}}
		Expect(connections.Victims(open, at(10))).To(BeEmpty())
	})

	It("closes several at once of many, and never one with a request in progress", func() {
		random := rand.New(rand.NewPCG(1, 0))
		for range 200 {
			open := make([]connections.Connection, 1+random.IntN(500))
			for i := range open {
				open[i] = connections.Connection{Waiting: random.IntN(2) == 0, Served: random.IntN(2) == 0, Since: at(random.Float64() * 10)}
			}
			victims := connections.Victims(open, at(10))
			Expect(len(victims)).To(BeNumerically("<=", max(1, len(open)/32)))
			for _, i := range victims {
				Expect(open[i].Waiting).To(BeTrue())
			}
		}
	})
})
