package turn

import (
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	link "github.com/skylarkpond/skylarkpond/link/leader"
)

// This file tells the leader how requests at plain servers end, and asks it for turns at all of them while one rejects more than the others (see
// policy/plain).

// plainShare is what this entry shares with the leader about plain servers. Remote.mu guards it.
type plainShare struct {
	// enabled does not change after the start.
	enabled bool
	// services are those for which the leader is asked.
	services map[string]bool
	// ends counts the requests that have ended since they were last reported, at reportedAt.
	ends       map[backend.ID]*link.PlainEnds
	reportedAt time.Time
}

// endsInterval is the shortest time between two reports. An entry with few requests reports each at once.
const endsInterval = 100 * time.Millisecond

// JoinPlain makes this entry tell the leader how requests at plain servers end, and ask it for turns where the leader wants that. Without a leader that
// grants turns, this entry chooses. It must be called before the first request.
func (r *Remote) JoinPlain() { r.plain.enabled = true }

// SetPlainServices sets the services for which the leader wants to be asked.
func (r *Remote) SetPlainServices(services []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.plain.services = make(map[string]bool, len(services))
	for _, service := range services {
		r.plain.services[service] = true
	}
}

func (r *Remote) leaderChooses(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.plain.enabled && r.plain.services[service]
}

// reportEnd makes the leader hear of the end of a turn that this entry granted; t may be nil.
func (r *Remote) reportEnd(t *Turn) {
	if t == nil || !r.plain.enabled {
		return
	}
	id, done := t.Server.ID, t.Done
	t.Done = func(result Result) {
		done(result)
		unsent := result.Unsent || result.Unreachable
		r.noteEnd(id, !unsent && !result.Rejected && !result.Failed && !result.Stalled, result.Rejected && !unsent)
	}
}

func (r *Remote) noteEnd(server backend.ID, answered, rejected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.send == nil || !answered && !rejected {
		return
	}
	if r.plain.ends == nil {
		r.plain.ends = make(map[backend.ID]*link.PlainEnds)
	}
	ends := r.plain.ends[server]
	if ends == nil {
		ends = &link.PlainEnds{Server: server}
		r.plain.ends[server] = ends
	}
	if rejected {
		ends.Rejected++
	} else {
		ends.Answered++
	}
	if time.Since(r.plain.reportedAt) < endsInterval {
		return
	}
	report := make([]link.PlainEnds, 0, len(r.plain.ends))
	for _, ends := range r.plain.ends {
		report = append(report, *ends)
	}
	r.plain.ends, r.plain.reportedAt = nil, time.Now()
	r.send(link.Up{PlainEnds: report})
}
