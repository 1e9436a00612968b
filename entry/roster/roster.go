// Package roster registers this entry with the platform, follows the other entries, and tells callers which to use.
package roster

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"reflect"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/internal/wait"
	"github.com/skylarkpond/skylarkpond/link/platform"
	policy "github.com/skylarkpond/skylarkpond/policy/directory"
)

// retryPause is the mean pause after a failed call.
const retryPause = 500 * time.Millisecond

// Deps is what a Roster works with.
type Deps struct {
	Store platform.Store
	Self  platform.Entry
	// Choice says how many entries a caller is told, and where they stand.
	Choice policy.Config
	// Keep is how long a caller may keep an answer.
	Keep time.Duration
	// Dead says whether an entry is known to be down.
	Dead func(name string) bool
	// Failed tells of a call to the platform that did not succeed.
	Failed func(doing string, err error)
}

// Roster is safe for concurrent use.
type Roster struct {
	deps Deps

	mu      sync.Mutex // guards entries; a leaf lock
	entries map[string]platform.Entry
	leaving bool
}

// New returns a roster that knows this entry alone.
func New(deps Deps) *Roster {
	return &Roster{deps: deps, entries: map[string]platform.Entry{deps.Self.Name: deps.Self}}
}

// Run registers this entry.
func (r *Roster) Run(ctx context.Context) { r.publish(ctx, r.deps.Self) }

// Leave takes this entry out of all answers.
func (r *Roster) Leave(ctx context.Context) {
	leaving := r.deps.Self
	leaving.Leaving = true
	r.mu.Lock()
	r.leaving = true
	r.entries[leaving.Name] = leaving
	r.mu.Unlock()
	r.publish(ctx, leaving)
}

// Names returns the entries that are known and not leaving.
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

// Len returns how many entries are known and not leaving.
func (r *Roster) Len() int { return len(r.Names()) }

// Answer names entries for a caller, and for how long it may keep the answer.
func (r *Roster) Answer(caller policy.Caller) ([]string, time.Duration) {
	entries := r.all() // Dead asks others, so the lock is not held
	candidates := make([]policy.Candidate, 0, len(entries))
	addresses := make(map[string]string, len(entries))
	for name, entry := range entries {
		candidates = append(candidates, policy.Candidate{
			Name: name, Place: entry.Place, FailureDomain: entry.FailureDomain, Leaving: entry.Leaving, Dead: r.deps.Dead(name),
		})
		addresses[name] = entry.PublicAddress
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	chosen := policy.Choose(r.deps.Choice, candidates, caller, random)
	answer := make([]string, 0, len(chosen))
	for _, candidate := range chosen {
		answer = append(answer, addresses[candidate.Name])
	}
	return answer, r.deps.Keep
}

func (r *Roster) all() map[string]platform.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.entries)
}

// publish writes this entry's object until it is there. An object that says the same already is left alone, so that a
// restart makes no change for others.
func (r *Roster) publish(ctx context.Context, entry platform.Entry) {
	for {
		done, err := r.publishOnce(ctx, entry)
		if done || ctx.Err() != nil || r.overtaken(entry) {
			return
		}
		if err != nil {
			r.deps.Failed("publishing this entry", err)
		}
		wait.Pause(ctx, retryPause/2+rand.N(retryPause))
	}
}

// overtaken says that this entry has begun to leave since.
func (r *Roster) overtaken(entry platform.Entry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving && !entry.Leaving
}

func (r *Roster) publishOnce(ctx context.Context, entry platform.Entry) (bool, error) {
	held, err := r.deps.Store.Get(ctx, platform.KindEntry, entry.Name)
	if err != nil && !eris.Is(err, platform.ErrNotFound) {
		return false, err
	}
	var same platform.Entry
	if err == nil && json.Unmarshal(held.Value, &same) == nil && reflect.DeepEqual(same, entry) {
		return true, nil
	}
	value, err := json.Marshal(entry)
	if err != nil {
		return false, err
	}
	_, err = r.deps.Store.Put(ctx, platform.KindEntry, entry.Name, held.Version, value)
	return err == nil, err
}

// Apply takes changed objects of the entries.
func (r *Roster) Apply(objects []platform.Object) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, object := range objects {
		if object.Name == r.deps.Self.Name {
			continue
		}
		if object.Deleted {
			delete(r.entries, object.Name)
			continue
		}
		var entry platform.Entry
		if err := json.Unmarshal(object.Value, &entry); err != nil {
			r.deps.Failed("reading entry "+object.Name, err)
			continue
		}
		r.entries[object.Name] = entry
	}
}
