// Package leader is what the entry in charge does for the others: it gives turns at the groups, looks into groups that keep
// silent, and passes on news.
package leader

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/entry/catalog"
	"github.com/skylarkpond/skylarkpond/entry/turn"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	store "github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/policy/capacity"
	policy "github.com/skylarkpond/skylarkpond/policy/turns"
)

// Deps is what a Leader works with.
type Deps struct {
	// InOffice says whether this entry gives the turns.
	InOffice func() bool
	Listing  func() *backend.Listing
	// ListAge is how long ago the listing was last known to be current.
	ListAge func() time.Duration
	Table   func() *route.Table
	// Closed says that a group is being dissolved although it is still listed as open.
	Closed func(key backend.GroupKey) bool
	// Vouched is how many members of a group are there although they are not registered; nil for none.
	Vouched func(key backend.GroupKey) int
	// Suspect looks into a group whose head keeps silent.
	Suspect func(group backend.GroupKey)
	// Config returns the configuration in force; TakeConfig offers another one.
	Config     func() (uint64, json.RawMessage)
	TakeConfig func(spec json.RawMessage)
	// Demand tells of each model once in demandEvery, while this entry is in charge.
	Demand func(demand policy.Demand)
	// NewsSince returns what happened to a kind since a revision.
	NewsSince func(kind store.Kind, revision store.Version) (catalog.News, bool)
	// Ages returns how long ago this entry knew each kind to be current.
	Ages func() []link.Age
	// LeaseVersion is that of the last renewal.
	LeaseVersion func() uint64
	// Held tells which requests of a service are held back from now on, because they crash servers.
	Held func(held link.Held)
}

// Leader implements link/leader.Handler. It is safe for concurrent use.
type Leader struct {
	deps    Deps
	started time.Time

	mu sync.Mutex // guards what follows; a leaf lock
	// turns is made anew when this entry takes charge.
	turns     *policy.Scheduler
	followers map[string]sender
	inCharge  bool
	// since is when this entry took charge.
	since time.Time
	// passed is up to which revision each kind was passed on.
	passed map[store.Kind]store.Version
	// engines are what groups take for their work, by model.
	engines map[string]capacity.Engine
	// wanted is how many groups' worth of requests come, by model.
	wanted  map[string]float64
	seconds int
	// told is the set of live entries that the followers were told last; fresh are those that were told none yet.
	told    map[string]bool
	fresh   map[string]bool
	crashes *crashes
	// looks are the questions in progress, by server.
	looks map[backend.ID]chan link.Seen
}

// sender is a follower, or this entry itself.
type sender interface {
	Send(message link.Down)
	SendShared(message *link.Shared)
}

// New returns a leader that is not in charge.
func New(deps Deps) *Leader {
	return &Leader{
		deps: deps, started: time.Now(), turns: policy.New(policy.DefaultConfig()), followers: make(map[string]sender),
		looks: make(map[backend.ID]chan link.Seen), wanted: make(map[string]float64),
		passed: make(map[store.Kind]store.Version), told: make(map[string]bool), fresh: make(map[string]bool),
		crashes: newCrashes(),
	}
}

const (
	// tick is how often waiting requests are looked at.
	tick = 20 * time.Millisecond
	// groupsEvery is how often the groups are read from the listing, beside its changes.
	groupsEvery = 100 * time.Millisecond
)

// Run works until ctx ends.
func (l *Leader) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	var groupsAt, demandAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !l.deps.InOffice() {
			l.stepDown()
			continue
		}
		if time.Since(groupsAt) >= groupsEvery {
			groupsAt = time.Now()
			l.SetGroups()
		}
		l.mu.Lock()
		l.send(l.turns.Tick(l.now(), rand.Float64))
		l.mu.Unlock()
		if time.Since(demandAt) >= demandEvery {
			demandAt = time.Now()
			l.tellDemand()
		}
	}
}

func (l *Leader) now() time.Duration { return time.Since(l.started) }

