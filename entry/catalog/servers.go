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
	// reregistrationGrace is how long servers whose registration lapsed while the platform was unavailable remain listed after
	// its return: they register again within about two seconds.
	reregistrationGrace = 2500 * time.Millisecond
	// lapseTime is how long the platform must be away for registrations to lapse: they lapse after three missed heartbeats, which are 1.2 s apart.
	lapseTime = 2400 * time.Millisecond
	// massLapseShare and minMassLapse distinguish lapses due to an outage from servers that ended meanwhile. A fabric domain holds a sixth of a
	// service's servers.
	massLapseShare = 0.34
	minMassLapse   = 3
	// maxUnreadable bounds the registrations that are remembered as unreadable.
	maxUnreadable = 4096
	// expireInterval is how often expired grace periods are checked.
	expireInterval = 250 * time.Millisecond
)

// serverList maintains the listing from the registrations.
type serverList struct {
	catalog *Catalog

	mu   sync.Mutex // guards the fields below; acquired before Catalog.mu
	byID map[backend.ID]*backend.Server
	// lapsed contains servers that remain listed although their registration ended, with the time until which they do.
	lapsed   map[backend.ID]time.Time
	revision uint64
	// routableOnly reports that the servers that are not routable are not held.
	routableOnly bool
	// announced holds the servers that have said themselves that they are leaving.
	announced map[backend.ID]announcement
	// unreadable holds the names of the registrations that were reported as unreadable and still are.
	unreadable map[string]bool
}

func (s *serverList) apply(update Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = max(s.revision, uint64(update.Revision))
	present := make(map[backend.ID]bool, len(update.Changes))
	var ended []backend.ID
	for _, change := range update.Changes {
		if change.Removal != nil {
			ended = append(ended, change.Removal.Server)
		}
		if change.Server == nil {
			continue
		}
		server := s.withAnnouncement(change.Server)
		present[server.ID] = true
		if known := s.byID[server.ID]; known == nil || known.Revision <= server.Revision {
			if server.Leaving && (known == nil || !known.Leaving) {
				s.catalog.deps.OnServerLeaving(server, update.FromLeader)
			}
			s.byID[server.ID] = server
			delete(s.lapsed, server.ID)
		}
	}
	if update.Complete {
		for id := range s.byID {
			if !present[id] {
				ended = append(ended, id)
			}
		}
	}
	s.remove(ended, update.Steady)
	switch {
	case update.RoutableOnly || s.catalog.deps.RoutableOnly():
		s.routableOnly = true
	case update.Complete:
		s.routableOnly = false
	}
	if s.routableOnly {
		maps.DeleteFunc(s.byID, func(_ backend.ID, server *backend.Server) bool { return !server.Routable() })
	}
	s.publish()
}

func (s *serverList) holdsRoutableOnly() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routableOnly
}

// decode decodes one registration. An object that does not describe a usable server is treated as a registration that ended.
func (s *serverList) decode(object store.Object) Change {
	ended := Change{Removal: &link.Removal{Server: backend.ID(object.Name), Version: object.Version}}
	if object.Deleted {
		s.noteUnreadable(object, nil)
		return ended
	}
	if object.Invalid != nil {
		return ended // the client has reported it
	}
	server, err := platform.DecodeServer(object)
	s.noteUnreadable(object, err)
	if err != nil {
		return ended
	}
	return Change{Server: server}
}

// noteUnreadable reports a registration that can't be decoded, once until it can be or is removed: whoever writes it may do so again and again.
func (s *serverList) noteUnreadable(object store.Object, err error) {
	s.mu.Lock()
	known := s.unreadable[object.Name]
	if err == nil {
		delete(s.unreadable, object.Name)
	} else {
		if len(s.unreadable) >= maxUnreadable {
			clear(s.unreadable)
		}
		s.unreadable[object.Name] = true
	}
	s.mu.Unlock()
	if err != nil && !known {
		s.catalog.deps.OnUnreadable(object, err)
	}
}

// remove removes servers. It removes them after a grace period if so many registrations ended at once that the platform may have been away, unless it
// was known to answer all the time (steady): operators may take a whole failure domain away at once. Without the grace period, each return of the
// platform would leave a service without servers for two seconds.
func (s *serverList) remove(ended []backend.ID, steady bool) {
	lost := make(map[string]int)
	total := make(map[string]int)
	for _, server := range s.byID {
		total[server.Service]++
	}
	for _, id := range ended {
		if server := s.byID[id]; server != nil {
			lost[server.Service]++
		}
	}
	kept := make(map[string]int)
	for _, id := range ended {
		server := s.byID[id]
		if server == nil {
			continue
		}
		if n := lost[server.Service]; !steady && n >= minMassLapse && float64(n) > massLapseShare*float64(total[server.Service]) {
			s.lapsed[id] = time.Now().Add(reregistrationGrace)
			kept[server.Service]++
			continue
		}
		if _, lapsed := s.lapsed[id]; !lapsed {
			delete(s.byID, id)
		}
	}
	for service, servers := range kept {
		s.catalog.deps.OnLapse(service, servers)
	}
}

// expire removes the servers whose grace period has ended.
func (s *serverList) expire(ctx context.Context) {
	for ctx.Err() == nil {
		wait.Pause(ctx, expireInterval)
		s.mu.Lock()
		changed := false
		s.expireAnnouncements()
		for id, until := range s.lapsed {
			if time.Now().After(until) {
				delete(s.lapsed, id)
				delete(s.byID, id)
				changed = true
			}
		}
		if changed {
			s.publish()
		}
		s.mu.Unlock()
	}
}

func (s *serverList) publish() {
	listing := backend.NewListing(s.revision, maps.Clone(s.byID))
	listing.RoutableOnly = s.routableOnly
	s.catalog.listing.Store(listing)
	s.catalog.mu.Lock()
	listeners := s.catalog.listeners
	s.catalog.mu.Unlock()
	for _, listener := range listeners {
		listener()
	}
}
