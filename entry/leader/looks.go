package leader

import (
	"context"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	link "github.com/skylarkpond/skylarkpond/link/leader"
)

const (
	// maxProbers is the maximum number of entries that are asked to probe a server.
	maxProbers = 6
	// probeTimeout is how long their results are waited for.
	probeTimeout = 900 * time.Millisecond
)

// ProbeIndirectly asks other entries whether they reach a server, and returns the result of the first that does. A
// server can be cut off from this entry and from the platform, and still serve requests of other entries.
func (l *Leader) ProbeIndirectly(ctx context.Context, server *backend.Server) (link.ProbeResult, bool) {
	answers := make(chan link.ProbeResult, maxProbers)
	l.mu.Lock()
	l.probes[server.ID] = answers
	asked := 0
	for entry, to := range l.followers {
		if asked == maxProbers {
			break
		}
		if l.isolated[entry] {
			continue
		}
		to.Send(link.Down{Probe: &link.Probe{Server: server.ID, Address: server.Address}})
		asked++
	}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.probes, server.ID)
		l.mu.Unlock()
	}()
	timeout := time.After(probeTimeout)
	for range asked {
		select {
		case result := <-answers:
			if result.Answered {
				return result, true
			}
		case <-timeout:
			return link.ProbeResult{}, false
		case <-ctx.Done():
			return link.ProbeResult{}, false
		}
	}
	return link.ProbeResult{}, false
}

func (l *Leader) handleProbeResult(result link.ProbeResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	answers, ok := l.probes[result.Server]
	if !ok {
		return // the probe has ended
	}
	select {
	case answers <- result:
	default:
	}
}