// stepDown forgets the turns: another entry gives them now.
func (l *Leader) stepDown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inCharge {
		l.inCharge = false
		l.crashes = newCrashes()
		l.turns = policy.New(policy.DefaultConfig())
	}
}

// SetGroups reads the groups that stand.
func (l *Leader) SetGroups() {
	if !l.deps.InOffice() {
		return
	}
	table := l.deps.Table()
	if table == nil {
		return
	}
	listing := l.deps.Listing()
	var groups []policy.Group
	engines := make(map[string]capacity.Engine)
	for _, service := range table.Services {
		if service.Engine == nil {
			continue
		}
		for _, model := range service.Engine.Models {
			key := modelKey(service.Name, model.Name)
			engines[key] = engineFor(service.Engine, model)
			for _, head := range l.heads(service, model, listing.ByService[service.Name]) {
				groups = append(groups, policy.Group{Head: string(head.ID), Model: key, Engine: engines[key]})
			}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.inCharge {
		l.inCharge = true
		l.since = time.Now()
	}
	l.engines = engines
	l.send(l.turns.SetGroups(l.now(), groups, rand.Float64))
}

// heads returns the heads of a model's groups that take requests.
func (l *Leader) heads(service route.Service, model route.Model, servers []*backend.Server) []*backend.Server {
	heads := turn.Heads(servers, service.Engine, model.Name, l.deps.Vouched)
	return slices.DeleteFunc(heads, func(head *backend.Server) bool { return l.deps.Closed(head.Group.GroupKey) })
}

func modelKey(service, model string) string { return service + "/" + model }

// turnKey names a turn over all entries.
func turnKey(entry string, key uint64) string { return entry + "/" + strconv.FormatUint(key, 10) }

// splitKey is the reverse of turnKey.
func splitKey(turnKey string) (entry string, key uint64) {
	i := strings.LastIndexByte(turnKey, '/')
	key, err := strconv.ParseUint(turnKey[i+1:], 10, 64)
	if err != nil {
		return "", 0 // turnKey made it
	}
	return turnKey[:i], key
}

// Joined implements link/leader.Handler.
func (l *Leader) Joined(follower *link.Follower, hello link.Hello) {
	l.Join(follower.Entry, follower, hello)
}

// Join adds an entry.
func (l *Leader) Join(entry string, to sender, hello link.Hello) {
	l.mu.Lock()
	l.followers[entry] = to
	l.fresh[entry] = true
	l.tellAllHeld(to)
	for _, crash := range hello.Crashes {
		l.crashes.add(crash)
		l.tellHeld(crash.Service)
	}
	l.mu.Unlock()
	l.passConfig(to, hello.ConfigVersion)
	l.catchUp(to, hello.Revisions)
}

// Received implements link/leader.Handler.
func (l *Leader) Received(follower *link.Follower, message link.Up) {
	l.Receive(follower.Entry, follower, message)
}

// Receive handles a message of an entry.
func (l *Leader) Receive(entry string, from sender, message link.Up) {
	switch {
	case message.Turns != nil:
		l.reconcile(entry, message.Turns.Running)
	case message.Ask != nil:
		l.ask(entry, from, *message.Ask)
	case message.Done != nil:
		l.done(entry, *message.Done)
	case message.Silent != "":
		l.silent(message.Silent)
	case message.Config != nil:
		l.deps.TakeConfig(message.Config.Spec)
	case message.Seen != nil:
		l.seen(*message.Seen)
	case message.Crash != nil:
		l.crashed(*message.Crash)
	case message.Cleared != nil:
		l.cleared(*message.Cleared)
	case message.Has != 0:
		l.passConfig(from, message.Has)
	}
}

// Left implements link/leader.Handler. The turns of an entry that is gone are over: the servers drop what it asked for. One that only
// lost its link names its turns again when it is back.
func (l *Leader) Left(follower *link.Follower) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.followers[follower.Entry] != sender(follower) {
		return // it has a newer link
	}
	delete(l.followers, follower.Entry)
	l.send(l.turns.Forget(l.now(), follower.Entry+"/", rand.Float64))
}

// notInCharge tells a follower to decide for itself.
const notInCharge = "not-in-charge"

func (l *Leader) ask(entry string, from sender, ask link.Ask) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.inCharge {
		from.Send(link.Down{Refuse: &link.Refuse{Key: ask.Key, Reason: notInCharge}})
		return
	}
	tried := make([]string, 0, len(ask.Tried))
	for _, id := range ask.Tried {
		tried = append(tried, string(id))
	}
	key := turnKey(entry, ask.Key)
	decisions := l.turns.Submit(l.now(), policy.Request{
		Key: key, Model: modelKey(ask.Service, ask.Model),
		FirstTokenBudget: time.Duration(ask.DueMs) * time.Millisecond, MaxWait: time.Duration(ask.PatienceMs) * time.Millisecond, Priority: ask.Priority, TriedHeads: tried,
		Retry: ask.Returning, Fingerprint: ask.Fingerprint, Size: capacity.RequestSize{PromptTokens: float64(ask.Prompt), OutputTokens: float64(ask.Answer)},
	}, rand.Float64)
	l.send(decisions)
	if !slices.ContainsFunc(decisions, func(d policy.Decision) bool { return d.Key == key }) {
		from.Send(link.Down{Queued: ask.Key})
	}
}

