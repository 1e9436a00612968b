// Package standing keeps what this entry (gateway process) knows of each backend server that decides whether it may be sent requests, and how many a
// second. How the states are joined is decided by policy/standing.
package standing

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/domain"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	policy "github.com/skylarkpond/skylarkpond/policy/standing"
)

// Deps holds the dependencies of a Tracker.
type Deps struct {
	// Table returns the configuration in force, or nil before the first one is known.
	Table   func() *route.Table
	Listing func() *backend.Listing
	// ColdBegan is called when a server is found to be cold, ColdEnded when it is not any more, or gone.
	ColdBegan func(cold Cold)
	ColdEnded func(server backend.ID)
	// EvacuationBegan and EvacuationEnded are called with the number of known servers of the failure domain.
	EvacuationBegan func(failureDomain domain.FailureDomain, servers int)
	EvacuationEnded func(failureDomain domain.FailureDomain, servers int, lasted time.Duration)
	// Invalid is called with the first time of each server that can't be read. Registrations don't tell the text.
	Invalid func(server backend.ID, text string)
}

// Source says how a server was found to be cold.
type Source string

// Sources.
const (
	Registered Source = "registration"
	Answered   Source = "answer"
)

// Cold is a server that is cold, and for how much longer.
type Cold struct {
	Server    *backend.Server
	For       time.Duration
	PerSecond float64
	Source    Source
}

// Tracker is safe for concurrent use.
type Tracker struct {
	deps    Deps
	started time.Time

	mu sync.Mutex // guards what follows; a leaf lock
	// servers holds those of which anything is known.
	servers map[backend.ID]*state
	// evacuated holds the evacuated failure domains with the time from which this entry has known it. returned holds those that were taken back
	// recently, with that time.
	evacuated, returned map[domain.FailureDomain]time.Duration
	// evacuatedServers holds the failure domains of the servers that were listed there during the evacuation: a registration may lapse, and the server
	// still be asked whether it serves its group.
	evacuatedServers map[backend.ID]domain.FailureDomain
	// knowsEvacuations is set once SetEvacuated has been called.
	knowsEvacuations bool
	// invalid holds the servers that have stated a time that can't be read.
	invalid map[backend.ID]bool
}

// state is what is known of one process of a server.
type state struct {
	// process is the start of the process, in Unix milliseconds; 0 if unknown.
	process int64
	// revision is that of the registration by which registeredCold was set.
	revision uint64
	// registeredCold and answeredCold are the times until which the server is cold by its registration and by its answers.
	registeredCold, answeredCold time.Duration
	// unreachableUntil is the time until which connections to the server are taken to fail.
	unreachableUntil time.Duration
	// reported is set while the server was reported as cold.
	reported bool
}

// New returns a Tracker that knows nothing.
func New(deps Deps) *Tracker {
	return &Tracker{
		deps: deps, started: time.Now(), servers: make(map[backend.ID]*state), invalid: make(map[backend.ID]bool),
		evacuated: make(map[domain.FailureDomain]time.Duration), returned: make(map[domain.FailureDomain]time.Duration),
		evacuatedServers: make(map[backend.ID]domain.FailureDomain),
	}
}

func (t *Tracker) now() time.Duration { return time.Since(t.started) }

// Of returns the standing of a server now.
func (t *Tracker) Of(server *backend.Server) policy.Standing {
	service := t.service(server)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.facts(server, service).At(t.now())
}

// Blocked reports whether a server may be sent nothing.
func (t *Tracker) Blocked(server *backend.Server) bool { return t.Of(server).Blocked }

// Limited reports whether the requests a second to a server are limited, so that only the leader may grant them.
func (t *Tracker) Limited(server *backend.Server) bool { return t.Of(server).Limited() }

// service returns the service of a server, or one without limits if it is not known.
func (t *Tracker) service(server *backend.Server) route.Service {
	if table := t.deps.Table(); table != nil {
		return table.Services[server.Service]
	}
	return route.Service{}
}

