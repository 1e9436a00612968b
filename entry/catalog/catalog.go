// Package catalog follows what the platform holds for every entry: the operators' configuration and the registered
// backend servers. A configuration is never replaced by an older one, whichever way it comes.
package catalog

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
	store "github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/platform"
)

const (
	// serversPause gathers changes of servers after a watch has ended: each event ends the watch of every entry, and
	// each call is priced. A leaving server must be known within 2 s.
	serversPause = 400 * time.Millisecond
	// configPause is the same for the configuration, which must be in force within 2 s.
	configPause = 200 * time.Millisecond
	// retryPause is the longest pause after a failed call; half of it is random.
	retryPause = 400 * time.Millisecond
	// returnGrace is how long servers whose registration lapsed while the platform was away stay listed after its
	// return: they register again within about two seconds.
	returnGrace = 2500 * time.Millisecond
	// massShare and massCount tell lapses of an outage from crashes: so many registrations of a service never end at once otherwise,
	// since a fabric domain holds a sixth of them.
	massShare = 0.34
	massCount = 3
)

// Deps is what a Catalog works with.
type Deps struct {
	Store store.Store
	// Lost and Regained tell of the platform's absence, per kind.
	Lost     func(kind store.Kind, err error)
	Regained func(kind store.Kind, away time.Duration)
	// Unreadable tells of an object that was left out.
	Unreadable func(object store.Object, err error)
	// Config tells of a configuration that came into force.
	Config func(table *route.Table)
}

// Catalog is safe for concurrent use.
type Catalog struct {
	deps    Deps
	table   atomic.Pointer[route.Table]
	spec    atomic.Pointer[json.RawMessage]
	listing atomic.Pointer[backend.Listing]

	mu      sync.Mutex // guards listeners and the swap of table and spec
	changed []func()
}

// New returns an empty catalog; Run fills it.
func New(deps Deps) *Catalog {
	c := &Catalog{deps: deps}
	c.listing.Store(backend.NewListing(0, nil))
	return c
}

// Table returns the configuration in force, or nil before the first.
func (c *Catalog) Table() *route.Table { return c.table.Load() }

// Listing returns the registered servers.
func (c *Catalog) Listing() *backend.Listing { return c.listing.Load() }

// OnServers calls listener after each change of the servers. It must not block.
func (c *Catalog) OnServers(listener func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changed = append(c.changed, listener)
}

// Config returns the configuration as the operator wrote it, for entries that can't reach the platform.
func (c *Catalog) Config() (uint64, json.RawMessage) {
	table, spec := c.table.Load(), c.spec.Load()
	if table == nil || spec == nil {
		return 0, nil
	}
	return table.Version, *spec
}

// TakeConfig puts a configuration in force, unless one as new is.
func (c *Catalog) TakeConfig(spec json.RawMessage) {
	table, err := platform.DecodeConfig(spec)
	if err != nil {
		c.deps.Unreadable(store.Object{Kind: platform.KindConfig, Name: platform.ConfigName}, err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if held := c.table.Load(); held != nil && held.Version >= table.Version {
		return
	}
	c.spec.Store(&spec)
	c.table.Store(table)
	c.deps.Config(table)
}

// Run follows both kinds until ctx ends.
func (c *Catalog) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { c.follow(ctx, platform.KindConfig, configPause, c.applyConfig) })
	servers := &servers{catalog: c, known: make(map[backend.ID]*backend.Server), lapsed: make(map[backend.ID]time.Time)}
	running.Go(func() { c.follow(ctx, platform.KindServers, serversPause, servers.apply) })
	running.Go(func() { servers.expire(ctx) })
	running.Wait()
}

func (c *Catalog) applyConfig(changes store.Changes) {
	for _, object := range changes.Objects {
		if object.Name == platform.ConfigName && !object.Deleted {
			c.TakeConfig(object.Value)
		}
	}
}

