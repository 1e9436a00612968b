package test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/contract/admin"
	standinengine "github.com/skylarkpond/skylarkpond/internal/standin/engine"
	"github.com/skylarkpond/skylarkpond/pondctl"
)

var _ = Describe("A change that replaces groups", func() {
	// Operators change the version, the size and the number of the replicas while callers stream answers that
	// last longer than the system needs to notice the change. A group that were dissolved with an answer
	// in progress would cut it off in the middle; one that were given up before its successor serves would
	// leave callers refused. The operators follow the change by pondctl status.
	It("is carried out group by group, is seen in the status, and cuts no answer", func() {
		c := startCluster(3)
		ana := c.operator("ana", c.entries[0])
		callers := c.startStreamers(c.entries)

		roll := func(want func(admin.ServiceStatus) bool, change map[string]string) {
			GinkgoHelper()
			for key, value := range change {
				ana.set(chatNode, key, value)
			}
			begun := time.Now()
			expectAccepted(ana.apply(chatNode, "--wait"))
			seen := ana.follow("chat", want)
			GinkgoWriter.Printf("%v after %v: %v\n", change, time.Since(begun).Round(time.Millisecond), seen)
			callers.expectProgress()
		}
		wanted := func(replicas int) func(admin.ServiceStatus) bool {
			return func(s admin.ServiceStatus) bool {
				return s.Wanted == replicas && s.Serving == replicas && s.UpToDate == replicas && s.Changing == 0
			}
		}
		roll(wanted(2), map[string]string{"model_version": "v2", "group_size": "2", "spares": "4"})
		roll(wanted(4), map[string]string{"replicas": "4"})
		roll(wanted(2), map[string]string{"replicas": "2"})

		// More than there is room for: the status has to say so, or the operator waits for ever.
		ana.set(chatNode, "replicas", "30")
		expectAccepted(ana.apply(chatNode))
		ana.follow("chat", func(s admin.ServiceStatus) bool {
			return s.Wanted == 30 && s.Serving == 4 && strings.Contains(s.Note, "no fabric domain has room for 26 more")
		})
		callers.stop()
		c.judgePlacements()
		c.judgeSettings()
	})
})

// follow asks pondctl status until a service is as wanted, and returns what it showed on the way.
func (o *operator) follow(service string, want func(admin.ServiceStatus) bool) []string {
	GinkgoHelper()
	var seen []string
	Eventually(func(g Gomega) {
		code, out, progress := o.run("--json", "status")
		g.Expect(code).To(Equal(pondctl.ExitOK), progress)
		var status admin.Status
		g.Expect(json.Unmarshal([]byte(out), &status)).To(Succeed())
		i := slices.IndexFunc(status.Services, func(s admin.ServiceStatus) bool { return s.Name == service })
		g.Expect(i).To(BeNumerically(">=", 0))
		s := status.Services[i]
		text := fmt.Sprintf("%d serving, %d up to date, %d changing %s", s.Serving, s.UpToDate, s.Changing, s.Note)
		if len(seen) == 0 || seen[len(seen)-1] != text {
			seen = append(seen, text)
		}
		g.Expect(want(s)).To(BeTrue(), "%s", text)
	}, generous, "100ms").Should(Succeed())
	return seen
}

// streamers are callers whose every answer has to come whole.
type streamers struct {
	stopping chan struct{}
	group    sync.WaitGroup
	whole    atomic.Int64

	mu       sync.Mutex // guards problems
	problems []string
}

const (
	streamedTokens    = 60
	streamedGapMillis = 20
	streamersPerEntry = 2
	shownProblems     = 5
)

func (c *cluster) startStreamers(entries []*entryProcess) *streamers {
	GinkgoHelper()
	gap := int64(streamedGapMillis)
	c.switchDomain("local-a1", standinengine.Switches{TokenGapMillis: &gap})
	c.switchDomain("local-b1", standinengine.Switches{TokenGapMillis: &gap})
	s := &streamers{stopping: make(chan struct{})}
	for i, e := range entries {
		for j := range streamersPerEntry {
			s.group.Go(func() { s.call(caller{e}, fmt.Sprintf("%d-%d", i, j)) })
		}
	}
	return s
}

func (s *streamers) call(c caller, name string) {
	for n := 0; ; n++ {
		select {
		case <-s.stopping:
			return
		default:
		}
		prompt := fmt.Sprintf("stream %s %d", name, n)
		got := c.stream(prompt, streamedTokens)
		if got.isWhole(prompt, streamedTokens) {
			s.whole.Add(1)
			continue
		}
		time.Sleep(pauseBetween)
		s.mu.Lock()
		s.problems = append(s.problems, fmt.Sprintf("%s: status %d, %s %s, %v, %d bytes: %s", prompt, got.status, got.outcome, got.code, got.err,
			len(got.body), got.body[max(0, len(got.body)-200):]))
		s.mu.Unlock()
	}
}

func (s *streamers) expectProgress() {
	GinkgoHelper()
	before := s.whole.Load()
	Eventually(s.whole.Load, generous).Should(BeNumerically(">", before+2*streamersPerEntry))
}

func (s *streamers) stop() {
	GinkgoHelper()
	close(s.stopping)
	s.group.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	Expect(s.problems[:min(len(s.problems), shownProblems)]).To(BeEmpty(), "the first of %d", len(s.problems))
	GinkgoWriter.Printf("%d answers streamed, all whole\n", s.whole.Load())
}
