// Package suspects keeps requests that crash the servers that run them from being run on one server after the other.
//
// Each entry (gateway process) reports to the leader, the entry that coordinates all entries, which requests ran on a server when it crashed,
// described by their traits: their content and the parts of their prompts. The leader finds out over all entries what the requests that crash
// servers have in common (see policy/suspicion), and tells all of them, which refuse such requests at once. Without this, requests that share one
// part of their prompts would crash one server after the other, and with them the requests that each was running.
//
// A server that fails some of its requests also resets connections. A crash differs in that the server's process is gone. A request that finishes
// on any server clears its traits.
//
// An entry that has no link to the leader keeps to what it was told last, and to what its own crashes suggest.
package suspects

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/internal/recent"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	"github.com/skylarkpond/skylarkpond/policy/suspicion"
)

// Deps holds the dependencies of a Watch.
type Deps struct {
	// Probe finds out whether a server's process still runs.
	Probe func(ctx context.Context, server *backend.Server) Liveness
	// SendToLeader sends a message to the leader, if there is one.
	SendToLeader func(message link.Up)
	// Linked reports whether this entry hears from the leader.
	Linked func() bool
	// Isolated reports whether this entry has lost its connections to all servers of a service, so that it can't tell whether one has crashed.
	Isolated func(service string) bool
	// Checked is called with the result of each check of a server.
	Checked func(check Check)
}

// Request is a request of a caller.
type Request struct {
	// ID is the caller's id of the request.
	ID      string
	Service string
	// Traits is what it may have in common with other requests; see Traits.
	Traits []string
}

// Traits returns the traits of a request, given the fingerprint of its content and the IDs of the parts of its prompt.
func Traits(fingerprint string, parts []string) []string {
	traits := make([]string, 0, len(parts)+1)
	traits = append(traits, "request "+strconv.FormatUint(contract.ShortFingerprint(fingerprint), 16))
	for _, part := range parts {
		if trait := "part " + part; !slices.Contains(traits, trait) {
			traits = append(traits, trait)
		}
	}
	return traits
}

// Hold describes why a request is held back.
type Hold struct {
	// Traits are those that stand out among the requests that crashed servers.
	Traits []string
	// Crashes is the number of crashes that stand against them.
	Crashes int
}

const (
	// trialValidity is how long after the leader has granted a trial a request may use it.
	trialValidity = 5 * time.Second
	// finishedReportInterval is the shortest interval between reports that requests with a trait finish.
	finishedReportInterval = time.Second
	// finishedPeriod is the minimum time for which a finished trait is remembered, and maxFinished bounds the traits of one such period.
	finishedPeriod = 30 * time.Second
	maxFinished    = 8192
)

// trait identifies a trait of the requests of a service.
type trait struct{ service, name string }

func traitOf(service, name string) trait { return trait{service, name} }

// Watch tracks which requests crash servers, and those that are held back. It is safe for concurrent use.
type Watch struct {
	deps    Deps
	started time.Time

	mu       sync.Mutex // guards what follows; a leaf lock
	services map[string]*service
	finished *recent.Times[trait]
	checks   map[incarnation]*check
	// reports holds the crashes that this entry has reported, oldest first.
	reports []report
}

// service is what is known about the requests of one service.
type service struct {
	// told is what the leader held back and suspected when it last told, at toldAt. rules are its rules. Until a leader has told anything,
	// they are those that were read from the platform.
	told         link.Holds
	toldAt       time.Time
	toldByLeader bool
	rules        []suspicion.Rule
	// suspects are the traits of which the leader wants to know whether requests finish, with the time of the last report of each.
	suspects map[string]time.Time
	// trials holds the rules of which one request may be sent, by key, with the time until which it may.
	trials map[string]time.Time
	// own is the evidence that this entry has itself.
	own *suspicion.Ledger
}

// New returns a Watch with nothing held back.
func New(deps Deps) *Watch {
	return &Watch{
		deps: deps, started: time.Now(), services: make(map[string]*service), finished: recent.New[trait](finishedPeriod, maxFinished), checks: make(map[incarnation]*check),
	}
}

func (w *Watch) now() time.Duration { return time.Since(w.started) }

// service must be called with w.mu held.
func (w *Watch) service(name string) *service {
	s := w.services[name]
	if s == nil {
		s = &service{told: link.Holds{Service: name}, trials: make(map[string]time.Time), own: suspicion.New()}
		w.services[name] = s
	}
	return s
}

// Held reports whether a request must not be sent to any server, and why.
func (w *Watch) Held(request Request) (Hold, bool) {
	linked := w.deps.Linked()
	w.mu.Lock()
	defer w.mu.Unlock()
	rules := w.matching(request, linked)
	if len(rules) == 0 {
		return Hold{}, false
	}
	return Hold{Traits: rules[0].Traits, Crashes: rules[0].Crashes}, true
}

