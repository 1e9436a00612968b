package test

import (
	"cmp"
	"net/http"
	"net/http/httputil"
	"os"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	standinengine "github.com/skylarkpond/skylarkpond/internal/standin/engine"
	standinplatform "github.com/skylarkpond/skylarkpond/internal/standin/platform"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/timeline"
	"github.com/skylarkpond/skylarkpond/vm"
)

var _ = Describe("Measurements of groups", Label("measure"), func() {
	BeforeEach(func() {
		if os.Getenv(measuring) == "" {
			Skip("set " + measuring + "=1 to measure")
		}
	})

	const samples = 6 // fabric domains of each kind

	It("time without a group after a member's death, and the platform's calls for it", func() {
		c := startClusterWith(4, groupsWorld(numbered("spare", samples)...), chatFiles(samples, soon))
		c.waitLive(c.entries[0], c.entries...)
		time.Sleep(30 * time.Second) // what the start itself cost is over
		idle := c.callsDuring(func() { time.Sleep(20 * time.Second) })
		print := func(what string, groups int, calls counted) {
			for call, count := range calls.calls {
				usual := float64(idle.calls[call]) / idle.took.Seconds() * calls.took.Seconds()
				if more := float64(count) - usual; more > 0.5 {
					GinkgoWriter.Printf("%s: %s %s: %.1f calls more a group, over %d groups\n", what, call.Verb, call.Kind, more/float64(groups), groups)
				}
			}
		}
		for call, count := range idle.calls {
			GinkgoWriter.Printf("idle, 4 entries, %d fabric domains: %s %s %.2f a second\n", samples, call.Verb, call.Kind, float64(count)/idle.took.Seconds())
		}
		calls := c.callsDuring(func() {
			c.strikeEach(samples, standinengine.Switches{Die: true}, 0).print("with a spare")
		})
		print("a member replaced", samples, calls)
		// Two VMs of four are gone now: the next death leaves too few.
		const away = 20 * time.Second
		c.strikeEach(samples, standinengine.Switches{Die: true, RestartAfterMillis: away.Milliseconds()}, away).
			print("without a spare, the VM back after 20 s")
		calls = c.callsDuring(func() {
			c.strikeEach(samples, standinengine.Switches{Restart: true}, 0).print("a member restarted at once")
		})
		print("a group formed anew", samples, calls)
	})

	It("bytes of a probe", func() {
		c := startCluster(1)
		group := c.servingGroup(chat)
		request, err := http.NewRequest(http.MethodGet, "http://"+group.Head().Address+"/engine/v1/state", nil)
		Expect(err).NotTo(HaveOccurred())
		asked, err := httputil.DumpRequestOut(request, true)
		Expect(err).NotTo(HaveOccurred())
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		answered, err := httputil.DumpResponse(response, true)
		Expect(err).NotTo(HaveOccurred())
		total := len(asked) + len(answered)
		perSecond := float64(time.Second)/float64(vm.ProbeInterval) + 1
		GinkgoWriter.Printf("a probe: %d bytes asked, %d answered, without TCP and IP; %.0f a second for a member: %.0f bytes a second; for a free VM: %d\n",
			len(asked), len(answered), perSecond, perSecond*float64(total), total)
	})
})

// counted is how often the platform was called in a time, by kind and verb.
type counted struct {
	calls map[standinplatform.Call]int
	took  time.Duration
}

func (c *cluster) callsDuring(do func()) counted {
	GinkgoHelper()
	read := func() map[standinplatform.Call]int {
		calls := make(map[standinplatform.Call]int)
		for _, count := range lines[[]standinplatform.CallCount](c.platform + "/standin/calls")[0] {
			calls[count.Call] = count.Count
		}
		return calls
	}
	before, begun := read(), time.Now()
	do()
	after := read()
	for call, count := range before {
		after[call] -= count
	}
	return counted{calls: after, took: time.Since(begun)}
}

// downtimes are how long the groups of fabric domains were away.
type downtimes []time.Duration

func (d downtimes) print(what string) {
	slices.Sort(d)
	GinkgoWriter.Printf("%s: a group serves again after %v (%d groups)\n", what, []time.Duration(d), len(d))
}

// strikeSpread spreads the strikes over the rounds of the controllers, which all started together.
const strikeSpread = 270 * time.Millisecond

// strikeEach strikes a member of the group of each fabric domain, one after the other, and waits until every
// domain serves again, at the earliest when the VM is back.
func (c *cluster) strikeEach(count int, switches standinengine.Switches, back time.Duration) downtimes {
	GinkgoHelper()
	struck := make(map[string]time.Time)
	for _, fabric := range numbered("spare", count) {
		victim := c.member(fabric, vm.Serving, 1)
		struck[fabric] = time.Now()
		c.switchVM(victim, switches)
		time.Sleep(strikeSpread)
	}
	var served map[string]time.Time
	Eventually(func() int {
		served = c.servedAfter(struck, back)
		return len(served)
	}, generous, "500ms").Should(Equal(count))
	time.Sleep(5 * time.Second) // the last reports and watches
	var found downtimes
	for fabric, at := range served {
		found = append(found, at.Sub(struck[fabric]).Round(10*time.Millisecond))
	}
	return found
}

// servedAfter returns, from the time lines, when each fabric domain first had a group again that the
// placement calls serving and its home whole. The hybrid times are the host's clock here.
func (c *cluster) servedAfter(struck map[string]time.Time, back time.Duration) map[string]time.Time {
	GinkgoHelper()
	fabrics := make(map[string]string)
	for _, change := range c.history() {
		if change.Kind == platform.KindPlacement {
			for _, group := range placementOf(change.Object).Groups {
				fabrics[string(group.ID)] = change.Name
			}
		}
	}
	whole, serving := make(map[string]bool), make(map[string]bool)
	first := make(map[string]time.Time)
	events := c.timelines()
	slices.SortFunc(events, func(a, b timeline.Event) int { return cmp.Compare(a.Time, b.Time) })
	for _, event := range events {
		at, fabric := time.Unix(0, event.Time), fabrics[event.Group]
		switch {
		case fabric == "" || event.Service != chat:
			continue
		case event.Kind == timeline.GroupState:
			serving[event.Group] = strings.HasPrefix(event.Detail, string(vm.Serving))
		case event.Kind == timeline.GroupWhole || event.Kind == timeline.GroupNotWhole:
			whole[event.Group] = event.Kind == timeline.GroupWhole
		}
		again := whole[event.Group] && serving[event.Group] && at.After(struck[fabric].Add(back+noticed))
		if again && first[fabric].IsZero() {
			first[fabric] = at
		}
	}
	return first
}

// noticed is more than the time in which a home notices a strike, and less than it takes to form a group.
const noticed = time.Second
