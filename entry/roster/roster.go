// Package roster registers this entry (gateway process) with the platform, tracks the other entries, and tells callers which entries
// to use.
package roster

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/internal/wait"
	"github.com/skylarkpond/skylarkpond/link/platform"
	policy "github.com/skylarkpond/skylarkpond/policy/directory"
)

// retryPause is the mean pause after a failed call to the platform.
const retryPause = 500 * time.Millisecond

// Deps holds the dependencies of a Roster.
type Deps struct {
	Store platform.Store
	Self  platform.Entry
	// Selection configures how many entries a caller is told, and in which places they are.
	Selection policy.Config
	// AddressTTL is how long a caller may keep an answer.
	AddressTTL time.Duration
	// IsDown reports whether an entry is known to be down. It is called without the roster's lock.
	IsDown func(name string) bool
	// IsIsolated reports whether an entry has lost its connections to the backend servers. It is called without the roster's lock.
	IsIsolated func(name string) bool
	// OnError is called when an operation on the platform's objects fails.
	OnError func(operation string, err error)
}

// Roster holds the known entries, this one included. It is safe for concurrent use.
type Roster struct {
	deps Deps

	// unregistered has a value once this entry's own object is gone.
	unregistered chan struct{}

	mu      sync.Mutex // guards the fields below; a leaf lock
	entries map[string]platform.Entry
	// versions holds the versions of the objects of other entries, also of those that can't be decoded.
	versions map[string]platform.Version
	// registered reports that this entry's own object was seen.
	registered bool
	leaving    bool
}

// New returns a Roster that knows only this entry.
func New(deps Deps) *Roster {
	return &Roster{
		deps: deps, unregistered: make(chan struct{}, 1), entries: map[string]platform.Entry{deps.Self.Name: deps.Self}, versions: make(map[string]platform.Version),
	}
}

// Run registers this entry with the platform, and again if another one has removed its object, until ctx ends.
func (r *Roster) Run(ctx context.Context) {
	for {
		r.publish(ctx, r.deps.Self)
		select {
		case <-r.unregistered:
		case <-ctx.Done():
			return
		}
	}
}

// Leave marks this entry as leaving and publishes that, so that no entry names it to callers any more.
func (r *Roster) Leave(ctx context.Context) {
	leaving := r.deps.Self
	leaving.Leaving = true
	r.mu.Lock()
	r.leaving = true
	r.entries[leaving.Name] = leaving
	r.mu.Unlock()
	r.publish(ctx, leaving)
}

// Names returns the names of the known entries that are not leaving.
func (r *Roster) Names() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := make([]string, 0, len(r.entries))
	for name, entry := range r.entries {
		if !entry.Leaving {
			names = append(names, name)
		}
	}
	return names
}

// Registered returns the names of all other entries that have an object on the platform.
func (r *Roster) Registered() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.versions))
}

// Remove removes the object of another entry, unless it has changed. The entry registers again if it runs after all.
func (r *Roster) Remove(ctx context.Context, name string) error {
	r.mu.Lock()
	version := r.versions[name]
	r.mu.Unlock()
	if version == 0 {
		return nil
	}
	err := r.deps.Store.Delete(ctx, platform.KindEntry, name, version)
	if eris.Is(err, platform.ErrNotFound) || eris.Is(err, platform.ErrConflict) {
		return nil // it is gone, or has just registered
	}
	return err
}

// Len returns the number of known entries that are not leaving.
func (r *Roster) Len() int { return len(r.Names()) }

// Answer returns the addresses of the entries that a caller should use, and how long it may keep them.
func (r *Roster) Answer(caller policy.Caller) ([]string, time.Duration) {
	entries := r.snapshot()
	chosen := r.choose(entries, caller)
	answer := make([]string, 0, len(chosen))
	for _, candidate := range chosen {
		answer = append(answer, entries[candidate.Name].PublicAddress)
	}
	return answer, r.deps.AddressTTL
}

