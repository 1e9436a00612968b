package fairqueue

import "time"

// Item is a request as the queue sees it. Times count from the same arbitrary start as the now that the
// queue is given.
type Item struct {
	// ID is unique among the requests of the home.
	ID   string
	Team string
	// Share is the team's weight; at most 0 counts as MinShare. Priority is the team's, 0 (lowest) to 9.
	Share    float64
	Priority int
	// Work is the estimated work in tokens; at least 1. Calls of a plain service have PlainWork.
	Work int
	// MinWork is the work that a request takes at least, as far as can be told; 0: Work. Callers name a bound on
	// the length of the answer that is often far above the answer: it is what the team is charged until the
	// request is done, but no reason to call the deadline too near.
	MinWork int
	// Deadline is when the caller stops waiting for the whole answer.
	Deadline time.Duration
	// Jitter is a random number, 0 up to 1, drawn by the caller of Offer: it spreads Retry-After.
	Jitter float64
}

// MinShare is the smallest weight that counts: a team set to less is still served.
const MinShare = 0.01

// Decision is what is done with an offered item.
type Decision int

// The decisions.
const (
	// Admitted: send it now. It holds a slot until Done.
	Admitted Decision = iota + 1
	// Queued: Next or Expire will return it, unless Remove takes it out.
	Queued
	// Refused: it was not taken and will not be sent.
	Refused
)

// Code says why an item was refused. The values are those that callers are told.
type Code string

// The codes.
const (
	// CodeOverloaded: it would wait too long, or the queue is full.
	CodeOverloaded Code = "overloaded"
	// CodeDeadline: it is not expected to be whole before its deadline.
	CodeDeadline Code = "deadline-too-near"
	// CodeDuplicate: an item with this ID is queued or at work.
	CodeDuplicate Code = "duplicate"
)

// Verdict is the answer to an offer.
type Verdict struct {
	Decision Decision
	// Wait is how long the item is expected to wait, also when it was refused for it.
	Wait time.Duration
	// Code and RetryAfter are set for Refused; RetryAfter is 0 where coming back later does not help.
	Code       Code
	RetryAfter time.Duration
}

// class tells short items from long ones.
type class int

const (
	short class = iota
	long
	classes
)

func (c *Config) classOf(work int) class {
	if work > c.ShortWork {
		return long
	}
	return short
}

// least is the work by which a deadline is judged.
func (i *Item) least() int {
	if i.MinWork > 0 {
		return min(i.MinWork, i.Work)
	}
	return i.Work
}
