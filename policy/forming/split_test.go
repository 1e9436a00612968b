package forming_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/skylarkpond/skylarkpond/policy/forming"
)

func domain(name string, live int, groups ...string) forming.Domain {
	d := forming.Domain{Name: name, Live: map[string]int{"": live}}
	for _, service := range groups {
		d.Groups = append(d.Groups, forming.Group{Service: service, State: forming.Serving})
	}
	return d
}

var _ = DescribeTable("Split", func(replicas int, domains []forming.Domain, want ...int) {
	targets, unplaced := forming.Split([]forming.Service{service("chat", 2, replicas)}, domains)
	got := make([]int, 0, len(want))
	for _, d := range domains {
		got = append(got, targets[d.Name]["chat"])
	}
	Expect(append(got, unplaced["chat"])).To(Equal(want))
},
	Entry("spreads by size", 3, []forming.Domain{domain("a", 8), domain("b", 4)}, 2, 1, 0),
	Entry("does not move what stands", 2, []forming.Domain{domain("a", 4, "chat", "chat"), domain("b", 4)}, 2, 0, 0),
	Entry("takes from the fullest", 2, []forming.Domain{domain("a", 8, "chat", "chat"), domain("b", 4, "chat")}, 1, 1, 0),
	Entry("fills in for a dark domain", 2, []forming.Domain{domain("a", 0), domain("b", 4, "chat")}, 0, 2, 0),
	Entry("says what has no room: groups don't cross domains", 2, []forming.Domain{domain("a", 3), domain("b", 1)}, 1, 0, 1),
)

// Controllers with the same view must compute the same split. Otherwise two of them form the same missing
// replica, or none does.
func TestSplitAgrees(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		services := []forming.Service{
			service("chat", rapid.IntRange(1, 4).Draw(rt, "size"), rapid.IntRange(0, 8).Draw(rt, "replicas")),
			service("desk", rapid.IntRange(1, 4).Draw(rt, "size"), rapid.IntRange(0, 8).Draw(rt, "replicas")),
		}
		var domains []forming.Domain
		for i := range rapid.IntRange(1, 4).Draw(rt, "domains") {
			d := domain(fmt.Sprintf("d%d", i), rapid.IntRange(0, 16).Draw(rt, "live"))
			for _, s := range services {
				for range rapid.IntRange(0, 2).Draw(rt, "groups") {
					d.Groups = append(d.Groups, forming.Group{Service: s.Name, State: forming.Serving})
				}
			}
			domains = append(domains, d)
		}
		targets, unplaced := forming.Split(services, domains)
		checkSplit(rt, services, domains, targets, unplaced)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "order"), 0))
		random.Shuffle(len(domains), func(i, j int) { domains[i], domains[j] = domains[j], domains[i] })
		slices.Reverse(services)
		again, _ := forming.Split(services, domains)
		if fmt.Sprint(targets) != fmt.Sprint(again) {
			rt.Fatalf("%v and %v", targets, again)
		}
	})
}

func checkSplit(rt *rapid.T, services []forming.Service, domains []forming.Domain, targets map[string]map[string]int, unplaced map[string]int) {
	for _, s := range services {
		placed := 0
		for _, d := range domains {
			placed += targets[d.Name][s.Name]
		}
		if placed+unplaced[s.Name] != s.Replicas {
			rt.Fatalf("%s: %d placed and %d unplaced of %d", s.Name, placed, unplaced[s.Name], s.Replicas)
		}
	}
	for _, d := range domains {
		need, standing := 0, 0
		for _, s := range services {
			held := 0
			for _, g := range d.Groups {
				if g.Service == s.Name {
					held++
				}
			}
			need += s.GroupSize * targets[d.Name][s.Name]
			standing += s.GroupSize * held
		}
		if need > max(d.Live[""], standing) {
			rt.Fatalf("%s: %d VMs needed, %d live and %d standing", d.Name, need, d.Live[""], standing)
		}
	}
}
