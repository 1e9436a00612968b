// Package catalog maintains each entry's view of the objects on the platform: the operators' configuration and the registered
// backend servers. A configuration is never replaced by an older one, regardless of its source.
package catalog

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	store "github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/platform"
)

// Deps holds the dependencies of a Catalog.
type Deps struct {
	Store Store
	// FedByLeader reports whether the leader forwards its changes to this entry, so that this entry need not watch the
	// platform.
	FedByLeader func() bool
	// IsLeader reports whether this entry forwards its changes to others.
	IsLeader func() bool
	// RoutableOnly reports whether this entry holds only the routable servers. It must be false while this entry is the leader. If it is
	// nil, the entry holds all servers.
	RoutableOnly func() bool
	// OnChanges is called with the result of each call that this entry makes to the platform.
	OnChanges func(changes ChangeSet)
	// OnPlatformLost and OnPlatformRegained are called when calls for a kind begin to fail and when they succeed again. OnPlatformLost is
	// called once more if responses are too large or end early after calls have failed otherwise.
	OnPlatformLost     func(kind store.Kind, err error)
	OnPlatformRegained func(kind store.Kind, duration time.Duration)
	// OnUnreadable is called for an object that can't be decoded and is left out.
	OnUnreadable func(object store.Object, err error)
	// OnLapse is called when servers of a service stay listed for a while although their registrations ended. It may be nil.
	OnLapse func(service string, servers int)
	// OnConfig is called when a configuration comes into force.
	OnConfig func(table *route.Table)
	// OnServerLeaving is called when a server is first known to be leaving. fromLeader reports whether the leader forwarded
	// that.
	OnServerLeaving func(server *backend.Server, fromLeader bool)
}

// Catalog follows the objects on the platform. It is safe for concurrent use.
type Catalog struct {
	deps    Deps
	table   atomic.Pointer[route.Table]
	spec    atomic.Pointer[json.RawMessage]
	listing atomic.Pointer[backend.Listing]
	servers *serverList
	outage  outage

	mu        sync.Mutex // guards the fields below and the replacement of table and spec; a leaf lock
	listeners []func()
	followers map[store.Kind]*follower
}

// New returns an empty catalog. Run fills it.
func New(deps Deps) *Catalog {
	if deps.RoutableOnly == nil {
		deps.RoutableOnly = func() bool { return false }
	}
	if deps.OnLapse == nil {
		deps.OnLapse = func(string, int) {}
	}
	c := &Catalog{deps: deps, followers: make(map[store.Kind]*follower)}
	c.listing.Store(backend.NewListing(0, nil))
	c.servers = &serverList{
		catalog: c, byID: make(map[backend.ID]*backend.Server), lapsed: make(map[backend.ID]time.Time),
		announced: make(map[backend.ID]announcement), unreadable: make(map[string]bool),
	}
	c.Follow(platform.KindConfig, configWatchPolicy(), c.applyConfig)
	c.addFollower(&follower{
		kind: platform.KindServers, policy: promptWatchPolicy, decode: c.servers.decode, apply: c.servers.apply,
		snapshots: deps.RoutableOnly, holdsRoutableOnly: c.servers.holdsRoutableOnly,
	})
	return c
}

// Table returns the configuration in force, or nil if there is none yet.
func (c *Catalog) Table() *route.Table { return c.table.Load() }

// Listing returns the registered servers.
func (c *Catalog) Listing() *backend.Listing { return c.listing.Load() }

// ServersAge returns how long ago the list of servers was last known to be current; 0 before the first list.
func (c *Catalog) ServersAge() time.Duration { return c.followers[platform.KindServers].age() }

// OnServersChange registers a listener that is called after each change of the servers. The listener must not block.
func (c *Catalog) OnServersChange(listener func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listeners = append(c.listeners, listener)
}

// Config returns the configuration as the operator wrote it. Entries that can't reach the platform receive it in this form.
func (c *Catalog) Config() (uint64, json.RawMessage) {
	table, spec := c.table.Load(), c.spec.Load()
	if table == nil || spec == nil {
		return 0, nil
	}
	return table.Version, *spec
}

