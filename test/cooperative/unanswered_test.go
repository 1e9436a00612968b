package cooperative

import (
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/logline"
	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

var _ = Describe("Entries that are stopped under load", func() {
	// Guards against requests that a stopping process reads whole and closes without an answer.
	It("answer each request that they read, also when they are starved of processor time", func() {
		p := newPond(3, 4)
		p.awaitServing(1)
		stopped := p.entries[0]
		load := &keptLoad{entry: stopped}
		load.start(150)
		time.Sleep(time.Second)
		stopped.signal(syscall.SIGTERM)
		throttle(stopped, runTime)
		Eventually(stopped.ended(), generous).Should(BeClosed())
		load.finish()
		load.expectAnswered(p)
	})

	// Guards against requests that get no answer, or a wrong one, because something else happens around a stop.
	DescribeTable("answer each request that they read, also when", func(stop func(p *pond, leader *gatewayProcess) (also []*gatewayProcess)) {
		p := newPond(3, 4)
		p.awaitServing(1)
		leader, rest := p.leaderAndRest()
		loads := []*keptLoad{{entry: leader, manners: allManners}, {entry: rest[0], manners: allManners}}
		for _, load := range loads {
			load.start(75)
		}
		time.Sleep(time.Second)
		for _, entry := range append(stop(p, leader), leader) {
			Eventually(entry.ended(), generous).Should(BeClosed())
		}
		for _, load := range loads {
			load.finish()
			load.expectAnswered(p)
		}
	},
		Entry("signals come in series, and another entry is stopped", func(p *pond, leader *gatewayProcess) []*gatewayProcess {
			_, rest := p.leaderAndRest()
			rest[0].signal(syscall.SIGTERM)
			throttle(rest[0], runTime)
			throttle(leader, runTime)
			for range 60 {
				for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM} {
					_ = leader.process().Signal(signal) // it may have ended
					time.Sleep(20 * time.Millisecond)
				}
			}
			return rest[:1]
		}),
		Entry("large configurations come before and after", func(p *pond, leader *gatewayProcess) []*gatewayProcess {
			throttle(leader, runTime)
			for i := range 10 {
				p.configure(manyRoutes(i)...)
				if i == 3 {
					leader.signal(syscall.SIGTERM)
				}
				time.Sleep(400 * time.Millisecond)
			}
			return nil
		}),
		Entry("they have just been started", func(_ *pond, leader *gatewayProcess) []*gatewayProcess {
			leader.signal(syscall.SIGTERM)
			for i := range 2 {
				Eventually(leader.ended(), generous).Should(BeClosed())
				leader.start()
				Eventually(leader.accepts, generous, time.Millisecond).Should(BeTrue())
				time.Sleep(time.Duration(150*i) * time.Millisecond)
				leader.signal(syscall.SIGTERM)
			}
			return nil
		}),
		Entry("requests wait for backend servers", func(p *pond, leader *gatewayProcess) []*gatewayProcess {
			p.desks[0].NameLimit("5")
			p.desks[1].SetFaults(replica.Faults{Unresponsive: true})
			throttle(leader, runTime)
			time.Sleep(time.Second)
			leader.signal(syscall.SIGTERM)
			return nil
		}),
		Entry("they are suspended meanwhile", func(_ *pond, leader *gatewayProcess) []*gatewayProcess {
			leader.signal(syscall.SIGTERM)
			for range 2 {
				time.Sleep(time.Second)
				leader.signal(syscall.SIGSTOP)
				time.Sleep(1500 * time.Millisecond)
				leader.signal(syscall.SIGCONT)
			}
			return nil
		}),
	)

	// Guards against requests, those that may run once among them, that are passed on in the grace period and cut at its end.
	DescribeTable("answer each request that comes in the grace period and lasts beyond it, also", func(patience time.Duration, around func(p *pond, stopped *gatewayProcess)) {
		p := newPond(0, 0)
		p.bookTimeout = 12_000
		p.configure()
		for range 10 {
			p.addDesk()
		}
		for i, desk := range p.desks {
			desk.SetFaults(replica.Faults{Delay: []time.Duration{time.Second, 4 * time.Second, 12 * time.Second}[i%3]})
		}
		p.settings = []string{"POND_STOP_GRACE=8"}
		for i := range 3 {
			p.entries = append(p.entries, p.startEntry(2*i)) // each could be the leader
		}
		for _, entry := range p.entries {
			Eventually(entry.isReady, generous).Should(BeTrue())
		}
		manners := []manner{
			{path: bookPath, patience: patience, pause: 200 * time.Millisecond},
			{path: bookPath, patience: patience, pause: 500 * time.Millisecond, inside: 4 * time.Second}, // less than a header may take
		}
		var loads []*keptLoad
		stopped := p.entries[0]
		around(p, stopped)
		for _, entry := range p.entries[:2] {
			load := &keptLoad{entry: entry, manners: manners}
			loads = append(loads, load)
			load.start(60)
		}
		time.Sleep(time.Second)
		stopped.signal(syscall.SIGTERM)
		signalled := time.Now()
		<-stopped.ended()
		lasted := time.Since(signalled)
		for _, load := range loads {
			load.finish()
		}
		Expect(lasted).To(BeNumerically(">", 5*time.Second), "no request lasted")
		for _, load := range loads {
			load.expectAnswered(p)
		}
	},
		Entry("in calm", 10*time.Second, func(*pond, *gatewayProcess) {}),
		Entry("with time until about the end of the period", 6*time.Second, func(*pond, *gatewayProcess) {}),
		Entry("when it is starved of processor time", 6*time.Second, func(_ *pond, stopped *gatewayProcess) { throttle(stopped, runTime) }),
		Entry("when another entry passes requests on to it", 10*time.Second, func(p *pond, _ *gatewayProcess) {
			p.cutFromServers(refusedCut, p.entries[1])
		}),
	)

	// Guards against requests that end with the process although they could be answered, since it was suspended when it should have done so.
	It("answer what they can't finish, also when they were suspended until they should have exited", func() {
		p := newPond(1, 0)
		p.settings = []string{"POND_STOP_GRACE=1"}
		stopped := p.startEntry(1)
		Eventually(func() int { return stopped.send("/book/x", "first").status }, generous).Should(Equal(http.StatusOK))
		for _, desk := range p.desks {
			desk.SetFaults(replica.Faults{Unresponsive: true})
		}
		const requests = 200
		status := make(chan int, requests)
		for i := range requests {
			go func() { status <- stopped.send("/book/x", fmt.Sprint("suspended-", i)).status }()
		}
		time.Sleep(200 * time.Millisecond) // it is at a server
		stopped.signal(syscall.SIGTERM)
		time.Sleep(200 * time.Millisecond)
		stopped.signal(syscall.SIGSTOP)
		time.Sleep(800 * time.Millisecond)
		stopped.signal(syscall.SIGCONT)
		throttle(stopped, runTime/4)
		counts := map[int]int{}
		for range requests {
			counts[<-status]++
		}
		Expect(counts).NotTo(HaveKey(0))
		Expect(stopped.log.String()).NotTo(ContainSubstring(logline.RequestUnfinished))
		Eventually(stopped.ended(), generous).Should(BeClosed())
	})
})

