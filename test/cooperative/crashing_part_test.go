package cooperative

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

// Bounds of the platform's pages for a part of a prompt that crashes servers.
const (
	// crashesAllowed is the number of crashes after which requests with the part must be held back within stableWindow.
	crashesAllowed = 5
	// lateRunsAllowed is how many of them may reach servers later.
	lateRunsAllowed = 3
)

const (
	crashingPart = "bad0"
	sharedPart   = "5a5a"
)

// lateRuns returns how many requests with a part reached servers later than stableWindow after the last crash that is allowed.
func (p *pond) lateRuns(part string) int {
	crashes := p.world.CrashTimes(part)
	if len(crashes) < crashesAllowed {
		return 0
	}
	bound := crashes[crashesAllowed-1].Add(stableWindow)
	late := 0
	for _, run := range p.world.RunsWith(part) {
		if run.At.After(bound) {
			late++
		}
	}
	return late
}

// expectHeldBack checks that servers crashed on a part, and that requests with it were held back in time.
func (p *pond) expectHeldBack(part string) {
	GinkgoHelper()
	crashes, runs, late := len(p.world.CrashTimes(part)), len(p.world.RunsWith(part)), p.lateRuns(part)
	GinkgoWriter.Printf("%d requests with %s ran, %d of them late, and %d servers crashed\n", runs, part, late, crashes)
	Expect(crashes).To(BeNumerically(">=", 1))
	Expect(late).To(BeNumerically("<=", lateRunsAllowed), "of %d", runs)
}

// settledAt returns when sound requests that share parts with crashing ones must be served again.
func (p *pond) settledAt(part string) time.Time {
	crashes := p.world.CrashTimes(part)
	if len(crashes) == 0 {
		return time.Time{}
	}
	return crashes[min(len(crashes), crashesAllowed)-1].Add(2 * stableWindow)
}

// answer is what a caller got for a request, when it was sent, and how long that took.
type answer struct {
	sent
	sentAt time.Time
	took   time.Duration
}

// load sends requests at a fixed rate, to one entry after the other, and returns the answers.
func (p *pond) load(interval, length time.Duration, name, path string, parts func(i int) []string) []answer {
	var mu sync.Mutex // guards answers
	var answers []answer
	var running sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range int(length / interval) {
		running.Go(func() {
			id, at := fmt.Sprint(name, "-", i), time.Now()
			got := p.entries[i%len(p.entries)].sendPrompt(client, path, id, "body of "+id, parts(i)...)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, answer{sent: got, sentAt: at, took: time.Since(at)})
		})
		time.Sleep(interval)
	}
	running.Wait()
	return answers
}

// servedShare returns the share of the answers to requests sent from a time on that are whole, and how many there are.
func servedShare(answers []answer, from time.Time, whole func(sent) bool) (share float64, count int) {
	served := 0
	for _, got := range answers {
		if got.sentAt.Before(from) {
			continue
		}
		count++
		if whole(got.sent) {
			served++
		}
	}
	return float64(served) / float64(max(1, count)), count
}

// addDirectEngines adds model servers that are reached without a proxy, so that connections to one that has crashed are refused.
func (p *pond) addDirectEngines(count int) {
	for range count {
		engine := p.world.Start(p.api, engineConfig(fmt.Sprintf("vm-%02d", len(p.engines)), "large"))
		DeferCleanup(engine.Close)
		p.engines = append(p.engines, engine)
	}
}

// newPondWithDesks returns three entries before 62 plain servers, which are back some time after they have crashed; with 0 they stay away.
func newPondWithDesks(returnAfter time.Duration) *pond {
	GinkgoHelper()
	p := newPond(3, 4)
	p.awaitServing(1)
	for i := range 60 {
		desk := p.world.Start(p.api, replica.Config{ID: fmt.Sprint("spare-desk-", i), Service: "desk", Zone: "z", Slots: 6})
		DeferCleanup(desk.Close)
		p.desks = append(p.desks, desk)
	}
	p.world.SetCrashingPart(crashingPart, returnAfter)
	return p
}

// bookings sends crashing and sound bookings, 70 each, and returns the answers to the sound ones.
func (p *pond) bookings(crashing, sound func(i int) []string) (answers []answer) {
	const interval, length = 150 * time.Millisecond, 70 * 150 * time.Millisecond
	var running sync.WaitGroup
	running.Go(func() { p.load(interval, length, "crashing", "/book/x", crashing) })
	running.Go(func() { answers = p.load(interval, length, "sound", "/book/x", sound) })
	running.Wait()
	return answers
}

