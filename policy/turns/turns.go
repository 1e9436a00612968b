// Package turns decides which request is sent to which group, which ones wait, and which are turned away.
//
// Load pattern: many entries before few groups, of which some are lost every few seconds. Each entry alone sees a small part of the
// requests, and load reports are late. At the worst, the groups that stand can't serve all that come, and callers come again.
//
// What goes wrong without it: entries that choose by what they see pick the same group at once (the busiest had six times the mean), and
// requests wait in that group's engine behind others whose callers will be gone. All are served, but late; a caller who is
// turned away late comes again late. A fixed limit for each entry is far too loose or far too tight.
//
// So one entry counts what runs on each group, and gives turns: to the group with the largest share of free places; in the order of arrival
// when there is none; and no turn to a request whose turn would come too late. That one is turned away at once, while its caller can still
// come back, and it is told when there will be room.
//
// Time is a duration since any fixed moment. A Scheduler is not safe for concurrent use.
package turns

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/skylarkpond/skylarkpond/policy/capacity"
)

// Group is one replica that takes requests.
type Group struct {
	// Head names the group's head.
	Head  string
	Model string
	// Engine is what it takes for its work. Its times are 0 where they are not known; its places always are.
	Engine capacity.Engine
}

// Request is one request that wants a turn.
type Request struct {
	// Key is unique among the requests that wait or run.
	Key   string
	Model string
	// FirstTokenBudget is when the first part of its answer is to be there, from now on; 0 where nothing is lost by waiting longer.
	FirstTokenBudget time.Duration
	// MaxWait is how long it may wait for its turn at most.
	MaxWait time.Duration
	// Priority is 0 for the most urgent.
	Priority int
	// Fingerprint is alike for all tries of one request; 0 if there is none.
	Fingerprint uint64
	// Retry says that the request was sent before, or that its caller was turned away, which the scheduler knows by the fingerprint. Its
	// answer is late in any case, so it gives way to requests of its priority that can still be answered in time: were it the other way round, every request would be turned
	// away once and then answered late.
	Retry bool
	// TriedHeads are the heads that it was sent to.
	TriedHeads []string
	// Size is what it asks for.
	Size capacity.Work
}

// Reason says why a request is turned away.
type Reason uint8

// The reasons.
const (
	// Granted: it is not.
	Granted Reason = iota
	// NoGroup: no group of the model stands.
	NoGroup
	// TooLate: its turn would come too late.
	TooLate
	// TriedAll: it was sent to every group that stands.
	TriedAll
)

// Decision is what becomes of a request.
type Decision struct {
	Key    string
	Head   string
	Reason Reason
	// RetryAfter is when there will be room, for a request that is turned away.
	RetryAfter time.Duration
	// Running and Waiting are what the decision was made from: requests of the model that run and wait.
	Running, Waiting, Slots int
}

// Config holds the thresholds.
type Config struct {
	// Overcommit is how many requests a group is given beyond its places. The engine then always has one to begin with when
	// a place comes free, which saves it the way to here and back (some ms).
	Overcommit int
	// InitialTurnTime is the time that a request takes until the first ones have ended.
	InitialTurnTime time.Duration
	// MinRetryAfter is the shortest time to come back after; RetryAfterJitter is added by chance, so that callers that were turned away
	// together do not come together.
	MinRetryAfter, RetryAfterJitter time.Duration
	// GroupFormationTime is when groups that are being formed will stand, for callers of a model without any.
	GroupFormationTime time.Duration
	// SuspectDuration is how long a group that keeps silent gets no turns.
	SuspectDuration time.Duration
}

// DefaultConfig returns the thresholds in use.
func DefaultConfig() Config {
	return Config{
		Overcommit: 1, InitialTurnTime: 1500 * time.Millisecond,
		MinRetryAfter: 500 * time.Millisecond, RetryAfterJitter: 800 * time.Millisecond,
		GroupFormationTime: 1200 * time.Millisecond, SuspectDuration: time.Second,
	}
}

// Scheduler gives turns.
type Scheduler struct {
	config Config
	groups map[string]*group
	models map[string]*model
	// running holds the turns given, by key.
	running map[string]turn
	// refused holds when requests were turned away, by fingerprint.
	refused map[uint64]time.Duration
}

type group struct {
	Group
	running int
	// suspect is until when it gets no turns.
	suspect time.Duration
	// readTo is when it will have read the prompts that it was given.
	readTo time.Duration
	// gone: it stands no more; it is kept while turns are out.
	gone bool
}

type turn struct {
	head  string
	since time.Duration
}

// model is the queue of one model's requests.
type model struct {
	waiting []waiter
	// took is the mean time of a turn, first what passes from the turn to the first part of the answer.
	took  time.Duration
	first estimate
	// asked, granted and refused count since the last Demands; fresh are those of callers that were not turned away before, and work is
	// what these asked for.
	asked, granted, refused, fresh int
	work                           capacity.Work
}