// manyRoutes returns the path prefixes of routes that make a configuration of about 1 MiB, different for each number.
func manyRoutes(number int) []string {
	var prefixes []string
	for i := range 6000 {
		prefixes = append(prefixes, fmt.Sprintf("/many-%d-%d/", number, i))
	}
	return prefixes
}

// accepts reports whether the entry takes connections.
func (e *gatewayProcess) accepts() bool {
	conn, err := net.Dial("tcp", e.callers)
	if err != nil {
		return false
	}
	_ = conn.Close() // nothing was sent on it
	return true
}

const (
	runTime   = 20 * time.Millisecond
	pauseTime = 80 * time.Millisecond
)

// throttle lets a process run for a time between pauses, until it ends.
func throttle(e *gatewayProcess, run time.Duration) {
	process, ended := e.process(), e.ended()
	go func() {
		for {
			_ = process.Signal(syscall.SIGSTOP)
			time.Sleep(pauseTime)
			_ = process.Signal(syscall.SIGCONT)
			select {
			case <-ended:
				return
			case <-time.After(run):
			}
		}
	}()
}

// disrupted is the key of the times in which an entry was killed or suspended. Other faults don't excuse a connection that ends without an answer.
type disrupted struct{ entry *gatewayProcess }

// drawKept draws for the callers on kept connections and for the stops that they press, from a source of its own, so that the other troubles stay
// those of the seed.
func (s *soak) drawKept(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keptRandom.IntN(n)
}

// startKept starts callers on kept connections to an entry.
func (s *soak) startKept(name string, entry *gatewayProcess, callers int, manners []manner) *keptLoad {
	load := &keptLoad{entry: entry, name: name, manners: manners, seed: uint64(s.drawKept(1 << 30))}
	load.start(callers)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept = append(s.kept, load)
	return load
}

// keptLane has callers use kept connections to all entries, whatever happens to these.
func (s *soak) keptLane() {
	for _, entry := range s.entries {
		defer s.startKept("always-", entry, len(allManners)-1, allManners[1:]).finish()
	}
	time.Sleep(time.Until(s.ends))
}

// stopCallers is the number of callers that use an entry while it is stopped.
const stopCallers = 40

// stopPressed stops an entry while many callers use it until its process is gone. The process may get more signals and be starved meanwhile.
func (s *soak) stopPressed(e *gatewayProcess) {
	number := s.drawKept(1 << 30)
	load := s.startKept(fmt.Sprint("stop-", number, "-"), e, stopCallers, allManners[1:])
	defer load.finish()
	time.Sleep(time.Duration(s.drawKept(600)) * time.Millisecond)
	signals := []syscall.Signal{syscall.SIGTERM}
	for range s.drawKept(4) {
		signals = append(signals, []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}[s.drawKept(2)])
	}
	starved := s.drawKept(2) == 0
	s.note("signals to %s: %v, starved: %t", e.name, signals, starved)
	for _, signal := range signals {
		_ = e.process().Signal(signal) // it may have ended
		if starved {
			throttle(e, runTime)
			starved = false
		}
		time.Sleep(time.Duration(s.drawKept(1500)) * time.Millisecond)
	}
	<-e.ended()
}

// judgeKept notes the connections that were closed in order with a whole request read and no answer, and wrong answers. Entries that were killed or
// suspended at the time are excused. An answer may be cut off, since servers break off.
func (s *soak) judgeKept() {
	s.mu.Lock()
	defer s.mu.Unlock()
	ends := make(map[end]int)
	for _, load := range s.kept {
		for how, count := range load.ends {
			ends[how] += count
		}
		for _, request := range load.failed {
			if request.end == truncated {
				continue
			}
			text := fmt.Sprintf("%s, sent at %s: %s after %v: %s",
				request.id, request.sent.Format("05.000"), request.end, request.ended.Sub(request.sent), request.detail)
			if !s.calmFrom(disrupted{load.entry}, request.sent, request.ended) {
				GinkgoWriter.Println("excused:", text)
				continue
			}
			s.problems = append(s.problems, text)
		}
		s.refused, s.bookings = append(s.refused, load.refused...), append(s.bookings, load.bookings...)
	}
	GinkgoWriter.Printf("ends of requests on kept connections: %v\n", ends)
}
