package platform

import (
	"context"
	"net/http"
	"time"

	"github.com/skylarkpond/skylarkpond/link/platform"
)

// lagPollInterval is the interval at which a watch of a lagging kind checks for changes.
const lagPollInterval = 10 * time.Millisecond

// watch returns the changes of a kind after a revision. If there are none, it waits up to watchWait for one.
func (p *Platform) watch(request *http.Request, kind platform.Kind, _ string) (any, error) {
	after, err := versionParameter(request, "after")
	if err != nil {
		return nil, err
	}
	dropped := p.faults.watchesDropped()
	ctx, cancel := context.WithTimeout(request.Context(), p.watchWait)
	defer cancel()
	for {
		changes, next := p.visibleChanges(kind, after)
		if len(changes.Objects) > 0 || changes.Complete {
			return p.withRepeats(kind, changes), nil
		}
		select {
		case <-next:
		case <-p.lagTimer(kind):
		case <-dropped:
			dropConnection()
		case <-ctx.Done():
			return changes, nil
		}
	}
}

// visibleChanges returns the changes visible to a watch now, and a channel that closes at the next change.
func (p *Platform) visibleChanges(kind platform.Kind, after platform.Version) (platform.Changes, <-chan struct{}) {
	changes, next := p.table.changesAfter(kind, after)
	lag := p.listLag(kind)
	if lag <= 0 {
		return changes, next
	}
	seen := p.table.atTime(kind, time.Now().Add(-lag))
	if seen.Revision <= after {
		return platform.Changes{Revision: after}, next
	}
	return seen, next
}

// lagTimer returns a channel that fires after lagPollInterval if the kind lags, and nil otherwise.
func (p *Platform) lagTimer(kind platform.Kind) <-chan time.Time {
	if p.listLag(kind) <= 0 {
		return nil
	}
	return time.After(lagPollInterval)
}

// withRepeats prepends the retained history of the kind if RepeatChanges applies to this answer.
func (p *Platform) withRepeats(kind platform.Kind, changes platform.Changes) platform.Changes {
	if !p.faults.takeRepeat() {
		return changes
	}
	repeated := make([]platform.Object, 0, len(changes.Objects))
	for _, change := range p.table.retainedHistory() {
		if change.Kind == kind {
			repeated = append(repeated, change.Object)
		}
	}
	changes.Objects = append(repeated, changes.Objects...)
	changes.Complete = false
	return changes
}
