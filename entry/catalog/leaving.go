package catalog

import (
	"maps"
	"slices"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	link "github.com/skylarkpond/skylarkpond/link/leader"
)

// announcementTTL is how long it is kept that a server is leaving which is not listed: its registration may be on its way, or lapse for a while.
const announcementTTL = time.Minute

// announcement is that a process of a server has said that it is leaving. A process leaves for good.
type announcement struct {
	// process is the start of the server's process, in Unix milliseconds; 0 if unknown.
	process int64
	// listedAt is when the server was last listed, or when it said so.
	listedAt time.Time
}

// holdsFor reports whether it is about a registered process.
func (a announcement) holdsFor(server *backend.Server) bool {
	return a.process == 0 || server.StartedAtMillis == 0 || server.StartedAtMillis <= a.process
}

// AnnounceLeaving records that a process of a server has said itself that it is leaving, whatever its registration says. It returns false if that is
// known. fromLeader reports whether the leader forwarded it.
func (c *Catalog) AnnounceLeaving(leaving link.Leaving, fromLeader bool) bool {
	return c.servers.announce(leaving, fromLeader)
}

// AnnouncedLeaving returns the servers that have said that they are leaving.
func (c *Catalog) AnnouncedLeaving() []link.Leaving {
	c.servers.mu.Lock()
	defer c.servers.mu.Unlock()
	var all []link.Leaving
	for _, id := range slices.Sorted(maps.Keys(c.servers.announced)) {
		all = append(all, link.Leaving{Server: id, Process: c.servers.announced[id].process})
	}
	return all
}

func (s *serverList) announce(leaving link.Leaving, fromLeader bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.announced[leaving.Server]; ok && known.process >= leaving.Process {
		return false
	}
	said := announcement{process: leaving.Process, listedAt: time.Now()}
	listed := s.byID[leaving.Server]
	if listed != nil && !said.holdsFor(listed) {
		return false // it has started anew since
	}
	s.announced[leaving.Server] = said
	if listed != nil && !listed.Leaving {
		s.byID[leaving.Server] = s.withAnnouncement(listed)
		s.catalog.deps.OnServerLeaving(s.byID[leaving.Server], fromLeader)
		s.publish()
	}
	return true
}

// withAnnouncement returns a registered server, as leaving if its process has said so. It must be called with s.mu held.
func (s *serverList) withAnnouncement(server *backend.Server) *backend.Server {
	said, ok := s.announced[server.ID]
	switch {
	case !ok || server.Leaving:
		return server
	case !said.holdsFor(server):
		delete(s.announced, server.ID)
		return server
	}
	leaving := *server
	leaving.Leaving = true
	return &leaving
}

// expireAnnouncements forgets the servers that have not been listed for long. It must be called with s.mu held.
func (s *serverList) expireAnnouncements() {
	now := time.Now()
	for id, said := range s.announced {
		switch {
		case s.byID[id] != nil:
			said.listedAt = now
			s.announced[id] = said
		case now.Sub(said.listedAt) > announcementTTL:
			delete(s.announced, id)
		}
	}
}
