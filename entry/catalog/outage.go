package catalog

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/internal/wait"
	policy "github.com/skylarkpond/skylarkpond/policy/outage"
)

// outage lets only one follower at a time call a failing platform. The others resume once it is available again. The zero
// value is ready for use.
type outage struct {
	mu sync.Mutex // guards the fields below; a leaf lock
	// failures is the number of consecutive failed calls.
	failures int
	// nextCall is when the platform may be called again.
	nextCall time.Time
}

// outagePollInterval is how often a waiting follower checks whether it may call the platform.
const outagePollInterval = 50 * time.Millisecond

// wait returns true once the caller may call the platform, or false if ctx was cancelled.
func (o *outage) wait(ctx context.Context) bool {
	for !o.mayCall() {
		if !wait.Pause(ctx, outagePollInterval) {
			return false
		}
	}
	return true
}

func (o *outage) mayCall() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failures == 0 {
		return true
	}
	if time.Now().Before(o.nextCall) {
		return false
	}
	o.nextCall = time.Now().Add(policy.MaxPause) // the others wait for the outcome of this call
	return true
}

func (o *outage) callFailed() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failures++
	o.nextCall = time.Now().Add(policy.Backoff(o.failures, rand.Float64()))
}

func (o *outage) callSucceeded() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failures = 0
}