// TakeTrial reports whether a request that is held may be sent all the same, to find out whether its traits still crash servers. The permission is
// used up by it.
func (w *Watch) TakeTrial(request Request) bool {
	linked := w.deps.Linked()
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.service(request.Service)
	rules := w.matching(request, linked)
	for _, rule := range rules {
		if time.Now().After(s.trials[rule.Key()]) {
			return false
		}
	}
	for _, rule := range rules {
		delete(s.trials, rule.Key())
	}
	return len(rules) > 0
}

// matching returns the rules that hold a request back. The caller holds the lock.
func (w *Watch) matching(request Request, linked bool) []suspicion.Rule {
	s := w.services[request.Service]
	if s == nil {
		return nil
	}
	rules := s.rules
	if !linked {
		rules = slices.Concat(rules, s.own.Rules(w.now()))
	}
	var matching []suspicion.Rule
	for _, rule := range rules {
		if rule.Matches(request.Traits) {
			matching = append(matching, rule)
		}
	}
	return matching
}

// Suspected reports whether a request has a trait that was in progress at several crashes and with which, as far as this entry remembers, no
// request has finished. Such a request is not worth a second server.
func (w *Watch) Suspected(request Request) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.services[request.Service]
	if s == nil {
		return false
	}
	return slices.ContainsFunc(request.Traits, func(trait string) bool {
		if _, suspected := s.suspects[trait]; !suspected {
			return false
		}
		_, finished := w.finished.Last(traitOf(request.Service, trait))
		return !finished
	})
}

// ApplyHolds sets what is held back and suspected as the leader tells, and reports to it which of these traits have finished.
func (w *Watch) ApplyHolds(holds link.Holds) {
	for _, message := range w.apply(holds) {
		w.deps.SendToLeader(message)
	}
}

func (w *Watch) apply(holds link.Holds) []link.Up {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.service(holds.Service)
	s.toldByLeader = true
	s.set(holds)
	suspects := make(map[string]time.Time, len(holds.Suspects))
	var messages []link.Up
	for _, trait := range holds.Suspects {
		reported, known := s.suspects[trait]
		suspects[trait] = reported
		if at, finished := w.finished.Last(traitOf(holds.Service, trait)); finished && !known {
			suspects[trait] = time.Now()
			messages = append(messages, finishedMessage(holds.Service, trait, time.Since(at)))
		}
	}
	s.suspects = suspects
	return messages
}

// set replaces what is held back.
func (s *service) set(holds link.Holds) {
	s.told, s.toldAt, s.rules = holds, time.Now(), nil
	for _, rule := range holds.Rules {
		if len(rule.Traits) > 0 {
			s.rules = append(s.rules, suspicion.Rule{Traits: rule.Traits, Crashes: rule.Crashes})
		}
	}
}

func finishedMessage(service, trait string, ago time.Duration) link.Up {
	return link.Up{Finished: &link.Finished{Service: service, Trait: trait, AgoMs: ago.Milliseconds()}}
}

// AllowTrial permits one request that a rule holds back.
func (w *Watch) AllowTrial(trial link.Trial) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rule := suspicion.Rule{Traits: trial.Traits}
	w.service(trial.Service).trials[rule.Key()] = time.Now().Add(trialValidity)
}

// Finished records that a server answered a request in full. The leader is told if it suspects one of the request's traits.
func (w *Watch) Finished(request Request) {
	for _, message := range w.recordFinished(request) {
		w.deps.SendToLeader(message)
	}
}

func (w *Watch) recordFinished(request Request) []link.Up {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.service(request.Service)
	var messages []link.Up
	for _, trait := range request.Traits {
		w.finished.Note(traitOf(request.Service, trait), now)
		s.own.RecordFinish(w.now(), w.now(), trait)
		if reported, suspected := s.suspects[trait]; suspected && now.Sub(reported) >= finishedReportInterval {
			s.suspects[trait] = now
			messages = append(messages, finishedMessage(request.Service, trait, 0))
		}
	}
	return messages
}

// Holds returns what the leader holds back, for the next leader.
func (w *Watch) Holds() []link.Holds {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []link.Holds
	for name, s := range w.services {
		if len(s.told.Rules) == 0 {
			continue
		}
		holds := link.Holds{Service: name}
		for _, rule := range s.told.Rules {
			rule.AgeMs += time.Since(s.toldAt).Milliseconds()
			holds.Rules = append(holds.Rules, rule)
		}
		all = append(all, holds)
	}
	return all
}

// RuleCount returns the number of rules by which the leader holds requests back.
func (w *Watch) RuleCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, s := range w.services {
		count += len(s.rules)
	}
	return count
}