// partsWith returns the parts of requests that share the given ones and have a last one of their own.
func partsWith(name string, shared ...string) func(i int) []string {
	return func(i int) []string { return append(append([]string(nil), shared...), fmt.Sprint(name, i)) }
}

var _ = Describe("Requests with a part that crashes servers", func() {
	// No two of the bookings have the same content. Each crashed a server, until none was left.
	DescribeTable("are held back, and sound bookings are served", func(crashing, sound func(i int) []string) {
		p := newPondWithDesks(0)
		answers := p.bookings(crashing, sound)
		p.expectHeldBack(crashingPart)
		share, count := servedShare(answers, p.settledAt(crashingPart), func(got sent) bool { return got.status == http.StatusOK })
		GinkgoWriter.Printf("sound requests served later: %.2f of %d\n", share, count)
		Expect(count).To(BeNumerically(">=", 20))
		Expect(share).To(BeNumerically(">=", 0.5))
	},
		Entry("as the second part", partsWith("c", sharedPart, crashingPart), partsWith("s", sharedPart, "900d")),
		Entry("as the first part", partsWith("c", crashingPart, sharedPart), partsWith("s", "900d", sharedPart)),
	)

	// A server that has crashed listens again at its address before anybody can see that it refuses connections.
	It("are held back although the servers are back at once", func() {
		p := newPondWithDesks(time.Millisecond)
		p.bookings(partsWith("c", sharedPart, crashingPart), partsWith("s", sharedPart, "900d"))
		p.expectHeldBack(crashingPart)
	})

	// Sound streams run on the groups that crash, and are cut with them. All groups were gone after some seconds, again and again.
	It("are held back as streams, and sound streams with the same first part are served", func() {
		p := newPond(3, 0)
		p.addDirectEngines(36)
		p.awaitServing(12)
		p.world.SetCrashingPart(crashingPart, 3*time.Second)
		before := p.load(100*time.Millisecond, 2*time.Second, "before", "/chat/x", partsWith("b", sharedPart))
		usual, _ := servedShare(before, time.Time{}, sent.whole)
		var answers []answer
		var running sync.WaitGroup
		const length = 16 * time.Second
		running.Go(func() {
			p.load(180*time.Millisecond, length, "crashing", "/chat/x", partsWith("c", sharedPart, crashingPart))
		})
		running.Go(func() { answers = p.load(100*time.Millisecond, length, "sound", "/chat/x", partsWith("s", sharedPart)) })
		running.Wait()
		p.expectHeldBack(crashingPart)
		share, count := servedShare(answers, p.settledAt(crashingPart), sent.whole)
		GinkgoWriter.Printf("sound streams served before and later: %.2f, %.2f of %d\n", usual, share, count)
		Expect(count).To(BeNumerically(">=", 20))
		Expect(share).To(BeNumerically(">=", usual/2))
		Expect(p.world.Violations()).To(BeEmpty())
	})

	// The leader that held them back is killed, and the entry that takes over may be one that has just started.
	It("stay held back while the leader is killed and entries are started again", func() {
		p := newPondWithDesks(0)
		var running sync.WaitGroup
		running.Go(func() {
			p.load(100*time.Millisecond, 20*time.Second, "crashing", "/book/x", partsWith("c", sharedPart, crashingPart))
		})
		Eventually(func() int { return len(p.world.CrashTimes(crashingPart)) }, generous).Should(BeNumerically(">=", 3))
		for range 3 {
			time.Sleep(2 * time.Second)
			leader, _ := p.leaderAndRest()
			leader.signal(syscall.SIGKILL)
			<-leader.ended()
			time.Sleep(time.Second)
			leader.start()
		}
		running.Wait()
		p.expectHeldBack(crashingPart)
	})

	// An entry that has just started knows nothing, and is asked before it has found the leader.
	It("stay held back while all entries are killed and started again", func() {
		p := newPondWithDesks(0)
		var running sync.WaitGroup
		running.Go(func() {
			p.load(100*time.Millisecond, 20*time.Second, "crashing", "/book/x", partsWith("c", sharedPart, crashingPart))
		})
		Eventually(func() int { return len(p.world.CrashTimes(crashingPart)) }, generous).Should(BeNumerically(">=", 3))
		time.Sleep(5 * time.Second)
		before := len(p.world.RunsWith(crashingPart))
		for _, entry := range p.entries {
			entry.signal(syscall.SIGKILL)
		}
		for _, entry := range p.entries {
			<-entry.ended()
			entry.start()
		}
		running.Wait()
		p.expectHeldBack(crashingPart)
		Expect(len(p.world.RunsWith(crashingPart)) - before).To(BeNumerically("<=", lateRunsAllowed))
	})
})
