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
	l.lastProbe++
	number := l.lastProbe
	l.probes[number] = indirectProbe{server: server.ID, answers: answers}
	asked := 0
	for entry, to := range l.followers {
		if asked == maxProbers {
			break
		}
		if l.isolated[entry] {
			continue
		}
		to.Send(link.Down{Probe: &link.Probe{Server: server.ID, Address: server.Address, Number: number}})
		asked++
	}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.probes, number)
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

// indirectProbe is a probe whose results are awaited. Several of one server may be in progress.
type indirectProbe struct {
	server  backend.ID
	answers chan link.ProbeResult
}

func (l *Leader) handleProbeResult(result link.ProbeResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for number, probe := range l.probes {
		if probe.server != result.Server || result.Number != 0 && result.Number != number {
			continue
		}
		select {
		case probe.answers <- result:
		default:
		}
	}
}
