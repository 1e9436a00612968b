package cooperative

import (
	"fmt"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

// This file holds the soak's lanes of servers that state something in their answers, or send more than they should. Each lane draws from a source of
// its own, so that the other troubles stay those of the seed.

// pauseValues are what servers ask for in turn.
var pauseValues = [][]string{{"0.4"}, {"1"}, {"2.5"}, {"3", "0.2"}, {"6", "1", "abc"}, {"4"}}

// serverFrom returns a plain server or a head.
func (s *soak) serverFrom(draw func(int) int) *replica.Server {
	if heads := s.openHeads(); len(heads) > 0 && draw(2) == 0 {
		return heads[draw(len(heads))]
	}
	return s.desks[draw(len(s.desks))]
}

// pauseLane has one server after the other turn the requests of some or all entries away and ask for pauses. Two servers may do so at a time.
func (s *soak) pauseLane() {
	some := func(least, most int) time.Duration {
		return time.Duration(least+s.pauseRandom.IntN(most-least)) * time.Millisecond
	}
	for time.Now().Before(s.ends) {
		time.Sleep(some(200, 2000))
		server := s.serverFrom(s.pauseRandom.IntN)
		shedding := &replica.Shedding{Ask: pauseValues[s.pauseRandom.IntN(len(pauseValues))]}
		whom := "all entries"
		if s.pauseRandom.IntN(3) == 0 {
			entry := s.entries[s.pauseRandom.IntN(len(s.entries))]
			whom = entry.name
			shedding.From = func(source string) bool { return s.entryAt(source) == entry }
		}
		length := some(500, 5000)
		s.note("%s turns %s away for %v and asks for %q", server.ID(), whom, length, shedding.Ask)
		server.Shed(shedding)
		time.AfterFunc(length, func() { server.Shed(nil) })
		time.Sleep(some(0, 2500))
	}
}

// announcingLane has one server after the other say that it is leaving, while its registration says that it is ready. It starts anew later.
func (s *soak) announcingLane() {
	some := func(least, most int) time.Duration {
		return time.Duration(least+s.announceRandom.IntN(most-least)) * time.Millisecond
	}
	for time.Now().Before(s.ends) {
		time.Sleep(some(1000, 5000))
		server := s.serverFrom(s.announceRandom.IntN)
		if !s.take(server) {
			continue
		}
		s.note("%s says that it is leaving", server.ID())
		server.AnnounceLeaving()
		time.Sleep(announcedKnown + some(500, 2500))
		s.note("%s starts anew", server.ID())
		server.Restart()
		s.release(server)
	}
}

// endlessLane has one server after the other send answers without end for a moment.
func (s *soak) endlessLane() {
	some := func(least, most int) time.Duration {
		return time.Duration(least+s.endlessRandom.IntN(most-least)) * time.Millisecond
	}
	parts := []replica.Endless{
		replica.EndlessStatus, replica.EndlessField, replica.EndlessHead, replica.EndlessEvent, replica.EndlessBody, replica.EndlessOther, replica.EndlessInterim,
	}
	for time.Now().Before(s.ends) {
		time.Sleep(some(500, 3000))
		server := s.serverFrom(s.endlessRandom.IntN)
		part := parts[s.endlessRandom.IntN(len(parts))]
		if !s.take(server) {
			continue
		}
		s.note("%s sends without end: %s", server.ID(), part)
		server.SetFaults(replica.Faults{Endless: part})
		time.Sleep(some(50, 500))
		server.SetFaults(replica.Faults{})
		s.release(server)
	}
}

// entryAt returns the entry with an IP address; nil for none.
func (s *soak) entryAt(address string) *gatewayProcess {
	for _, entry := range s.entries {
		if host, _, err := net.SplitHostPort(entry.callers); err == nil && host == address {
			return entry
		}
	}
	return nil
}

// judgeStatements notes each pause that was not kept, each request that came long after an entry was told that the server leaves, and each entry that
// took more memory than the smallest machine has. Entries and ways that had a fault are excused.
func (s *soak) judgeStatements() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.world.Servers() {
		calm := func(source string, from, to time.Time) bool {
			entry := s.entryAt(source)
			return entry != nil && s.calmFrom(entry, from, to) && s.calmFrom(s.proxies[server.ID()], from, to)
		}
		broken, asked, most := server.BrokenPauses(calm)
		if asked > 0 {
			GinkgoWriter.Printf("%s asked for %d pauses and got %d requests in the worst\n", server.ID(), asked, most)
		}
		for _, pause := range broken {
			s.problems = append(s.problems, pause.String())
		}
		for _, late := range server.LateAfterAnnouncement(announcedKnown, calm) {
			s.problems = append(s.problems, fmt.Sprintf("%s reached %s %v after this had said that it is leaving", late.Request, late.Server, late.After))
		}
	}
	for _, entry := range s.entries {
		if peak := entry.peakMemory(); peak >= smallestMachine {
			s.problems = append(s.problems, fmt.Sprintf("%s took %d MB", entry.name, peak))
		}
	}
}
