package cooperative

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"github.com/skylarkpond/skylarkpond/internal/loopback"
	"github.com/skylarkpond/skylarkpond/platform/standin/objects"
	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

// troubles are what the soak draws from. Each returns when its trouble is over.
var troubles = []func(*soak){
	(*soak).killEntry, (*soak).killEntry, (*soak).freezeEntry, (*soak).freezeEntry, (*soak).stopEntry, (*soak).reloadEntry,
	(*soak).cutEntry, (*soak).cutEntry, (*soak).failPlatform, (*soak).failPlatform, (*soak).cutEngine, (*soak).cutEngine, (*soak).resetAll,
	(*soak).loseEngine, (*soak).loseEngine, (*soak).drainEngine, (*soak).drainUnseen, (*soak).failServer, (*soak).failServer, (*soak).changeConfig, (*soak).changeConfig,
}

// onEntry does something to an entry that has no other trouble.
func (s *soak) onEntry(what string, do func(*gatewayProcess)) {
	entry := s.entries[s.draw(len(s.entries))]
	if !s.take(entry) {
		return
	}
	defer s.release(entry)
	s.note("%s %s", what, entry.name)
	do(entry)
	s.note("%s %s is over", what, entry.name)
}

// harmEntry does something to an entry that is a fault while it lasts.
func (s *soak) harmEntry(what string, do func(*gatewayProcess)) {
	s.onEntry(what, func(e *gatewayProcess) {
		defer s.faulty(e)()
		do(e)
	})
}

func (s *soak) killEntry() {
	s.harmEntry("kill", func(e *gatewayProcess) {
		defer s.faulty(disrupted{e})()
		_ = e.process().Kill()
		<-e.ended()
		time.Sleep(s.some())
		e.start()
	})
}

func (s *soak) freezeEntry() {
	s.harmEntry("freeze", func(e *gatewayProcess) {
		defer s.faulty(disrupted{e})()
		_ = e.process().Signal(syscall.SIGSTOP)
		time.Sleep(s.some())
		_ = e.process().Signal(syscall.SIGCONT)
	})
}

func (s *soak) stopEntry() {
	s.harmEntry("stop", func(e *gatewayProcess) {
		s.stopPressed(e)
		e.start()
	})
}

func (s *soak) reloadEntry() {
	s.onEntry("reload", func(e *gatewayProcess) { _ = e.process().Signal(syscall.SIGHUP) })
}

// isolationLane cuts one entry after the other off from all backend servers. It draws from a source of its own, so that the other troubles stay
// those of the seed.
func (s *soak) isolationLane() {
	defer GinkgoRecover()
	some := func() time.Duration { return time.Duration(500+s.cutRandom.IntN(3500)) * time.Millisecond }
	for time.Now().Before(s.ends) {
		time.Sleep(some())
		entry := s.entries[s.cutRandom.IntN(len(s.entries))]
		cut := serverCuts[s.cutRandom.IntN(len(serverCuts))]
		if !s.take(entry) {
			continue
		}
		end := s.faulty(entry)
		s.note("cut %s off from all backend servers: %+v", entry.name, cut)
		mend := s.cutFromServers(cut, entry)
		time.Sleep(some())
		mend()
		s.note("%s reaches the backend servers", entry.name)
		end()
		s.release(entry)
	}
}

// crashingLane sends requests that share a part which crashes model servers, no two alike, to any entries, in bursts. The servers are back soon.
// It draws from a source of its own, so that the other troubles stay those of the seed.
func (s *soak) crashingLane() {
	some := func(least, most int) time.Duration {
		return time.Duration(least+s.crashRandom.IntN(most-least)) * time.Millisecond
	}
	s.world.SetCrashingPart(crashingPart, some(1, 2000))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	var sending sync.WaitGroup
	defer sending.Wait()
	for n := 0; time.Now().Before(s.ends); {
		time.Sleep(some(500, 4000))
		burst := time.Now().Add(some(500, 3000))
		s.note("requests with a part that crashes servers until %s", burst.Format("05.000"))
		for ; time.Now().Before(burst) && time.Now().Before(s.ends); n++ {
			entry := s.entries[s.crashRandom.IntN(len(s.entries))]
			id := fmt.Sprintf("caller-crashing-%d-%s", n, entry.name)
			sending.Go(func() { entry.sendPrompt(client, "/chat/x", id, "body of "+id, sharedPart, crashingPart, id) })
			time.Sleep(some(50, 250))
		}
	}
}