// follow lists a kind and then watches it. What is lost by a failed watch comes with the next one, which begins at
// the same revision.
func (c *Catalog) follow(ctx context.Context, kind store.Kind, gather time.Duration, apply func(store.Changes)) {
	var revision store.Version
	listed := false
	var failedSince time.Time
	for ctx.Err() == nil {
		changes, err := c.read(ctx, kind, revision, listed)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if failedSince.IsZero() {
				failedSince = time.Now()
				c.deps.Lost(kind, err)
			}
			pause(ctx, retryPause/2+rand.N(retryPause/2))
			continue
		}
		if !failedSince.IsZero() {
			c.deps.Regained(kind, time.Since(failedSince))
			failedSince = time.Time{}
		}
		listed = true
		revision = max(revision, changes.Revision)
		if len(changes.Objects) > 0 || changes.Complete {
			apply(changes)
			pause(ctx, gather)
		}
	}
}

func (c *Catalog) read(ctx context.Context, kind store.Kind, after store.Version, listed bool) (store.Changes, error) {
	if !listed {
		return c.deps.Store.List(ctx, kind)
	}
	return c.deps.Store.Watch(ctx, kind, after)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// servers collects registrations into listings.
type servers struct {
	catalog *Catalog

	mu    sync.Mutex // guards what follows; taken before Catalog.mu
	known map[backend.ID]*backend.Server
	// lapsed holds servers that are listed on although their registration ended, each with the time until when.
	lapsed   map[backend.ID]time.Time
	revision uint64
}

func (s *servers) apply(changes store.Changes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = max(s.revision, uint64(changes.Revision))
	present := make(map[backend.ID]bool, len(changes.Objects))
	var gone []backend.ID
	for _, object := range changes.Objects {
		id := backend.ID(object.Name)
		server := s.decode(object)
		if server == nil {
			gone = append(gone, id)
			continue
		}
		present[id] = true
		if held := s.known[id]; held == nil || held.Revision <= server.Revision {
			s.known[id] = server
			delete(s.lapsed, id)
		}
	}
	if changes.Complete {
		for id := range s.known {
			if !present[id] {
				gone = append(gone, id)
			}
		}
	}
	s.remove(gone)
	s.publish()
}

// decode returns nil for what names no server to use.
func (s *servers) decode(object store.Object) *backend.Server {
	if object.Deleted {
		return nil
	}
	server, err := platform.DecodeServer(object)
	if err != nil {
		s.catalog.deps.Unreadable(object, err)
		return nil
	}
	return server
}

// remove takes servers out, at once or, where so many went at the same time that the platform must have been away, after a
// grace. Without it each return of the platform would leave a service without servers for two seconds.
func (s *servers) remove(gone []backend.ID) {
	lost := make(map[string]int)
	total := make(map[string]int)
	for _, server := range s.known {
		total[server.Service]++
	}
	for _, id := range gone {
		if server := s.known[id]; server != nil {
			lost[server.Service]++
		}
	}
	for _, id := range gone {
		server := s.known[id]
		if server == nil {
			continue
		}
		if n := lost[server.Service]; n >= massCount && float64(n) > massShare*float64(total[server.Service]) {
			s.lapsed[id] = time.Now().Add(returnGrace)
			continue
		}
		if _, held := s.lapsed[id]; !held {
			delete(s.known, id)
		}
	}
}

// expire ends the graces.
func (s *servers) expire(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, serversPause)
		s.mu.Lock()
		ended := false
		for id, until := range s.lapsed {
			if time.Now().After(until) {
				delete(s.lapsed, id)
				delete(s.known, id)
				ended = true
			}
		}
		if ended {
			s.publish()
		}
		s.mu.Unlock()
	}
}

func (s *servers) publish() {
	s.catalog.listing.Store(backend.NewListing(s.revision, maps.Clone(s.known)))
	s.catalog.mu.Lock()
	listeners := s.catalog.changed
	s.catalog.mu.Unlock()
	for _, listener := range listeners {
		listener()
	}
}
