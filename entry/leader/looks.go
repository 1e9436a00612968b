package leader

import (
	"context"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	link "github.com/skylarkpond/skylarkpond/link/leader"
)

const (
	// lookers is how many entries are asked whether they reach a server.
	lookers = 6
	// lookTime is how long their answers are waited for.
	lookTime = 900 * time.Millisecond
)

// ProbeIndirectly asks other entries whether a server answers them, and returns what one that reached it saw. A server can be cut off from this
// entry and from the platform, and still serve others.
func (l *Leader) ProbeIndirectly(ctx context.Context, server *backend.Server) (link.Seen, bool) {
	answers := make(chan link.Seen, lookers)
	l.mu.Lock()
	l.looks[server.ID] = answers
	asked := 0
	for _, to := range l.followers {
		if asked == lookers {
			break
		}
		to.Send(link.Down{Look: &link.Look{Server: server.ID, Address: server.Address}})
		asked++
	}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.looks, server.ID)
		l.mu.Unlock()
	}()
	timeout := time.After(lookTime)
	for range asked {
		select {
		case seen := <-answers:
			if seen.Answered {
				return seen, true
			}
		case <-timeout:
			return link.Seen{}, false
		case <-ctx.Done():
			return link.Seen{}, false
		}
	}
	return link.Seen{}, false
}

func (l *Leader) seen(seen link.Seen) {
	l.mu.Lock()
	defer l.mu.Unlock()
	answers, ok := l.looks[seen.Server]
	if !ok {
		return // too late
	}
	select {
	case answers <- seen:
	default:
	}
}
