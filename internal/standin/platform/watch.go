package platform

import (
	"context"
	"net/http"
	"time"

	"github.com/skylarkpond/skylarkpond/link/platform"
)

// lagStep is how often a watch of lagging objects looks again.
const lagStep = 10 * time.Millisecond

func (p *Platform) watch(request *http.Request, kind platform.Kind, _ string) (any, error) {
	after, err := number(request, "after")
	if err != nil {
		return nil, err
	}
	dropped := p.faults.dropped()
	ctx, cancel := context.WithTimeout(request.Context(), p.watchWait)
	defer cancel()
	for {
		changes, next := p.changes(kind, after)
		if len(changes.Objects) > 0 || changes.Complete {
			return p.perhapsRepeated(kind, changes), nil
		}
		select {
		case <-next:
		case <-p.lagTick(kind):
		case <-dropped:
			dropConnection()
		case <-ctx.Done():
			return changes, nil
		}
	}
}

// changes returns what a watch sees now, and a channel that closes when it may see more.
func (p *Platform) changes(kind platform.Kind, after platform.Version) (platform.Changes, <-chan struct{}) {
	changes, next := p.table.after(kind, after)
	lag := p.lagOf(kind)
	if lag <= 0 {
		return changes, next
	}
	seen := p.table.asOf(kind, time.Now().Add(-lag))
	if seen.Revision <= after {
		return platform.Changes{Revision: after}, next
	}
	return seen, next
}

// lagTick returns a channel that fires soon if the kind lags, else never.
func (p *Platform) lagTick(kind platform.Kind) <-chan time.Time {
	if p.lagOf(kind) <= 0 {
		return nil
	}
	return time.After(lagStep)
}

// perhapsRepeated puts old changes before the new ones, if that switch is on.
func (p *Platform) perhapsRepeated(kind platform.Kind, changes platform.Changes) platform.Changes {
	if !p.faults.repeatsChanges() {
		return changes
	}
	repeated := make([]platform.Object, 0, len(changes.Objects))
	for _, change := range p.table.past() {
		if change.Kind == kind {
			repeated = append(repeated, change.Object)
		}
	}
	changes.Objects = append(repeated, changes.Objects...)
	changes.Complete = false
	return changes
}