// facts must be called with t.mu held.
func (t *Tracker) facts(server *backend.Server, service route.Service) policy.Facts {
	facts := policy.Facts{Evacuated: t.isEvacuated(server)}
	known := t.of(server.ID, server.StartedAtMillis)
	if server.ColdFor != 0 && service.ColdPerSecond > 0 && (known == nil || known.revision < server.Revision) {
		known = t.register(server, service)
	}
	if known != nil {
		facts.Unreachable = t.now() < known.unreachableUntil
		facts.ColdUntil = max(known.registeredCold, known.answeredCold)
	}
	facts.ColdPerSecond = service.ColdPerSecond
	if at, ok := t.returned[server.FailureDomain]; ok {
		facts.ColdUntil = max(facts.ColdUntil, at+service.ColdTime)
	}
	return facts
}

// of returns what is known of a process of a server, or nil. What is known of an earlier process doesn't bind a later one. It must be called with
// t.mu held.
func (t *Tracker) of(id backend.ID, process int64) *state {
	known := t.servers[id]
	if known == nil || known.process != 0 && process != 0 && known.process < process {
		return nil
	}
	return known
}

// stateOf returns what is known of a process of a server, and begins to keep it if nothing is. It must be called with t.mu held.
func (t *Tracker) stateOf(id backend.ID, process int64) *state {
	known := t.of(id, process)
	if known == nil {
		known = &state{process: process}
		t.servers[id] = known
	}
	return known
}

// register applies a registration. The time counts from now, though the registration was written earlier: the server then counts as cold for too long
// rather than too short a time. It must be called with t.mu held.
func (t *Tracker) register(server *backend.Server, service route.Service) *state {
	known := t.stateOf(server.ID, server.StartedAtMillis)
	known.revision = server.Revision
	cold := server.ColdFor
	if cold == backend.ColdUnknown {
		cold = service.ColdTime
	}
	known.registeredCold = 0
	if cold > 0 {
		known.registeredCold = t.now() + cold
	}
	return known
}

// Observe applies the registrations of all listed servers. It is called after each change of them.
func (t *Tracker) Observe() {
	table, listing := t.deps.Table(), t.deps.Listing()
	t.noteEvacuated(listing)
	if table == nil {
		return
	}
	var began []Cold
	var unreadable []backend.ID
	t.mu.Lock()
	for name, service := range table.Services {
		if service.ColdPerSecond <= 0 {
			continue
		}
		for _, server := range listing.ByService[name] {
			known := t.of(server.ID, server.StartedAtMillis)
			if server.ColdFor == 0 && known == nil {
				continue
			}
			if server.ColdFor == backend.ColdUnknown && !t.invalid[server.ID] {
				t.invalid[server.ID] = true
				unreadable = append(unreadable, server.ID)
			}
			if known == nil || known.revision < server.Revision {
				known = t.register(server, service)
			}
			began = t.appendBegan(began, server, known, service, Registered)
		}
	}
	t.mu.Unlock()
	for _, id := range unreadable {
		t.deps.Invalid(id, "")
	}
	t.reportBegan(began)
}

// appendBegan appends a server that has not been reported as cold yet. It must be called with t.mu held.
func (t *Tracker) appendBegan(began []Cold, server *backend.Server, known *state, service route.Service, source Source) []Cold {
	left := max(known.registeredCold, known.answeredCold) - t.now()
	if left <= 0 || known.reported {
		return began
	}
	known.reported = true
	return append(began, Cold{Server: server, For: left, PerSecond: service.ColdPerSecond, Source: source})
}

func (t *Tracker) reportBegan(began []Cold) {
	for _, cold := range began {
		t.deps.ColdBegan(cold)
	}
}

// minExtension is how much longer a server must be cold than known until other entries are told: each of its answers says it again, a little later.
const minExtension = 300 * time.Millisecond

