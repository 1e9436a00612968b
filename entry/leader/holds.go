package leader

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/skylarkpond/skylarkpond/entry/suspects"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	"github.com/skylarkpond/skylarkpond/policy/suspicion"
)

// suspectsInterval is the shortest interval between broadcasts of a service's suspects alone. Changes of what is held back are broadcast at the
// next tick.
const suspectsInterval = 200 * time.Millisecond

// holdTracker records, for each service, what the requests that crashed servers have in common. It is guarded by the leader's mutex.
type holdTracker struct {
	services map[string]*serviceHolds
}

// serviceHolds is the evidence about the requests of one service, and what the followers were last told.
type serviceHolds struct {
	ledger *suspicion.Ledger
	// changed is set while there is evidence that the last broadcast does not reflect.
	changed     bool
	announced   link.Holds
	announcedAt time.Time
}

func newHoldTracker() *holdTracker {
	return &holdTracker{services: make(map[string]*serviceHolds)}
}

func (t *holdTracker) service(name string) *serviceHolds {
	s := t.services[name]
	if s == nil {
		s = &serviceHolds{ledger: suspicion.New(), announced: link.Holds{Service: name}}
		t.services[name] = s
	}
	return s
}

// addCrash records a crash. It must be called with l.mu held.
func (l *Leader) addCrash(crash link.Crash) {
	at := l.now() - time.Duration(crash.AgeMs)*time.Millisecond
	s := l.holds.service(crash.Service)
	suspects.Record(s.ledger, at, crash)
	s.changed = true
}

// adoptHolds takes over what an earlier leader held back. It must be called with l.mu held.
func (l *Leader) adoptHolds(holds link.Holds) {
	rules := make([]suspicion.Rule, 0, len(holds.Rules))
	for _, rule := range holds.Rules {
		if len(rule.Traits) == 0 {
			continue
		}
		rules = append(rules, suspicion.Rule{
			Traits: slices.Sorted(slices.Values(rule.Traits)), Crashes: rule.Crashes, Latest: l.now() - time.Duration(rule.AgeMs)*time.Millisecond,
		})
	}
	s := l.holds.service(holds.Service)
	s.ledger.Adopt(l.now(), rules)
	s.changed = true
}

// addFinished records that a request with a suspected trait finished.
func (l *Leader) addFinished(finished link.Finished) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	s := l.holds.service(finished.Service)
	if s.ledger.RecordFinish(now, now-time.Duration(finished.AgoMs)*time.Millisecond, finished.Trait) {
		s.changed = true
	}
}

// BroadcastHolds tells the followers what is held back and suspected, as far as it has changed, and grants trials that are due.
func (l *Leader) BroadcastHolds() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for name, s := range l.holds.services {
		if s.changed {
			l.broadcastHolds(name, s, now)
		}
		for _, rule := range s.ledger.DueTrials(now) {
			l.grantTrial(link.Trial{Service: name, Traits: rule.Traits})
		}
	}
}

// broadcastHolds must be called with l.mu held.
func (l *Leader) broadcastHolds(service string, s *serviceHolds, now time.Duration) {
	holds := link.Holds{Service: service, Suspects: s.ledger.Suspects(now)}
	for _, rule := range s.ledger.Rules(now) {
		holds.Rules = append(holds.Rules, link.Rule{Traits: rule.Traits, Crashes: rule.Crashes, AgeMs: (now - rule.Latest).Milliseconds()})
	}
	sameRules := slices.EqualFunc(holds.Rules, s.announced.Rules, sameRule)
	if sameRules && time.Since(s.announcedAt) < suspectsInterval {
		return
	}
	s.changed = false
	if sameRules && slices.Equal(holds.Suspects, s.announced.Suspects) {
		return
	}
	s.announced, s.announcedAt = holds, time.Now()
	if !sameRules {
		l.deps.ReportHolds(holds)
	}
	l.sendToAll(&link.Shared{Down: link.Down{Holds: &holds}})
}

func sameRule(a, b link.Rule) bool { return slices.Equal(a.Traits, b.Traits) && a.Crashes == b.Crashes }

// grantTrial permits one follower, drawn at random among those that reach the servers, to send one request that is held back. It must be called
// with l.mu held.
func (l *Leader) grantTrial(trial link.Trial) {
	candidates := slices.DeleteFunc(slices.Sorted(maps.Keys(l.followers)), func(entry string) bool { return l.isolated[entry] })
	if len(candidates) == 0 {
		return
	}
	l.followers[candidates[rand.IntN(len(candidates))]].Send(link.Down{Trial: &trial})
}

// sendHolds sends a new follower what is held back and suspected, also where that is nothing any more: the follower may know it from the platform.
// It must be called with l.mu held.
func (l *Leader) sendHolds(to recipient) {
	for _, s := range l.holds.services {
		announced := s.announced // the message is encoded later, without the lock
		to.Send(link.Down{Holds: &announced})
	}
}
