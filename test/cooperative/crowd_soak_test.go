package cooperative

import (
	"time"

	"github.com/skylarkpond/skylarkpond/internal/crowd"
	"github.com/skylarkpond/skylarkpond/platform"
)

// soakMemoryMB is the default of the memory setting of an entry.
const soakMemoryMB = 206

// crowdPlays are what the clients of a crowd send.
var crowdPlays = []crowd.Play{
	post(crowd.Body{Announced: legalBody, Sent: legalBody, Whole: true}),
	post(crowd.Body{Announced: legalBody, Sent: legalBody - 1}),
	post(crowd.Body{Announced: legalBody, Sent: legalBody - 1, Piece: 64 << 10, Pause: 50 * time.Millisecond}),
	post(chunksOf(64<<10, 15, 0)),
	post(chunksOf(1, 100_000, 0)),
	post(crowd.Body{Announced: 1 << 30, Sent: 16 << 20}),
	post(chunksOf(64<<10, 64, 0)),
	crowd.Silent,
	crowd.Text("POST /chat/x HTTP/1.1\r\nHost: h.example\r\n"),
	crowd.Post("GET "+platform.PathReady+" HTTP/1.1\r\nHost: h.example\r\n", crowd.Body{Announced: legalBody, Sent: legalBody - 1}),
}

// mostInCrowd is the most clients of one crowd.
const mostInCrowd = 150

// crowdLane brings one crowd of clients that don't behave after the other to any entries, also to those with another trouble. It draws from a source of
// its own, so that the other troubles stay those of the seed.
func (s *soak) crowdLane() {
	some := func(least, most int) time.Duration {
		return time.Duration(least+s.crowdRandom.IntN(most-least)) * time.Millisecond
	}
	for time.Now().Before(s.ends) {
		time.Sleep(some(200, 2000))
		entry := s.entries[s.crowdRandom.IntN(len(s.entries))]
		address := entry.callers
		if s.crowdRandom.IntN(5) == 0 {
			address = []string{entry.ready, entry.directory, entry.metrics}[s.crowdRandom.IntN(3)]
		}
		drawn, clients := s.crowdRandom.IntN(len(crowdPlays)), 1+s.crowdRandom.IntN(mostInCrowd)
		s.note("crowd of %d clients at %s, play %d", clients, address, drawn)
		open := crowd.Open
		if s.crowdRandom.IntN(3) == 0 {
			open = crowd.OpenAgain
		}
		clientsOpen := open(clients, address, crowdPlays[drawn])
		time.Sleep(some(200, 3000))
		clientsOpen.Close()
		s.note("crowd at %s is over", address)
	}
}

// watchMemory notes an entry that exceeds its memory.
func (s *soak) watchMemory(entry *gatewayProcess, number int) {
	for time.Now().Before(s.ends) {
		time.Sleep(100 * time.Millisecond)
		life := entry.lifeNumber()
		usage, err := crowd.Measure(entry.process().Pid, s.subnet.IP(number+1), platformPort)
		if err != nil || life != entry.lifeNumber() {
			continue // it was killed meanwhile
		}
		if usage.Memory() > soakMemoryMB<<20 {
			s.problem("%s exceeds its memory: %s", entry.name, usage)
		}
	}
}
