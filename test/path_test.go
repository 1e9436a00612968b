package test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/contract"
	standinengine "github.com/skylarkpond/skylarkpond/internal/standin/engine"
	standinplatform "github.com/skylarkpond/skylarkpond/internal/standin/platform"
)

var _ = Describe("The path", func() {
	It("serves a stream, a whole completion and a plain call, with front, home and backend server apart", func() {
		c := startCluster(4)
		c.waitAgreed(c.entries...)
		homes := c.entries[0].homesOf("chat")
		for _, e := range c.entries {
			streamed := caller{e}.stream("a quote for cream", 20)
			Expect(streamed.isWhole("a quote for cream", 20)).To(BeTrue(), streamed.body)
			whole := caller{e}.complete("a quote for butter", 20)
			Expect(whole.isWhole("a quote for butter", 20)).To(BeTrue(), whole.body)
			Expect(whole.outcome).To(Equal(contract.OutcomeAnswered))
			booked := caller{e}.book("lot-"+e.name, 1)
			Expect(booked.outcome).To(Equal(contract.OutcomeAnswered), booked.body)
		}
		Expect(homes).To(HaveLen(2))
		c.judgeBookings()
		c.judgePlacements()
	})

	// An operator kills one entry, another one freezes and wakes, the platform goes out, and a third entry is
	// stopped for an update, all while callers are served. A caller sees at most a refusal that is true and
	// says when to come back; never half an answer as if it were whole, and no booking twice.
	It("goes on serving while an entry is killed, one frozen, the platform out, and one stopped gracefully", func() {
		c := startCluster(5)
		load := c.startLoad(c.entries[:2])
		c.entries[4].kill()
		c.waitLive(c.entries[0], c.entries[:4]...)
		load.expectProgress()

		c.entries[3].freeze()
		c.waitLive(c.entries[0], c.entries[:3]...)
		load.expectProgress()
		c.entries[3].wake()
		c.waitLive(c.entries[0], c.entries[:4]...)
		load.expectProgress()

		c.outage(standinplatform.OutageHang)
		load.expectProgress()
		c.outage(standinplatform.OutageNone)

		c.entries[2].terminate()
		Eventually(c.entries[2].done, generous).Should(BeClosed())
		c.waitLive(c.entries[0], c.entries[0], c.entries[1], c.entries[3])
		load.expectProgress()
		load.stop()
		c.judgeBookings()
		c.judgePlacements()
	})
})

// load is callers that send one request after another.
type load struct {
	c        *cluster
	stopping chan struct{}
	group    sync.WaitGroup
	answered atomic.Int64
	asked    atomic.Int64

	mu       sync.Mutex // guards what follows
	problems []string
	bookings map[string][]answer
}

// pauseBetween keeps the callers of one entry from taking the machine for themselves.
const pauseBetween = 20 * time.Millisecond

func (c *cluster) startLoad(entries []*entryProcess) *load {
	l := &load{c: c, stopping: make(chan struct{}), bookings: make(map[string][]answer)}
	for i, e := range entries {
		for j := range 2 {
			l.group.Go(func() { l.call(caller{e}, fmt.Sprintf("%d-%d", i, j)) })
		}
	}
	return l
}

func (l *load) call(c caller, name string) {
	for n := 0; ; n++ {
		select {
		case <-l.stopping:
			return
		case <-c.entry.done:
			return
		case <-time.After(pauseBetween):
		}
		l.asked.Add(1)
		l.completion(c, fmt.Sprintf("prompt %s %d", name, n))
		l.booking(c, fmt.Sprintf("lot-%s-%d", name, n))
	}
}

const loadTokens = 30

// completion checks that what looks whole is the whole answer to this prompt, and that all else says so.
func (l *load) completion(c caller, prompt string) {
	got := c.stream(prompt, loadTokens)
	switch {
	case got.isWhole(prompt, loadTokens):
		l.answered.Add(1)
	case got.whole:
		l.problem("%s: told as whole, but is not its answer: %s", prompt, got.body)
	case got.err != nil:
		l.failed(c, prompt, got.err)
	case got.outcome == contract.OutcomeAnswered:
		l.problem("%s: told answered without the whole answer: %s", prompt, got.body)
	}
}

func (l *load) booking(c caller, lot string) {
	got := c.book(lot, 1)
	if got.err != nil {
		l.failed(c, lot, got.err)
		return
	}
	if got.outcome != contract.OutcomeAnswered && got.retry == "" {
		l.problem("%s: refused without Retry-After: %s", lot, got.body)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bookings[lot] = append(l.bookings[lot], got)
}

// failed tells a caller whose entry was killed, which may go to another, from one that was left alone.
func (l *load) failed(c caller, what string, err error) {
	select {
	case <-c.entry.done:
	case <-time.After(endNoticed):
		l.problem("%s: %v", what, err)
	}
}

// endNoticed is more than it takes until the end of a process is noticed here.
const endNoticed = 2 * time.Second

func (l *load) problem(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.problems = append(l.problems, fmt.Sprintf(format, args...))
}

// expectProgress waits until callers have got whole answers again.
func (l *load) expectProgress() {
	GinkgoHelper()
	before := l.answered.Load()
	Eventually(l.answered.Load, generous).Should(BeNumerically(">", before+10))
}

// stop ends the callers and judges what they were told against what the backend servers ran.
func (l *load) stop() {
	GinkgoHelper()
	close(l.stopping)
	l.group.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	Expect(l.problems).To(BeEmpty())
	started := l.c.startsByBody()
	told := make(map[contract.Outcome]int)
	for lot, answers := range l.bookings {
		for _, got := range answers {
			told[got.outcome]++
			runs := started[bodyHash(booking(lot))]
			if got.outcome == contract.OutcomeNotRun {
				Expect(runs).To(BeZero(), "%s was told not-run: %s", lot, got.body)
			}
			if got.outcome == contract.OutcomeAnswered {
				Expect(runs).To(Equal(1), lot)
			}
		}
	}
	GinkgoWriter.Printf("%d of %d completions whole; bookings told: %v\n", l.answered.Load(), l.asked.Load(), told)
}

// startsByBody counts the starts of bookings by the hash of their body.
func (c *cluster) startsByBody() map[string]int {
	GinkgoHelper()
	starts := make(map[string]int)
	for _, run := range c.runs() {
		if run.Phase == standinengine.Started && run.Path == "/bookings" {
			starts[run.BodyHash]++
		}
	}
	return starts
}

// startsByRequest counts the starts of all runs by the id of their request.
func (c *cluster) startsByRequest() map[string]int {
	GinkgoHelper()
	starts := make(map[string]int)
	for _, run := range c.runs() {
		if run.Phase == standinengine.Started {
			starts[run.RequestID]++
		}
	}
	return starts
}
