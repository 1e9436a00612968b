package cooperative

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/skylarkpond/skylarkpond/internal/loopback"
	"github.com/skylarkpond/skylarkpond/internal/standin/malformed"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

// This file holds the soak's lanes of servers whose answers are malformed or break off early, that are cut off from all entries, or that leave together.
// The lanes draw from a source of their own, so that the other troubles stay those of the seed.

const (
	// registrationLapse is how long a registration outlasts the last heartbeat, and goneAfter how long servers serve on that were removed.
	registrationLapse = 3600 * time.Millisecond
	goneAfter         = 2500 * time.Millisecond
	// lostEntries is how many entries were lost for good before the soak; more than run.
	lostEntries = soakEntries + 2
)

// longText is the body of long requests. It is larger than what the buffers of a proxy hold.
var longText = strings.Repeat("x", 900<<10)

// registerLost registers entries that were lost for good.
func (p *pond) registerLost() {
	for i := range lostEntries {
		name := fmt.Sprint("lost-", i)
		p.api.Write(string(platform.KindEntry), name, platform.Entry{
			Name: name, PublicAddress: fmt.Sprintf("%s:%d", p.subnet.IP(100+i), callersPort), Place: "r", FailureDomain: "z",
		})
	}
}

func (s *soak) drawAnswers(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answersRandom.IntN(n)
}

// answersLane brings one of these troubles after the other.
func (s *soak) answersLane() {
	troubles := []func(){s.malformedAnswers, s.earlyResets, s.endlessReports, s.cutHead, s.withdrawEngines}
	for time.Now().Before(s.ends) {
		time.Sleep(time.Duration(200+s.drawAnswers(1500)) * time.Millisecond)
		troubles[s.drawAnswers(len(troubles))]()
	}
}

// longCaller sends long requests to the entries in any order.
func (s *soak) longCaller() {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	for n := 0; time.Now().Before(s.ends); n++ {
		entry := s.entries[s.drawAnswers(len(s.entries))]
		kind := []string{"book", "look"}[s.drawAnswers(2)]
		id := fmt.Sprintf("caller-long-%d-%s", n, entry.name)
		s.judge(kind, entry.sendOver(client, "/"+kind+"/x", id, longText), "answer to "+id)
		time.Sleep(time.Duration(s.drawAnswers(100)) * time.Millisecond)
	}
}

// failAnswers gives a server faults of its answers for a moment.
func (s *soak) failAnswers(what any, faults replica.Faults) {
	server := s.serverFrom(s.drawAnswers)
	if !s.take(server) {
		return
	}
	defer s.release(server)
	s.note("%s: %v", server.ID(), what)
	server.SetFaults(faults)
	time.Sleep(time.Duration(100+s.drawAnswers(1000)) * time.Millisecond)
	server.SetFaults(replica.Faults{})
	s.note("%s is well", server.ID())
}

func (s *soak) malformedAnswers() {
	cases := malformed.Cases()
	drawn := cases[s.drawAnswers(len(cases))]
	s.failAnswers(drawn, replica.Faults{Malformed: &drawn})
}

func (s *soak) earlyResets() {
	s.failAnswers("resets long requests midway", replica.Faults{ResetEarly: true})
}

func (s *soak) endlessReports() {
	parts := []replica.Endless{
		replica.EndlessStatus, replica.EndlessField, replica.EndlessHead, replica.EndlessEvent, replica.EndlessBody, replica.EndlessInterim,
	}
	part := parts[s.drawAnswers(len(parts))]
	s.failAnswers("reports without end: "+part, replica.Faults{EndlessControl: part})
}

// cutHead cuts the head of an open group off from the platform and from all entries, until after its registration has lapsed.
func (s *soak) cutHead() {
	heads := s.openHeads()
	if len(heads) == 0 {
		return
	}
	head := heads[s.drawAnswers(len(heads))]
	if !s.take(head) {
		return
	}
	defer s.release(head)
	proxy := s.proxyOf(head)
	defer s.faulty(proxy)()
	s.note("%s is cut off from the platform and from all entries", head.ID())
	proxy.SetFaults(loopback.Faults{StallAll: true})
	head.SetFaults(replica.Faults{Unregistered: true})
	time.Sleep(registrationLapse)
	s.api.Delete("servers", head.ID())
	time.Sleep(time.Duration(500+s.drawAnswers(4000)) * time.Millisecond)
	proxy.SetFaults(loopback.Faults{})
	head.SetFaults(replica.Faults{})
	s.note("%s is reached again", head.ID())
}

// withdrawEngines takes almost half of the model servers away at once, which don't report that they drain. Others come, with weights on their hosts.
func (s *soak) withdrawEngines() {
	var leaving []*replica.Server
	for i := range soakEngines * 4 / 9 {
		if engine := s.engineAt(func(int) int { return 2 * i }); s.take(engine) {
			leaving = append(leaving, engine)
		}
	}
	for _, engine := range leaving {
		s.note("withdraw %s", engine.ID())
		engine.Withdraw()
	}
	time.Sleep(goneAfter)
	for _, engine := range leaving {
		engine.Crash()
		s.replaceEngine(engine, "large")
	}
}