// Hear applies what an answer of a server says, or another entry has heard, and reports whether that is new, so that others need to be told.
func (t *Tracker) Hear(cold link.Cold) bool {
	listed := t.deps.Listing().Servers[cold.Server]
	if listed == nil || cold.Process != 0 && listed.StartedAtMillis > cold.Process {
		return false
	}
	service := t.service(listed)
	if service.ColdPerSecond <= 0 || cold.Ms <= 0 {
		return false
	}
	var began []Cold
	t.mu.Lock()
	known := t.stateOf(cold.Server, max(listed.StartedAtMillis, cold.Process)) // the list may not have the latest process yet
	until := t.now() + time.Duration(cold.Ms)*time.Millisecond
	isNew := until > max(known.registeredCold, known.answeredCold)+minExtension
	if isNew {
		known.answeredCold = until
		began = t.appendBegan(began, listed, known, service, Answered)
	}
	t.mu.Unlock()
	t.reportBegan(began)
	return isNew
}

// NoteInvalid reports the first time of a server that can't be read.
func (t *Tracker) NoteInvalid(server backend.ID, text string) {
	t.mu.Lock()
	first := !t.invalid[server]
	t.invalid[server] = true
	t.mu.Unlock()
	if first {
		t.deps.Invalid(server, text)
	}
}

// Heard returns the servers that are cold as their answers have told, for the next leader.
func (t *Tracker) Heard() []link.Cold {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var all []link.Cold
	for _, id := range slices.Sorted(maps.Keys(t.servers)) {
		if known := t.servers[id]; known.answeredCold > now {
			all = append(all, link.Cold{Server: id, Process: known.process, Ms: (known.answeredCold - now).Milliseconds() + 1})
		}
	}
	return all
}

// unreachableTime is how long a server is taken to be unreachable after the last evidence. It exceeds the time for which the registration of a server
// that is gone remains (3.6 s), and ends the state of one that no probe has been sent to.
const unreachableTime = 5 * time.Second

// SetUnreachable records whether connections to a server fail.
func (t *Tracker) SetUnreachable(server *backend.Server, unreachable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch known := t.of(server.ID, server.StartedAtMillis); {
	case unreachable:
		t.stateOf(server.ID, server.StartedAtMillis).unreachableUntil = t.now() + unreachableTime
	case known != nil:
		known.unreachableUntil = 0
	}
}

// Sweep forgets what has ended, and reports the servers that are not cold any more.
func (t *Tracker) Sweep() {
	listing, table := t.deps.Listing(), t.deps.Table()
	var ended []backend.ID
	t.mu.Lock()
	now := t.now()
	for id, known := range t.servers {
		listed := listing.Servers[id]
		replaced := listed == nil || t.of(id, listed.StartedAtMillis) == nil
		cold := now < max(known.registeredCold, known.answeredCold)
		if known.reported && (replaced || !cold) {
			known.reported = false
			ended = append(ended, id)
		}
		if replaced {
			delete(t.servers, id)
		}
	}
	for id := range t.invalid {
		if listing.Servers[id] == nil {
			delete(t.invalid, id)
		}
	}
	for name, at := range t.returned {
		if now-at > longestColdTime(table) {
			delete(t.returned, name)
		}
	}
	t.mu.Unlock()
	for _, id := range ended {
		t.deps.ColdEnded(id)
	}
}

func longestColdTime(table *route.Table) (longest time.Duration) {
	if table == nil {
		return 0
	}
	for _, service := range table.Services {
		longest = max(longest, service.ColdTime)
	}
	return longest
}

// Counts returns how many servers are cold, and how many listed ones are in evacuated failure domains.
func (t *Tracker) Counts() (cold, evacuated int) {
	for _, server := range t.deps.Listing().Servers {
		switch standing := t.Of(server); {
		case standing.Reason == policy.Cold:
			cold++
		case standing.Reason == policy.Evacuated:
			evacuated++
		}
	}
	return cold, evacuated
}
