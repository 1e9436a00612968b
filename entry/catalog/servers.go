package catalog

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/internal/wait"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	store "github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/platform"
)

const (
	// returnGrace is how long servers whose registration lapsed while the platform was away stay listed after its
	// return: they register again within about two seconds.
	returnGrace = 2500 * time.Millisecond
	// massShare and massCount tell lapses of an outage from crashes: so many registrations of a service never end at once otherwise,
	// since a fabric domain holds a sixth of them.
	massShare = 0.34
	massCount = 3
	// expireEvery is how often graces are looked at.
	expireEvery = 250 * time.Millisecond
)

// servers collects registrations into listings.
type servers struct {
	catalog *Catalog

	mu    sync.Mutex // guards what follows; taken before Catalog.mu
	known map[backend.ID]*backend.Server
	// lapsed holds servers that are listed on although their registration ended, each with the time until when.
	lapsed   map[backend.ID]time.Time
	revision uint64
}

func (s *servers) apply(update Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = max(s.revision, uint64(update.Revision))
	present := make(map[backend.ID]bool, len(update.Changes))
	var gone []backend.ID
	for _, change := range update.Changes {
		if change.Removal != nil {
			gone = append(gone, change.Removal.Server)
		}
		if change.Server == nil {
			continue
		}
		server := change.Server
		present[server.ID] = true
		if held := s.known[server.ID]; held == nil || held.Revision <= server.Revision {
			if server.Leaving && (held == nil || !held.Leaving) {
				s.catalog.deps.ServerLeaves(server, update.FromLeader)
			}
			s.known[server.ID] = server
			delete(s.lapsed, server.ID)
		}
	}
	if update.Complete {
		for id := range s.known {
			if !present[id] {
				gone = append(gone, id)
			}
		}
	}
	s.remove(gone)
	s.publish()
}

// decode reads one registration. What names no server to use is taken for one that ended.
func (s *servers) decode(object store.Object) Change {
	gone := Change{Removal: &link.Removal{Server: backend.ID(object.Name), Version: object.Version}}
	if object.Deleted {
		return gone
	}
	server, err := platform.DecodeServer(object)
	if err != nil {
		s.catalog.deps.Unreadable(object, err)
		return gone
	}
	return Change{Server: server}
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
		wait.Pause(ctx, expireEvery)
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