type waiter struct {
	Request
	since time.Duration
}

// New returns a scheduler without groups.
func New(config Config) *Scheduler {
	return &Scheduler{
		config: config, groups: make(map[string]*group), models: make(map[string]*model), running: make(map[string]turn),
		refused: make(map[uint64]time.Duration),
	}
}

// SetGroups says which groups take requests now, and returns the turns that this makes possible.
func (s *Scheduler) SetGroups(now time.Duration, groups []Group, chance func() float64) []Decision {
	for _, g := range s.groups {
		g.gone = true
	}
	for _, g := range groups {
		held := s.groups[g.Head]
		if held == nil {
			held = &group{}
			s.groups[g.Head] = held
		}
		held.Group = g
		held.gone = false
	}
	for head, g := range s.groups {
		if g.gone && g.running == 0 {
			delete(s.groups, head)
		}
	}
	return s.serveAll(now, chance)
}

func (s *Scheduler) model(name string) *model {
	m := s.models[name]
	if m == nil {
		m = &model{took: s.config.InitialTurnTime, first: estimate{mean: usualFirst}}
		s.models[name] = m
	}
	return m
}

// Submit decides on a request. No decision means that it waits.
func (s *Scheduler) Submit(now time.Duration, request Request, chance func() float64) []Decision {
	m := s.model(request.Model)
	request = s.recognise(now, request)
	m.note(request)
	if head := s.best(now, request); head != nil && len(m.waiting) == 0 {
		return []Decision{s.grant(now, head, request.Key, request.Size)}
	}
	if why := s.hopeless(request); why != Granted {
		return []Decision{s.refuse(now, request, why, chance)}
	}
	if s.expectedWait(request.Model, s.ahead(m, request)) > m.patience(request) {
		return []Decision{s.refuse(now, request, TooLate, chance)}
	}
	m.insert(waiter{Request: request, since: now})
	return s.serve(now, request.Model, chance)
}

// before says whether a request goes before another that came earlier.
func (r Request) before(other Request) bool {
	if r.Priority != other.Priority {
		return r.Priority < other.Priority
	}
	return !r.Retry && other.Retry
}

// insert keeps the order of priority, of those that were not turned away yet, then of arrival.
func (m *model) insert(w waiter) {
	i := len(m.waiting)
	for i > 0 && w.before(m.waiting[i-1].Request) {
		i--
	}
	m.waiting = slices.Insert(m.waiting, i, w)
}

func (s *Scheduler) ahead(m *model, request Request) int {
	n := 0
	for _, w := range m.waiting {
		if !request.before(w.Request) {
			n++
		}
	}
	return n
}

// hopeless says why no turn can come: no group stands, or none that was not tried.
func (s *Scheduler) hopeless(request Request) Reason {
	why := NoGroup
	for _, g := range s.groups {
		if g.gone || g.Model != request.Model {
			continue
		}
		if !slices.Contains(request.TriedHeads, g.Head) {
			return Granted
		}
		why = TriedAll
	}
	return why
}

// expectedWait is how long a request waits behind others: places come free at the rate at which turns end.
func (s *Scheduler) expectedWait(name string, ahead int) time.Duration {
	_, places := s.places(name)
	if places == 0 {
		return s.config.GroupFormationTime
	}
	return time.Duration(ahead+1) * s.model(name).took / time.Duration(places)
}

// places returns how many requests run on the groups of a model that stand, and how many they can run.
func (s *Scheduler) places(name string) (running, places int) {
	for _, g := range s.groups {
		if !g.gone && g.Model == name {
			running += g.running
			places += g.Engine.Slots
		}
	}
	return running, places
}

func (s *Scheduler) grant(now time.Duration, g *group, key string, work capacity.Work) Decision {
	g.running++
	g.readTo = max(now, g.readTo) + g.Engine.Read(work.Prompt)
	s.model(g.Model).granted++
	s.running[key] = turn{head: g.Head, since: now}
	return Decision{Key: key, Head: g.Head}
}

func (s *Scheduler) refuse(now time.Duration, request Request, why Reason, chance func() float64) Decision {
	s.refused[request.Fingerprint] = now
	s.model(request.Model).refused++
	d := Decision{Key: request.Key, Reason: why}
	d.Running, d.Slots = s.places(request.Model)
	d.Waiting = len(s.model(request.Model).waiting)
	spread := time.Duration(chance() * float64(s.config.RetryAfterJitter))
	switch why {
	case NoGroup, TriedAll:
		d.RetryAfter = s.config.GroupFormationTime + spread
	default:
		d.RetryAfter = max(s.config.MinRetryAfter, s.expectedWait(request.Model, d.Waiting)) + spread
	}
	return d
}

// End is how a turn ended.
type End struct {
	// Complete says that the answer was given to its end, so that its time tells how long turns take.
	Complete bool
	// FirstToken is what passed from the turn to the first part of the answer; 0 if none came.
	FirstToken time.Duration
}