// UpdateConfig puts a configuration in force, unless the current one is as new or newer.
func (c *Catalog) UpdateConfig(spec json.RawMessage) {
	table, err := platform.DecodeConfig(spec)
	if err != nil {
		c.deps.OnUnreadable(store.Object{Kind: platform.KindConfig, Name: platform.ConfigName}, err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if current := c.table.Load(); current != nil && current.Version >= table.Version {
		return
	}
	c.spec.Store(&spec)
	c.table.Store(table)
	c.deps.OnConfig(table)
}

// Follow adds a kind of object. It must be called before Run. apply is called with the changes in order.
func (c *Catalog) Follow(kind store.Kind, policy WatchPolicy, apply func(Update)) {
	f := &follower{kind: kind, policy: policy, apply: apply}
	if policy.FirstFromLeader {
		f.snapshots = func() bool { return !c.deps.IsLeader() }
	}
	c.addFollower(f)
}

func (c *Catalog) addFollower(f *follower) {
	f.catalog = c
	f.wake = make(chan struct{}, 1)
	f.lackingSince = time.Now()
	f.snapshotTimeout = minSnapshotTimeout + rand.N(snapshotTimeoutSpread)
	c.followers[f.kind] = f
}

// Run follows all kinds until ctx is cancelled.
func (c *Catalog) Run(ctx context.Context) {
	var running sync.WaitGroup
	for _, follower := range c.followers {
		running.Go(func() { follower.run(ctx) })
	}
	running.Go(func() { c.servers.expire(ctx) })
	running.Wait()
}

// ApplyChanges applies changes that the leader forwarded.
func (c *Catalog) ApplyChanges(changes ChangeSet) {
	if follower := c.followers[changes.Kind]; follower != nil {
		follower.applyChanges(changes)
	}
}

// LeaderChanged records that subsequent changes come from another leader. It must be called before the first of them.
func (c *Catalog) LeaderChanged() {
	for _, follower := range c.followers {
		follower.leaderChanged()
	}
}

// ConfirmAges processes the leader's statement of how long ago it knew each kind to be current.
func (c *Catalog) ConfirmAges(ages []link.Age) {
	for _, age := range ages {
		if follower := c.followers[age.Kind]; follower != nil {
			follower.confirm(time.Duration(age.Ms) * time.Millisecond)
		}
	}
}

// Ages returns how long ago each kind with a MaxAge was last known to be current.
func (c *Catalog) Ages() []link.Age {
	var ages []link.Age
	for kind, follower := range c.followers {
		if follower.policy.MaxAge > 0 && follower.current.Load() != nil {
			ages = append(ages, link.Age{Kind: kind, Ms: follower.age().Milliseconds()})
		}
	}
	return ages
}

// RegistrationsReliable reports whether a missing registration means that its server is gone. Registrations lapse while the
// platform accepts no heartbeats, and return within about two seconds after the platform does. The platform must therefore
// have answered this entry for at least that long: an entry that has just started to call it does not know whether the
// platform was unavailable before.
func (c *Catalog) RegistrationsReliable() bool {
	return c.followers[platform.KindServers].answeringFor() > reregistrationGrace
}

// Revisions returns the revision up to which each kind is known.
func (c *Catalog) Revisions() map[store.Kind]store.Version {
	revisions := make(map[store.Kind]store.Version, len(c.followers))
	for kind, follower := range c.followers {
		revisions[kind] = follower.knownRevision()
	}
	return revisions
}

// ChangesSince returns the changes of a kind since a revision. ok is false if they are no longer available.
func (c *Catalog) ChangesSince(kind store.Kind, revision store.Version) (changes ChangeSet, ok bool) {
	follower := c.followers[kind]
	if follower == nil {
		return ChangeSet{}, false
	}
	return follower.changesSince(revision)
}

// HistoryBytes returns how much memory the changes occupy that are kept for entries that connect late, in bytes.
func (c *Catalog) HistoryBytes() int {
	bytes := 0
	for _, follower := range c.followers {
		bytes += follower.historyBytes()
	}
	return bytes
}

// Snapshot returns all objects of a kind, and only the routable ones of the servers, for an entry that knows none of them. ok is false
// unless this entry holds all objects of the kind.
func (c *Catalog) Snapshot(kind store.Kind) (snapshot ChangeSet, ok bool) {
	follower := c.followers[kind]
	if follower == nil {
		return ChangeSet{}, false
	}
	return follower.snapshot()
}

func (c *Catalog) applyConfig(update Update) {
	for _, object := range update.Objects() {
		if object.Name == platform.ConfigName && !object.Deleted && object.Invalid == nil {
			c.UpdateConfig(object.Value)
		}
	}
}
