package admission

import (
	"time"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/policy/fairqueue"
)

// client is the name of this home in policy/backoff: all requests of a group pass through it.
const client = ""

// Pause implements home.Permit.
func (p *permit) Pause(length time.Duration) { p.group.pause(p.admission.now(), length) }

// pause has the group sent nothing for a time, and one request at a time after that until it has accepted one.
func (g *group) pause(now, length time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.backoff.Reject(now, client, length)
}

// accepted records that the group has accepted a request.
func (g *group) accepted(now time.Duration, p *permit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.backoff.Accept(now, p.admittedAt)
}

// permitted returns how many more requests the group may be sent now, out of a number. It must be called with g.mu held.
func (g *group) permitted(now time.Duration, more int) int {
	allowed, probe := g.backoff.Allows(now, client)
	switch {
	case !allowed:
		return 0
	case probe:
		return min(more, 1)
	}
	return more
}

// pausedBeyond returns the refusal of a request that may not wait until the group may be sent requests again. It must be called with g.mu held.
func (g *group) pausedBeyond(now, maxWait time.Duration) (refused fairqueue.Verdict, paused bool) {
	left := g.backoff.Paused(now, client) - now
	if left <= maxWait {
		return fairqueue.Verdict{}, false
	}
	return fairqueue.Verdict{Decision: fairqueue.Refused, Code: codePaused, Wait: left, RetryAfter: left}, true
}

// codePaused is the code of refusals because the group wants no requests.
const codePaused fairqueue.Code = "paused"

// pausedProblem returns the problem of a request that is refused because its group wants no requests.
func pausedProblem(verdict fairqueue.Verdict) *contract.Problem {
	return contract.NewRetryLater(contract.CodeBackendRefused, "the backend server wants no requests for a while", verdict.RetryAfter)
}