// limitLane has one server after the other name limits that come, change and go, up to three servers at a time. It draws from a source of its own, so
// that the other troubles stay those of the seed.
func (s *soak) limitLane() {
	some := func(least, most int) time.Duration {
		return time.Duration(least+s.limitRandom.IntN(most-least)) * time.Millisecond
	}
	values := [][]string{{"0"}, {"0.4"}, {"1"}, {"2"}, {"5"}, {"20"}, {"2", "7"}, {"abc"}, {""}, {}, {}}
	var limited []*replica.Server
	for time.Now().Before(s.ends) {
		time.Sleep(some(200, 1500))
		if len(limited) < 3 {
			server := s.desks[s.limitRandom.IntN(len(s.desks))]
			if heads := s.openHeads(); len(heads) > 0 && s.limitRandom.IntN(2) == 0 {
				server = heads[s.limitRandom.IntN(len(heads))]
			}
			limited = append(limited, server)
		}
		drawn := s.limitRandom.IntN(len(limited))
		value := values[s.limitRandom.IntN(len(values))]
		s.note("%s names the limit %q", limited[drawn].ID(), value)
		limited[drawn].NameLimit(value...)
		if len(value) == 0 {
			limited = slices.Delete(limited, drawn, drawn+1)
		}
	}
	for _, server := range limited {
		server.NameLimit()
	}
}

// judgeLimits notes the servers that got more than their limits allow. Entries that were killed, frozen or cut off are not excused; requests that a
// fault of the way held up are, since they arrive together.
func (s *soak) judgeLimits() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.world.Servers() {
		worst, found := server.WorstExcess(stableWindow, func(_ string, at time.Time) bool {
			return s.calmFrom(s.proxies[server.ID()], at, at)
		})
		if found {
			GinkgoWriter.Printf("%s got %d of %.1f allowed in its worst 4 s\n", server.ID(), worst.Got, worst.Allowed)
		}
		if worst.Over() {
			s.problems = append(s.problems, fmt.Sprintf("more than its limit allows reached %s: %d of %.1f from %s on", worst.Server, worst.Got, worst.Allowed, worst.From.Format("05.000")))
		}
	}
}

// judgeCrashes notes requests with the part that crashes servers that entries without a fault have sent long after the fifth crash, if there are more
// than a few.
func (s *soak) judgeCrashes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	crashes := s.world.CrashTimes(crashingPart)
	GinkgoWriter.Printf("crashed on a part: %d servers\n", len(crashes))
	if len(crashes) < crashesAllowed {
		return
	}
	var late []string
	for _, run := range s.world.RunsWith(crashingPart) {
		entry := s.senderOf(run.ID)
		bound := crashes[crashesAllowed-1].Add(stableWindow)
		if entry == nil || !run.At.After(bound) || !s.calmFrom(s.api, run.At, run.At) || !s.calmFrom(entry, run.At, run.At) || !s.calmFrom(entry.toPlatform, run.At, run.At) {
			continue
		}
		late = append(late, run.At.Format("05.000 ")+run.ID)
	}
	if len(late) > lateRunsAllowed {
		s.problems = append(s.problems, fmt.Sprintf("%d requests with a part that has crashed %d servers were sent late: %v", len(late), len(crashes), late))
	}
	GinkgoWriter.Printf("%d requests late\n", len(late))
}

// weather draws what a proxy does.
func (s *soak) weather() loopback.Faults {
	return []loopback.Faults{
		{Delay: 100 * time.Millisecond}, {Delay: 500 * time.Millisecond}, {StallAll: true}, {StallResponses: true}, {Refuse: true},
	}[s.draw(5)]
}

// spoil changes the weather of a proxy for a while.
func (s *soak) spoil(what string, proxy *loopback.Proxy) {
	if !s.take(proxy) {
		return
	}
	defer s.release(proxy)
	defer s.faulty(proxy)()
	weather := s.weather()
	s.note("%s: %+v", what, weather)
	proxy.SetFaults(weather)
	if weather.Refuse {
		proxy.Reset()
	}
	time.Sleep(s.some())
	proxy.SetFaults(loopback.Faults{})
	s.note("%s is over", what)
}