// reconcile takes an entry's word on which turns it holds.
func (l *Leader) reconcile(entry string, held []link.Running) {
	heads := make(map[string]string, len(held))
	for _, running := range held {
		heads[turnKey(entry, running.Key)] = string(running.Head)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.send(l.turns.Reconcile(l.now(), entry+"/", heads, rand.Float64))
}

func (l *Leader) done(entry string, done link.Done) {
	end := policy.End{Complete: done.Whole, FirstToken: time.Duration(done.FirstMs) * time.Millisecond}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.send(l.turns.Done(l.now(), turnKey(entry, done.Key), end, rand.Float64))
}

// send tells the followers what was decided. It is called under the lock; sending never blocks.
func (l *Leader) send(decisions []policy.Decision) {
	if len(decisions) == 0 {
		return
	}
	revision, age := l.deps.Listing().Revision, l.deps.ListAge()
	for _, d := range decisions {
		entry, key := splitKey(d.Key)
		to := l.followers[entry]
		if to == nil {
			continue
		}
		if d.Reason == policy.Granted {
			to.Send(link.Down{Grant: &link.Grant{Key: key, Head: backend.ID(d.Head), Revision: revision, AgeMs: age.Milliseconds()}})
			continue
		}
		to.Send(link.Down{Refuse: &link.Refuse{
			Key: key, Reason: string(reasons[d.Reason]), RetryAfterMs: d.RetryAfter.Milliseconds(),
			Detail: fmt.Sprintf("%d run on %d places, %d wait", d.Running, d.Slots, d.Waiting),
		}})
	}
}

var reasons = map[policy.Reason]turn.Reason{policy.NoGroup: turn.NoServer, policy.TooLate: turn.Full, policy.TriedAll: turn.Spent}

// silent keeps turns from a group and has it looked into.
func (l *Leader) silent(head backend.ID) {
	server := l.deps.Listing().Servers[head]
	if server == nil || !l.deps.InOffice() {
		return
	}
	l.mu.Lock()
	l.turns.Suspect(l.now(), string(head))
	l.mu.Unlock()
	l.deps.Suspect(server.Group.GroupKey)
}

// Clear ends a suspicion: all members of the group have answered.
func (l *Leader) Clear(head backend.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.send(l.turns.ClearSuspicion(l.now(), string(head), rand.Float64))
}

// Followers counts the entries that are linked, this one included.
func (l *Leader) Followers() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.followers)
}
