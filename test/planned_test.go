package test

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/contract"
	standinengine "github.com/skylarkpond/skylarkpond/internal/standin/engine"
	standinplatform "github.com/skylarkpond/skylarkpond/internal/standin/platform"
	"github.com/skylarkpond/skylarkpond/link/engine"
	"github.com/skylarkpond/skylarkpond/vm"
)

// leavingBound is what the users are promised for a leaving backend server, and busyMachine on top.
const leavingBound = 3*time.Second + busyMachine

// One stream an entry takes longer than a controller needs to free a group, so that one which frees it too
// early cuts it; the short ones see to it that there is always one about to begin. One group alone carries
// all of them.
const (
	longTokens  = 300
	shortTokens = 4
	longGap     = 25 // milliseconds
)

var _ = Describe("Planned changes", func() {
	// The platform tells a VM that it will be taken away, and lists that only ten seconds later. Work that is
	// begun on its group for much longer would be cut off with the VM; so would what is in progress, if the VM
	// were given back before it is done.
	It("give a leaving VM no new work after three seconds, cut nothing, and then free it", func() {
		c := startClusterWith(3, groupsWorld("steady", "leaving"), chatFiles(2, ""))
		lag := int64(10_000)
		c.switchPlatform(standinplatform.Switches{VMsLagMillis: &lag})
		streams := c.startStreams(c.entries)
		group, _ := c.groupIn("leaving", vm.Serving)
		c.awaitInProgress(group.ID)
		leaving := group.Members[1]
		notice := time.Now()
		c.switchVM(string(leaving.VM), standinengine.Switches{Leaving: &yes})
		Eventually(func(g Gomega) {
			state, err := engine.NewHTTPClient(nil).Probe(GinkgoT().Context(), leaving.Address)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(state.Group).To(BeEmpty())
			for _, other := range c.placement("leaving").Groups {
				for _, m := range other.Members {
					g.Expect(m.VM).NotTo(Equal(leaving.VM))
				}
			}
		}, generous, "100ms").Should(Succeed())
		freed := time.Since(notice)
		streams.stop()
		latest := c.judgeLeft(group.ID, notice)
		GinkgoWriter.Printf("the last request was begun on the group %v after the notice, the VM freed %v after it\n",
			latest.Round(time.Millisecond), freed.Round(time.Millisecond))
		c.judgeGroups()
	})

	// An operator wants another version of the model. Every replica loads it anew and serves nobody
	// meanwhile, so that all at once would be an outage; and each has streams in progress.
	It("roll a version group by group, below no minimum and without cutting a stream", func() {
		c := startClusterWith(3, groupsWorld("one", "two"), chatFiles(2, ""))
		o := c.operator("ana", c.entries[0])
		o.set(chatNode, "replicas", "1") // the second group stays, as an extra one
		expectAccepted(o.apply(chatNode))
		streams := c.startStreams(c.entries)
		from := time.Now()
		o.set(chatNode, "model_version", "v2")
		expectAccepted(o.apply(chatNode))
		Eventually(func(g Gomega) {
			for _, fabric := range []string{"one", "two"} {
				group, ok := c.groupIn(fabric, vm.Serving)
				g.Expect(ok && group.ModelVersion == "v2").To(BeTrue(), fabric)
			}
		}, generous, "100ms").Should(Succeed())
		GinkgoWriter.Printf("two groups took the version up in %v\n", time.Since(from).Round(time.Millisecond))
		streams.stop()
		c.judgeUncut()
		c.evidence().judgeMinimum(1, from)
		c.judgeGroups()
	})
})

// streams are callers of long streams, each of which must be whole.
type streams struct {
	stopping chan struct{}
	group    sync.WaitGroup

	mu      sync.Mutex // guards what follows
	whole   int
	refused map[string]int
	cut     []string
}

// streamsPerEntry, one long and one short, ask for some five and a half places of the eight that one group
// has: all of them have to be answered while the other group is gone.
const streamsPerEntry = 2

func (c *cluster) startStreams(entries []*entryProcess) *streams {
	gap := int64(longGap)
	for _, e := range entries {
		status, err := e.status()
		Expect(err).NotTo(HaveOccurred())
		for _, group := range status.Groups {
			c.switchDomain(group.FabricDomain, standinengine.Switches{TokenGapMillis: &gap})
		}
	}
	s := &streams{stopping: make(chan struct{}), refused: make(map[string]int)}
	for i, e := range entries {
		for j := range streamsPerEntry {
			tokens := shortTokens
			if j == 0 {
				tokens = longTokens
			}
			s.group.Go(func() { s.call(caller{e}, fmt.Sprintf("stream %d-%d", i, j), tokens) })
		}
	}
	return s
}

func (s *streams) call(c caller, name string, tokens int) {
	for n := 0; ; n++ {
		select {
		case <-s.stopping:
			return
		case <-time.After(pauseBetween):
		}
		prompt := fmt.Sprintf("%s %d", name, n)
		s.note(prompt, tokens, c.stream(prompt, tokens))
	}
}

func (s *streams) note(prompt string, tokens int, got answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case got.isWhole(prompt, tokens):
		s.whole++
	case got.outcome == contract.OutcomeNotRun && got.status != http.StatusOK:
		s.refused[got.body]++
	default:
		s.cut = append(s.cut, fmt.Sprintf("%s: %v %s", prompt, got.err, got.body[max(0, len(got.body)-300):]))
	}
}

// stop lets what is in progress end, and expects that all of it was whole.
func (s *streams) stop() {
	GinkgoHelper()
	close(s.stopping)
	s.group.Wait()
	GinkgoWriter.Printf("%d streams whole\n", s.whole)
	Expect(s.cut).To(BeEmpty())
	Expect(s.refused).To(BeEmpty(), "another group could have taken them")
}

// awaitInProgress waits until streams are in progress on a group.
func (c *cluster) awaitInProgress(group vm.GroupID) {
	GinkgoHelper()
	Eventually(func() int {
		running := 0
		for _, run := range c.runs() {
			switch {
			case run.Group != group:
			case run.Phase == standinengine.Started:
				running++
			default:
				running--
			}
		}
		return running
	}, generous, "100ms").Should(BeNumerically(">=", 2))
}

// judgeLeft checks by the engines' logs that no request was begun on a group long after a notice, and that
// every one that was begun there ran to its end. It returns how long after the notice the last was begun.
func (c *cluster) judgeLeft(group vm.GroupID, notice time.Time) time.Duration {
	GinkgoHelper()
	latest := time.Duration(0)
	for _, a := range c.evidence().arrivals {
		if a.Group == group {
			latest = max(latest, a.Time.Sub(notice))
		}
	}
	Expect(latest).To(BeNumerically("<", leavingBound))
	c.judgeUncut()
	return latest
}

// judgeUncut checks by the engines' logs that each stream which was started ran to its end, where it began.
func (c *cluster) judgeUncut() {
	GinkgoHelper()
	last := make(map[string]standinengine.Phase)
	for _, run := range c.runs() {
		if run.Service != chat {
			continue
		}
		if run.Phase == standinengine.Started {
			Expect(last).NotTo(HaveKey(run.RequestID), "begun twice")
		}
		last[run.RequestID] = run.Phase
	}
	for request, phase := range last {
		Expect(phase).To(Equal(standinengine.Finished), request)
	}
}