// cutEntry spoils one entry's way to the platform.
func (s *soak) cutEntry() {
	e := s.entries[s.draw(len(s.entries))]
	s.spoil("way of "+e.name+" to the platform", e.toPlatform)
}

// cutEngine spoils all ways to one model server.
func (s *soak) cutEngine() {
	engine := s.engineAt(s.draw)
	s.spoil("ways to "+engine.ID(), s.proxyOf(engine))
}

// resetAll resets the connections to one model server, or of one entry to the platform.
func (s *soak) resetAll() {
	proxy := s.proxyOf(s.engineAt(s.draw))
	if s.draw(2) == 0 {
		proxy = s.entries[s.draw(len(s.entries))].toPlatform
	}
	defer s.faulty(proxy)()
	proxy.Reset()
}

func (s *soak) failPlatform() {
	if !s.take(s.api) {
		return
	}
	defer s.release(s.api)
	defer s.faulty(s.api)()
	faults := []objects.Faults{{Unresponsive: true}, {FailAll: 503}, {FailAll: 429}, {LoseAnswers: true}, {SkipWatchEvents: true}}[s.draw(5)]
	s.note("platform: %+v", faults)
	s.api.SetFaults(faults)
	time.Sleep(s.some())
	s.api.SetFaults(objects.Faults{})
	if faults.SkipWatchEvents || s.draw(3) == 0 {
		s.api.Compact()
	}
	s.note("platform is well")
}

// loseEngine ends a model server for good; another one comes, with weights on its host.
func (s *soak) loseEngine() {
	engine := s.engineAt(s.draw)
	if !s.take(engine) {
		return
	}
	s.note("lose %s", engine.ID())
	engine.Crash()
	time.Sleep(s.some() / 2)
	s.replaceEngine(engine, "large")
}

func (s *soak) drainEngine() { s.drain(s.engineAt(s.draw)) }

// drainUnseen lets a head leave while the leader can't read the platform.
func (s *soak) drainUnseen() {
	leader, heads := s.leader(), s.openHeads()
	if leader == nil || len(heads) == 0 || !s.take(leader.toPlatform) {
		return
	}
	defer s.release(leader.toPlatform)
	defer s.faulty(leader.toPlatform)()
	s.note("%s, the leader, can't read the platform", leader.name)
	leader.toPlatform.SetFaults(loopback.Faults{StallAll: true})
	time.Sleep(s.some() / 10)
	s.drain(heads[s.draw(len(heads))])
	leader.toPlatform.SetFaults(loopback.Faults{})
}

// drain lets a model server leave; another one comes, with weights on its host.
func (s *soak) drain(engine *replica.Server) {
	if !s.take(engine) {
		return
	}
	s.note("drain %s", engine.ID())
	engine.StartLeaving()
	time.Sleep(leavingKnown + s.some()) // it serves on until its leaving must be known, and a little longer
	engine.Crash()
	s.replaceEngine(engine, "large")
}

// failServer lets a model server or a plain one fail for a while.
func (s *soak) failServer() {
	var server *replica.Server
	if s.draw(3) == 0 {
		server = s.desks[s.draw(len(s.desks))]
	} else {
		server = s.engineAt(s.draw)
	}
	if !s.take(server) {
		return
	}
	defer s.release(server)
	faults := []replica.Faults{
		{Unresponsive: true}, {StallAfter: 5}, {ResetAfter: 3}, {LoseAnswer: true}, {Shed: true}, {FailStatus: 500}, {OrderDelay: 1500 * time.Millisecond}, {Unregistered: true},
	}[s.draw(8)]
	s.note("%s: %+v", server.ID(), faults)
	server.SetFaults(faults)
	time.Sleep(s.some())
	server.SetFaults(replica.Faults{})
	s.note("%s is well", server.ID())
}

func (s *soak) changeConfig() {
	if !s.take("config") {
		return
	}
	defer s.release("config")
	s.configure(fmt.Sprintf("/extra-%d/", s.draw(5)))
	time.Sleep(s.some() / 4)
}
