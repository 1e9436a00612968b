package turns

import (
	"slices"
	"strings"
	"time"

	"github.com/skylarkpond/skylarkpond/policy/quota"
)

// This file ends turns, and reconciles them with those that the entries report.

// End describes how a turn ended.
type End struct {
	// Complete is set if the full answer was delivered, so that the duration counts towards the mean duration of a
	// turn.
	Complete bool
	// FirstToken is the time from the grant of the turn to the first token; 0 if none came.
	FirstToken time.Duration
	// Failed is set if the head failed the request: it gave no answer, an incomplete one, or an error.
	Failed bool
	// Unsent is set if the request was not sent to the head.
	Unsent bool
	// Rejected is set if the head stated that it did not run the request.
	Rejected bool
}

// Done ends a turn, or removes a waiting request, and returns the decisions that this makes possible.
func (s *Scheduler) Done(now time.Duration, key string, end End, random func() float64) []Decision {
	t, ok := s.turns[key]
	if !ok {
		s.dequeue(key)
		return nil
	}
	for _, meter := range []*quota.Meter{t.meter, t.cold} {
		switch {
		case meter == nil:
		case end.Unsent:
			meter.GiveBack(now)
		default:
			meter.EndWithoutAnswer()
		}
	}
	if end.Failed {
		s.fail(now, t)
	}
	if known := s.pauses[t.head]; known != nil {
		known.EndProbe(key)
	}
	g := s.release(key)
	if g == nil || g.Model == "" {
		return nil // the turn was granted by a previous scheduler, and the group has not been listed since
	}
	m := s.model(g.Model)
	if end.Complete {
		m.meanTurnTime = ewma(m.meanTurnTime, now-t.grantedAt)
	}
	if end.FirstToken > 0 {
		m.firstToken.update(end.FirstToken)
	}
	if end.FirstToken > 0 && end.Complete {
		m.learnPrefill(t.ahead, end.FirstToken)
	}
	return append(s.endPlain(now, t.head, end, random), s.serveQueue(now, g.Model, random)...)
}

// Head returns the head of a turn in use.
func (s *Scheduler) Head(key string) (string, bool) {
	t, ok := s.turns[key]
	return t.head, ok
}

// Running returns the number of turns in use at a head.
func (s *Scheduler) Running(head string) int {
	if g := s.groups[head]; g != nil {
		return g.running
	}
	return 0
}

// ewmaWeight is the weight of the latest value in a moving average.
const ewmaWeight = 0.02

// ewma returns the exponentially weighted moving average after one more value.
func ewma(mean, value time.Duration) time.Duration {
	return mean + time.Duration(ewmaWeight*float64(value-mean))
}

// Forget ends all turns and removes all waiting requests whose keys begin with prefix.
func (s *Scheduler) Forget(now time.Duration, prefix string, random func() float64) []Decision {
	return s.Reconcile(now, prefix, nil, random)
}

// Reconcile replaces the turns whose keys begin with prefix by held, which maps the keys of requests in progress to
// their heads. Turns that are not in held have ended, those that the scheduler does not know were granted by another
// scheduler, and waiting requests with the prefix are removed. Without it, a turn that ends while its entry has no
// connection to the scheduler would be counted forever: the scheduler would take idle groups for full and reject
// callers.
func (s *Scheduler) Reconcile(now time.Duration, prefix string, held map[string]string, random func() float64) []Decision {
	for key := range s.turns {
		if _, runs := held[key]; strings.HasPrefix(key, prefix) && !runs {
			s.release(key)
		}
	}
	for _, m := range s.models {
		m.queue = slices.DeleteFunc(m.queue, func(w queuedRequest) bool { return strings.HasPrefix(w.Key, prefix) })
	}
	for key, head := range held {
		s.adopt(now, key, head)
	}
	return s.serveQueues(now, random)
}

// release removes a turn and returns its group, or nil if the group is unknown.
func (s *Scheduler) release(key string) *group {
	head := s.turns[key].head
	delete(s.turns, key)
	g := s.groups[head]
	if g == nil {
		return nil
	}
	g.running--
	if g.removed && g.running == 0 {
		delete(s.groups, head)
	}
	return g
}

// adopt records a turn that was granted by another scheduler.
func (s *Scheduler) adopt(now time.Duration, key, head string) {
	if _, ok := s.turns[key]; ok {
		return
	}
	g := s.groups[head]
	if g == nil {
		g = &group{Group: Group{Head: head}, removed: true}
		s.groups[head] = g
	}
	g.running++
	s.turns[key] = turn{head: head, grantedAt: now}
}

// dequeue removes a waiting request.
func (s *Scheduler) dequeue(key string) {
	for _, m := range s.models {
		m.queue = slices.DeleteFunc(m.queue, func(w queuedRequest) bool { return w.Key == key })
	}
}

// Successor returns a scheduler for the same entry once it leads again. It knows the turns in use and the pauses that heads have asked for, which
// clients have reported to this scheduler, but no groups, limits or waiting requests.
func (s *Scheduler) Successor() *Scheduler {
	next := New(s.config)
	next.unconfirmed = s.unconfirmed
	next.pauses = s.pauses
	for key, t := range s.turns {
		next.adopt(t.grantedAt, key, t.head)
	}
	return next
}
