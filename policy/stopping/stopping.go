// Package stopping decides which requests a process that is being stopped still serves, and until when.
//
// Load pattern: callers keep connections and addresses for a while after the process was asked to stop, and go on sending requests. The process is
// killed when its grace period ends. A request that is still in progress then ends without an answer, although another process could have served it,
// or it could have been rejected as not run.
package stopping

import "time"

const (
	// maxAcceptTime is the longest time for which all requests are served; half of the grace period is the limit in any case. A stream may last
	// nearly as long as the grace period. Operators tolerate that one is cut that was sent up to 3 s after the request to stop.
	maxAcceptTime = 2800 * time.Millisecond
	// exitMargin is the part of the grace period that is left unused, so that the process exits before it is killed.
	exitMargin = 300 * time.Millisecond
	// answerMargin is the time before the exit in which the requests that are left are answered. There may be hundreds, on a VM with a share of a core.
	answerMargin = 700 * time.Millisecond
	// marginDivisor limits both margins to that part of a short grace period.
	marginDivisor = 8
)

// Plan holds the times of a stop, counted from the request to stop.
type Plan struct {
	// Accept is how long all requests are served.
	Accept time.Duration
	// Answer is when the requests that are left are ended with an answer.
	Answer time.Duration
	// Exit is when the process exits at the latest.
	Exit time.Duration
}

// NewPlan returns the plan for a grace period, after which the process is killed.
func NewPlan(grace time.Duration) Plan {
	exit := grace - min(exitMargin, grace/marginDivisor)
	return Plan{Accept: min(maxAcceptTime, grace/2), Answer: exit - min(answerMargin, grace/marginDivisor), Exit: exit}
}

// Accepts reports whether a request is served that arrives a time after the request to stop and must be answered within timeLeft. Later than Accept,
// only requests are that can take all their time.
func (p Plan) Accepts(elapsed, timeLeft time.Duration) bool {
	return elapsed < p.Accept || elapsed+timeLeft <= p.Answer
}
