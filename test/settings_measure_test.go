package test

import (
	"fmt"
	"os"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"github.com/skylarkpond/skylarkpond/contract/settings"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/timeline"
)

var _ = Describe("Measurements of settings", Label("measure"), func() {
	BeforeEach(func() {
		if os.Getenv(measuring) == "" {
			Skip("set " + measuring + "=1 to measure")
		}
	})

	DescribeTable("time until a change is in force, and what changes cost", func(entries int) {
		c := startCluster(entries)
		for _, e := range c.entries {
			c.waitLive(e, c.entries...)
		}
		time.Sleep(10 * time.Second) // what the start itself cost is over
		const seconds = 30
		idle := c.spent(func() { time.Sleep(seconds * time.Second) })
		ana := c.operator("ana", c.entries[0])
		changing := c.spent(func() {
			for i := range seconds { // 60 changes a minute
				next := time.Now().Add(time.Second)
				ana.entries = c.entries[i%entries : i%entries+1]
				ana.change([]settings.Path{chatNode, deskNode}[i%2])
				time.Sleep(time.Until(next))
			}
		})
		c.judgeSettings()
		GinkgoWriter.Printf("%d entries: %s\n", entries, c.spreads())
		perEntry := float64(seconds * entries)
		for _, s := range []struct {
			name string
			cost
		}{{"idle", idle}, {"60 changes a minute", changing}} {
			GinkgoWriter.Printf("%d entries, %s: %.0f bytes a second and entry between entries, %.3f%% of a core an entry\n",
				entries, s.name, float64(s.bytes)/perEntry, 100*s.cpu.Seconds()/perEntry)
		}
	}, Entry("4", 4), Entry("8", 8), Entry("16", 16), Entry("32", 32))
})

// cost is what all entries together spent.
type cost struct {
	bytes int64
	cpu   time.Duration
}

func (c *cluster) spent(during func()) cost {
	GinkgoHelper()
	entries := &meter{entries: c.entries}
	bytes, cpu := c.peerBytes.Load(), entries.cpu()
	during()
	return cost{bytes: c.peerBytes.Load() - bytes, cpu: entries.cpu() - cpu}
}

// spread says how long changes took from when the platform took them until they were in force.
type spread struct {
	changes int
	// bytes is the size of the trees together.
	bytes int
	// each is the time at one entry, all until the last entry.
	each, all []time.Duration
}

func (s spread) String() string {
	at := func(sorted []time.Duration, part float64) time.Duration {
		return sorted[int(part*float64(len(sorted)-1))].Round(time.Millisecond)
	}
	slices.Sort(s.each)
	slices.Sort(s.all)
	return fmt.Sprintf("%d changes, trees of %d bytes on average, in force after %v at 50, %v at 95 in 100 for one entry; %v at 50, %v at most for all entries",
		s.changes, s.bytes/s.changes, at(s.each, 0.5), at(s.each, 0.95), at(s.all, 0.5), at(s.all, 1))
}

// spreads works it out from the platform's history and the time lines of all entries, whose clocks are one
// here. The first tree was there before the entries.
func (c *cluster) spreads() spread {
	GinkgoHelper()
	byEntry := make(map[string][]timeline.Event)
	for _, event := range c.timelines() {
		if event.Kind == timeline.SettingsInForce {
			byEntry[event.Process] = append(byEntry[event.Process], event)
		}
	}
	var s spread
	for _, change := range c.history() {
		if change.Kind != platform.KindSettings || change.Replaced == 0 {
			continue
		}
		last := time.Duration(0)
		for _, taken := range byEntry {
			i := slices.IndexFunc(taken, func(e timeline.Event) bool { return e.Version >= uint64(change.Version) })
			took := time.Unix(0, taken[i].Time).Sub(change.Time)
			s.each = append(s.each, took)
			last = max(last, took)
		}
		s.all = append(s.all, last)
		s.changes++
		s.bytes += len(change.Value)
	}
	return s
}