// Peer returns another entry that reaches the backend servers, if there is one that is not among those tried.
func (r *Roster) Peer(tried []string) (platform.Entry, bool) {
	entries := r.snapshot()
	maps.DeleteFunc(entries, func(name string, _ platform.Entry) bool {
		return name == r.deps.Self.Name || slices.Contains(tried, name) || r.deps.IsIsolated(name)
	})
	chosen := r.choose(entries, policy.Caller{Place: r.deps.Self.Place, FailureDomain: r.deps.Self.FailureDomain})
	if len(chosen) == 0 {
		return platform.Entry{}, false
	}
	return entries[chosen[0].Name], true
}

// choose must be called without the roster's lock: IsDown and IsIsolated take locks of their own.
func (r *Roster) choose(entries map[string]platform.Entry, caller policy.Caller) []policy.Candidate {
	candidates := make([]policy.Candidate, 0, len(entries))
	for name, entry := range entries {
		candidates = append(candidates, policy.Candidate{
			Name: name, Place: entry.Place, FailureDomain: entry.FailureDomain, Leaving: entry.Leaving, Dead: r.deps.IsDown(name),
			Isolated: r.deps.IsIsolated(name),
		})
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return policy.Choose(r.deps.Selection, candidates, caller, random)
}

func (r *Roster) snapshot() map[string]platform.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.entries)
}

// publish writes this entry's object until it is stored. An object that is already up to date is not written again, so that a restart
// causes no change event at other entries.
func (r *Roster) publish(ctx context.Context, entry platform.Entry) {
	for {
		done, err := r.publishOnce(ctx, entry)
		if done || ctx.Err() != nil || r.superseded(entry) {
			return
		}
		if err != nil {
			r.deps.OnError("publishing this entry", err)
		}
		wait.Pause(ctx, retryPause/2+rand.N(retryPause))
	}
}

// superseded reports whether this entry has begun to leave since entry was prepared.
func (r *Roster) superseded(entry platform.Entry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving && !entry.Leaving
}

func (r *Roster) publishOnce(ctx context.Context, entry platform.Entry) (bool, error) {
	stored, err := r.deps.Store.Get(ctx, platform.KindEntry, entry.Name)
	if err != nil && !eris.Is(err, platform.ErrNotFound) {
		return false, err
	}
	var current platform.Entry
	if err == nil && json.Unmarshal(stored.Value, &current) == nil && reflect.DeepEqual(current, entry) {
		return true, nil
	}
	value, err := json.Marshal(entry)
	if err != nil {
		return false, err
	}
	_, err = r.deps.Store.Put(ctx, platform.KindEntry, entry.Name, stored.Version, value)
	return err == nil, err
}

// decode decodes an entry's object. It returns an error also if callers can't be told the entry's address.
func decode(object platform.Object) (entry platform.Entry, err error) {
	if err := json.Unmarshal(object.Value, &entry); err != nil {
		return entry, err
	}
	address, err := netip.ParseAddrPort(entry.PublicAddress)
	if err == nil && address.Port() == 0 {
		err = eris.New("its port is 0")
	}
	return entry, err
}

// Apply applies changed entry objects from the platform; complete reports that these are all that exist.
func (r *Roster) Apply(objects []platform.Object, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	present := make(map[string]bool, len(objects))
	for _, object := range objects {
		present[object.Name] = !object.Deleted
		if object.Name != r.deps.Self.Name {
			r.apply(object)
		}
	}
	if _, changed := present[r.deps.Self.Name]; changed || complete {
		r.applySelf(present[r.deps.Self.Name])
	}
	if !complete {
		return
	}
	for name := range r.versions {
		if !present[name] {
			r.forget(name)
		}
	}
}

// applySelf must be called with r.mu held.
func (r *Roster) applySelf(registered bool) {
	if r.registered && !registered && !r.leaving {
		select {
		case r.unregistered <- struct{}{}:
		default:
		}
	}
	r.registered = registered
}

// apply must be called with r.mu held.
func (r *Roster) apply(object platform.Object) {
	if object.Deleted {
		r.forget(object.Name)
		return
	}
	r.versions[object.Name] = object.Version
	entry, err := decode(object)
	if err != nil {
		r.deps.OnError("reading entry "+object.Name, err)
		delete(r.entries, object.Name) // what it said before does not hold any more
		return
	}
	r.entries[object.Name] = entry
}

// forget must be called with r.mu held.
func (r *Roster) forget(name string) {
	delete(r.entries, name)
	delete(r.versions, name)
}
