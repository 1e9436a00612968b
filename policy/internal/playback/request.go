package playback

import "time"

// Outcome is what became of a request.
type Outcome int

// The outcomes of a request.
const (
	// Pending: it is still on its way.
	Pending Outcome = iota
	// Answered: the whole answer came within the deadline.
	Answered
	// Refused: it was turned away, without having run.
	Refused
	// Late: it ran, and its deadline passed before the whole answer had come: work for nothing.
	Late
)

// Request is one request and what became of it. Times are virtual.
type Request struct {
	ID   string
	Team *Team
	// Prompt and Output are its true lengths in tokens; Estimate is the work that the front expects.
	Prompt, Output int
	Estimate       int
	// Patience is how long the caller waits for the whole answer.
	Patience time.Duration
	// Spread is the random number that spreads Retry-After.
	Spread float64
	// Front is the front that took it in, where there are several.
	Front int

	Outcome Outcome
	// FirstArrived is the time of the caller's first try, Arrived that of this one.
	FirstArrived, Arrived time.Duration
	Tries                 int
	// Started is when it was sent to the engine, FirstToken when its first token came, Ended when the
	// outcome was known.
	Started, FirstToken, Ended time.Duration

	phase        phase
	promptLeft   int   // prompt tokens that are not prefilled yet
	firstStep    int64 // the step after which it joined the decoding batch
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

// Deadline is when the caller stops waiting for this try.
func (r *Request) Deadline() time.Duration { return r.Arrived + r.Patience }

// Work is the true work in tokens.
func (r *Request) Work() int { return Work(r.Prompt, r.Output) }

// promptTokensPerWork is how many prompt tokens cost as much as one generated token.
const promptTokensPerWork = 6

// Work counts the work of a request in generated tokens; a prompt token costs a sixth of one.
func Work(prompt, output int) int { return output + prompt/promptTokensPerWork }
