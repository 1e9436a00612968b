package playback

import "time"

// Outcome is the result of a request.
type Outcome int

// Outcomes of a request.
const (
	// Pending means that the request has not ended yet.
	Pending Outcome = iota
	// Answered means that the complete answer arrived within the deadline.
	Answered
	// Refused means that the request was refused without having run.
	Refused
	// Late means that the deadline passed while the request was running, before the complete answer arrived, so that its work was wasted.
	Late
)

// Request is a simulated request and its result. All times are virtual.
type Request struct {
	ID   string
	Team *Team
	// Prompt and Output are the actual lengths in tokens. Estimate is the work that the front estimates.
	Prompt, Output int
	Estimate       int
	// Patience is how long the caller waits for the complete answer.
	Patience time.Duration
	// Jitter is a random number in [0, 1). It spreads the Retry-After of refused requests.
	Jitter float64
	// Front is the index of the front, the entry that accepted the request from the client, if several are simulated.
	Front int

	Outcome Outcome
	// FirstArrived is the time of the caller's first try, Arrived that of the current try.
	FirstArrived, Arrived time.Duration
	Tries                 int
	// Started is the time at which the request was sent to the engine, FirstToken that of its first token, and Ended that at which its outcome
	// was known.
	Started, FirstToken, Ended time.Duration

	phase        phase
	promptLeft   int   // prompt tokens not prefilled yet
	firstStep    int64 // number of the step that generated the first token
	onFirstToken func(*Request)
	onFinish     func(*Request)
	heldKV       int
	submitted    uint64
}

type phase int

const (
	notInEngine phase = iota
	waiting
	prefilling
	decoding
)

// Deadline returns the time at which the caller stops waiting for the current try.
func (r *Request) Deadline() time.Duration { return r.Arrived + r.Patience }

// Work returns the actual work of the request in tokens.
func (r *Request) Work() int { return Work(r.Prompt, r.Output) }

// promptTokensPerWork is the number of prompt tokens that cost as much as one generated token.
const promptTokensPerWork = 6

// Work returns the work of a request in generated tokens. A prompt token costs a sixth of a generated one.
func Work(prompt, output int) int { return output + prompt/promptTokensPerWork }
