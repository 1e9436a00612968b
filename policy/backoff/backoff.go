// Package backoff decides when a server that rejects requests and asks for a pause may be sent requests again.
//
// Load pattern: a server sheds load for some seconds. It rejects requests within a millisecond, so it looks like the least loaded one: of twelve
// groups four that shed took half of all requests. Each rejection asks the client that sent the request to pause, so what one client was told does
// not bind the others, but a server that has rejected two clients in a row mostly rejects all. Of hundreds of clients each would lose a request to
// find that out, and once the pauses end, all would come back in the same moment.
//
// Therefore a client that was asked to pause sends nothing until the longest of its pauses has ended. A server that has rejected several clients
// without accepting a request since gets one request at a time from the others, at growing intervals. After a pause, one request at a time is
// sent until the server has accepted one.
//
// Times are durations since an arbitrary fixed moment.
package backoff

import "time"

const (
	// sheddingClients is how many clients must have been rejected in a row until the server counts as rejecting all.
	sheddingClients = 2
	// firstProbeDelay is the time until the next request after that; it doubles with each further client that is rejected.
	firstProbeDelay = 100 * time.Millisecond
	// maxProbeDoublings bounds the delay to less than the pause that most servers ask for.
	maxProbeDoublings = 5
	// probeTimeout is how long a single request may be without a result until another one is sent.
	probeTimeout = time.Second
	// retention is how long what is known of a server is kept after the last pause has ended.
	retention = 30 * time.Second
)

// Server is what is known of one server. The zero value is one that has asked for nothing. It is not safe for concurrent use.
type Server struct {
	// pauses holds the end of the pause of each client. Ended pauses remain until the server has accepted a request.
	pauses map[string]time.Duration
	// rejected counts the clients that were rejected since a request was last accepted, the first of them at since.
	rejected int
	since    time.Duration
	// nextProbe is the earliest time of the next request of a client without a pause, while the server counts as rejecting all.
	nextProbe time.Duration
	// probe identifies the single request whose result is awaited until probeEnds; empty for none.
	probe     string
	probeEnds time.Duration
	lastEnd   time.Duration
}

// Reject records that the server has rejected a request of a client and asked it to pause. Pauses don't replace each other: the longest counts.
func (s *Server) Reject(now time.Duration, client string, pause time.Duration) {
	if s.pauses == nil {
		s.pauses = make(map[string]time.Duration)
	}
	if s.rejected == 0 {
		s.since = now
	}
	if now >= s.pauses[client] { // other requests of a client that pauses say nothing new
		s.rejected++
		if n := s.rejected - sheddingClients; n >= 0 {
			s.nextProbe = now + min(pause, firstProbeDelay<<min(n, maxProbeDoublings))
		}
	}
	s.pauses[client] = max(s.pauses[client], now+pause)
	s.lastEnd = max(s.lastEnd, s.pauses[client])
}

// Break records that the server fails all requests: from now on it gets one at a time, at growing intervals, until it has accepted one.
func (s *Server) Break(now time.Duration) {
	if s.rejected == 0 {
		s.since = now
	}
	s.rejected = max(s.rejected+1, sheddingClients)
	s.nextProbe = now + firstProbeDelay<<min(s.rejected-sheddingClients, maxProbeDoublings)
	s.lastEnd = max(s.lastEnd, s.nextProbe)
}

// Accept records that the server has accepted a request that was permitted at sentAt. Pauses that have not ended remain. A request that was under way
// when the server began to reject others says nothing.
func (s *Server) Accept(now, sentAt time.Duration) {
	if s.rejected > 0 && sentAt < s.since {
		return
	}
	for client, end := range s.pauses {
		if end <= now {
			delete(s.pauses, client)
		}
	}
	s.rejected, s.probe = 0, ""
}

// Watched reports whether it matters that the server accepts a request.
func (s *Server) Watched() bool { return s.rejected > 0 || len(s.pauses) > 0 }

// Blocked returns the earliest time at which a client may send the server a request; now if it may at once. A request whose result is awaited is
// not considered: it mostly ends within milliseconds.
func (s *Server) Blocked(now time.Duration, client string) time.Duration {
	end, paused := s.pauses[client]
	if !paused && s.Shedding() {
		end = s.nextProbe
	}
	return max(now, end)
}

// Paused returns the end of the pause that the server has asked a client for; now if there is none.
func (s *Server) Paused(now time.Duration, client string) time.Duration {
	return max(now, s.pauses[client])
}

// Shedding reports whether the server counts as rejecting all clients.
func (s *Server) Shedding() bool { return s.rejected >= sheddingClients }

// SheddingFor returns how long the server has been rejecting all clients.
func (s *Server) SheddingFor(now time.Duration) time.Duration {
	if !s.Shedding() {
		return 0
	}
	return now - s.since
}

// Allows reports whether a client may send a request now, and whether that is a probe: a single request whose result is awaited.
func (s *Server) Allows(now time.Duration, client string) (allowed, probe bool) {
	if s.Blocked(now, client) > now {
		return false, false
	}
	if _, paused := s.pauses[client]; !paused && !s.Shedding() {
		return true, false
	}
	return s.probe == "" || now >= s.probeEnds, true
}

// Probe records that a probe is sent, which key identifies.
func (s *Server) Probe(now time.Duration, key string) { s.probe, s.probeEnds = key, now+probeTimeout }

// EndProbe records that a probe has ended without being accepted. It does nothing if another one has been sent since.
func (s *Server) EndProbe(key string) {
	if s.probe == key {
		s.probe = ""
	}
}

// Pauses calls each with the pauses that have not ended.
func (s *Server) Pauses(now time.Duration, each func(client string, left time.Duration)) {
	for client, end := range s.pauses {
		if end > now {
			each(client, end-now)
		}
	}
}

// Expired reports whether nothing that is known of the server matters any more.
func (s *Server) Expired(now time.Duration) bool { return now > s.lastEnd+retention }