// Done ends a turn, and returns the turns that this makes possible.
func (s *Scheduler) Done(now time.Duration, key string, end End, chance func() float64) []Decision {
	t, ok := s.running[key]
	if !ok {
		s.withdraw(key)
		return nil
	}
	g := s.end(key)
	if g == nil || g.Model == "" {
		return nil // an earlier scheduler gave the turn, and the group has not been listed since
	}
	m := s.model(g.Model)
	if end.Complete {
		m.took = learned(m.took, now-t.since)
	}
	if end.FirstToken > 0 {
		m.first.learn(end.FirstToken)
	}
	return s.serve(now, g.Model, chance)
}

// learnShare is the weight of the latest time in a mean.
const learnShare = 0.02

// learned is the mean with one more time in it.
func learned(mean, took time.Duration) time.Duration {
	return mean + time.Duration(learnShare*float64(took-mean))
}

// Forget ends all turns, and takes back all requests, whose keys begin with prefix.
func (s *Scheduler) Forget(now time.Duration, prefix string, chance func() float64) []Decision {
	return s.Reconcile(now, prefix, nil, chance)
}

// Reconcile sets what runs of the requests whose keys begin with prefix: held names their heads. Turns that are not among them have ended,
// those that are not known were given by another scheduler, and requests that wait are taken back. Without it, a turn that ends while
// its entry has no link to the scheduler counts for ever: the scheduler sees full groups where nothing runs, and turns callers away.
func (s *Scheduler) Reconcile(now time.Duration, prefix string, held map[string]string, chance func() float64) []Decision {
	for key := range s.running {
		if _, runs := held[key]; strings.HasPrefix(key, prefix) && !runs {
			s.end(key)
		}
	}
	for _, m := range s.models {
		m.waiting = slices.DeleteFunc(m.waiting, func(w waiter) bool { return strings.HasPrefix(w.Key, prefix) })
	}
	for key, head := range held {
		s.adopt(now, key, head)
	}
	return s.serveAll(now, chance)
}

// end takes a turn out, and returns the group that it was at, or nil if that is not known.
func (s *Scheduler) end(key string) *group {
	head := s.running[key].head
	delete(s.running, key)
	g := s.groups[head]
	if g == nil {
		return nil
	}
	g.running--
	if g.gone && g.running == 0 {
		delete(s.groups, head)
	}
	return g
}

// adopt notes a turn that another scheduler gave.
func (s *Scheduler) adopt(now time.Duration, key, head string) {
	if _, ok := s.running[key]; ok {
		return
	}
	g := s.groups[head]
	if g == nil {
		g = &group{Group: Group{Head: head}, gone: true}
		s.groups[head] = g
	}
	g.running++
	s.running[key] = turn{head: head, since: now}
}

// withdraw takes back a request that waits.
func (s *Scheduler) withdraw(key string) {
	for _, m := range s.models {
		m.waiting = slices.DeleteFunc(m.waiting, func(w waiter) bool { return w.Key == key })
	}
}

// Suspect keeps turns from a group that is silent.
func (s *Scheduler) Suspect(now time.Duration, head string) {
	if g := s.groups[head]; g != nil {
		g.suspect = now + s.config.SuspectDuration
	}
}

// ClearSuspicion ends a suspicion that proved wrong.
func (s *Scheduler) ClearSuspicion(now time.Duration, head string, chance func() float64) []Decision {
	g := s.groups[head]
	if g == nil || g.suspect <= now {
		return nil
	}
	g.suspect = now
	return s.serve(now, g.Model, chance)
}

// Tick turns away what has waited for too long. It is called often.
func (s *Scheduler) Tick(now time.Duration, chance func() float64) []Decision {
	return s.serveAll(now, chance)
}

func (s *Scheduler) serveAll(now time.Duration, chance func() float64) []Decision {
	var decisions []Decision
	for _, name := range slices.Sorted(maps.Keys(s.models)) {
		decisions = append(decisions, s.serve(now, name, chance)...)
	}
	return decisions
}

// serve gives turns to those that wait, in their order, and turns away those whose time is over.
func (s *Scheduler) serve(now time.Duration, name string, chance func() float64) []Decision {
	m := s.model(name)
	var decisions []Decision
	kept := m.waiting[:0]
	for _, w := range m.waiting {
		if head := s.best(now, w.Request); head != nil {
			decisions = append(decisions, s.grant(now, head, w.Key, w.Size))
			continue
		}
		why := s.hopeless(w.Request)
		if why == Granted && now-w.since >= m.patience(w.Request) {
			why = TooLate
		}
		if why != Granted {
			decisions = append(decisions, s.refuse(now, w.Request, why, chance))
			continue
		}
		kept = append(kept, w)
	}
	clear(m.waiting[len(kept):])
	m.waiting = kept
	return decisions
}
