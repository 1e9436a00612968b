// Package plain chooses the server of a plain service, one without a model engine, for a request. An entry is one proxy process that callers connect
// to.
//
// Load pattern: hundreds of entries send few requests a second each to four to seven servers that answer within 30 to 60 ms, far below what these
// can take. For some seconds, one of the servers rejects many of its requests, within a millisecond. Most entries send nothing between two such times.
// At other times all servers reject the same share of their requests.
//
// When each entry chose by its own requests in progress and by loads stated in answers, a rejecting server, which has nothing in progress, got its full
// share of all requests for as long as it rejected: one of seven servers rejects a seventh of all arrivals. An entry that remembers its own rejections
// changes little, because each entry has to be rejected by itself.
//
// Therefore one place hears how the requests of all entries ended (figures: docs/design/request-cost.md). A server that rejects a clearly larger share
// than the others is set apart: while there is one, requests are granted in one place, the server gets single ones until it has accepted
// several in a row, and the others are chosen by the requests in progress. As long as all servers reject alike, none is set apart, and entries choose by
// themselves as if nothing were known: no choice would mend it.
//
// Times are durations since an arbitrary fixed moment.
package plain

import (
	"math"
	"time"
)

const (
	// minDifference is by how much the share of rejected requests of a server that is set apart exceeds that of the others. Below it, setting the server
	// apart gains less than the messages to one place cost.
	minDifference = 0.1
	// minErrors is by how many standard errors it does. Dozens of answers are judged each second: in trials in which all servers rejected 15%, a
	// server was set apart by chance for 10% of the requests with two standard errors, and never within six minutes with three or four.
	minErrors = 4
	// minOthers is the number of answers of the other servers from which on they are a measure.
	minOthers = 10
	// minRejections is the number of rejections without which no server is set apart, however few answers are known of the others.
	minRejections = 4
	// firstProbeInterval and maxProbeInterval bound the time from a rejection to the next request to a server that is set apart. The time doubles with each
	// rejection.
	firstProbeInterval, maxProbeInterval = time.Second, 4 * time.Second
	// acceptedProbeInterval is the time after an accepted one, and acceptedProbes how many in a row end the separation.
	acceptedProbeInterval = 200 * time.Millisecond
	acceptedProbes        = 5
	// apartScore makes a server that is set apart score like one with this many times the requests that it can run at once.
	apartScore = 4
)

// Pool is what is known of the servers of a service. It is not safe for concurrent use.
type Pool struct {
	servers map[string]*member
}

type member struct {
	record Record
	apart  bool
	// probeAt is when a server that is set apart may get a request, interval the time after a rejection, and accepted the accepted requests in a row.
	probeAt, interval time.Duration
	accepted          int
}

// NewPool returns a Pool without servers.
func NewPool() *Pool { return &Pool{servers: make(map[string]*member)} }

// SetServers replaces the servers of the service.
func (p *Pool) SetServers(servers map[string]bool) {
	for server := range p.servers {
		if !servers[server] {
			delete(p.servers, server)
		}
	}
	for server := range servers {
		if p.servers[server] == nil {
			p.servers[server] = &member{}
		}
	}
}

// Apart reports whether a server is set apart.
func (p *Pool) Apart(server string) bool {
	m := p.servers[server]
	return m != nil && m.apart
}

// Joined reports whether any server is set apart, so that requests are to be granted in one place.
func (p *Pool) Joined() bool {
	for _, m := range p.servers {
		if m.apart {
			return true
		}
	}
	return false
}

// Note records that a server has answered some requests, and has rejected others without running them. Unknown servers are ignored.
func (p *Pool) Note(now time.Duration, server string, answered, rejected int) {
	m := p.servers[server]
	if m == nil || answered < 0 || rejected < 0 || answered+rejected == 0 {
		return
	}
	m.record.Note(now, answered, rejected)
	if m.apart {
		m.noteApart(now, answered, rejected)
	} else if rejected > 0 && len(p.servers) > 1 && p.standsOut(now, server) {
		// What the server answered before it began to reject counts no longer.
		*m = member{apart: true, interval: firstProbeInterval, probeAt: now + firstProbeInterval}
		m.record.Note(now, 0, minRejections)
	}
	if rejected > 0 {
		p.endAlike(now)
	}
}

func (m *member) noteApart(now time.Duration, answered, rejected int) {
	if rejected > 0 {
		m.accepted = 0
		m.probeAt = now + m.interval
		m.interval = min(2*m.interval, maxProbeInterval)
		return
	}
	m.probeAt = now + acceptedProbeInterval
	if m.accepted += answered; m.accepted >= acceptedProbes {
		*m = member{}
	}
}

// others returns the rejected and all answers of the servers but one, as far as none of these is set apart.
func (p *Pool) others(now time.Duration, server string) (rejected, all float64) {
	for other, m := range p.servers {
		if other != server && !m.apart {
			r, a := m.record.Weights(now)
			rejected, all = rejected+r, all+a
		}
	}
	return rejected, all
}

// standsOut reports whether a server rejects a clearly larger share than the others.
func (p *Pool) standsOut(now time.Duration, server string) bool {
	rejected, all := p.servers[server].record.Weights(now)
	othersRejected, others := p.others(now, server)
	if others < minOthers || rejected < minRejections {
		return false
	}
	pooled := (rejected + othersRejected) / (all + others)
	deviation := math.Sqrt(pooled * (1 - pooled) * (1/all + 1/others))
	return rejected/all-othersRejected/others > max(minDifference, minErrors*deviation)
}

// endAlike ends the separation of servers that the others have become like.
func (p *Pool) endAlike(now time.Duration) {
	for server, m := range p.servers {
		if !m.apart {
			continue
		}
		rejected, all := m.record.Weights(now)
		othersRejected, others := p.others(now, server)
		if others >= minOthers && rejected/all-othersRejected/others < minDifference {
			*m = member{}
		}
	}
}

// Score rates a server for one more request, the lower the better. running is the number of its requests in progress, slots how many it runs at once. A
// request that was rejected once is no probe.
func (p *Pool) Score(now time.Duration, server string, running, slots int, repeated bool) float64 {
	score := float64(running) / float64(max(1, slots))
	m := p.servers[server]
	switch {
	case m == nil || !m.apart:
		return score
	case now >= m.probeAt && !repeated:
		return -1
	}
	return score + apartScore
}

// Granted records that a request is sent to a server.
func (p *Pool) Granted(now time.Duration, server string) {
	if m := p.servers[server]; m != nil && m.apart && now >= m.probeAt {
		m.probeAt = now + m.interval // unless its end tells sooner
	}
}
