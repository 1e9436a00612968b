package catalog

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/internal/wait"
	policy "github.com/skylarkpond/skylarkpond/policy/outage"
)

// outage lets one follower at a time ask a platform that fails; the others go on once it is back. The zero value is ready.
type outage struct {
	mu sync.Mutex // guards what follows; a leaf lock
	// failures counts the calls that failed in a row.
	failures int
	// next is when the platform may be asked again.
	next time.Time
}

// outageLook is how often a follower that waits looks whether it may ask.
const outageLook = 50 * time.Millisecond

// wait returns when its caller may ask the platform, or false when ctx has ended.
func (o *outage) wait(ctx context.Context) bool {
	for !o.mayAsk() {
		if !wait.Pause(ctx, outageLook) {
			return false
		}
	}
	return true
}

func (o *outage) mayAsk() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failures == 0 {
		return true
	}
	if time.Now().Before(o.next) {
		return false
	}
	o.next = time.Now().Add(policy.MaxPause) // the others wait for the outcome of this call
	return true
}

func (o *outage) failed() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failures++
	o.next = time.Now().Add(policy.Backoff(o.failures, rand.Float64()))
}

func (o *outage) over() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failures = 0
}
