package fairqueue

import "time"

// Item is a request as the queue sees it. Its times are durations since the same arbitrary origin as the
// now argument of the Queue's methods.
type Item struct {
	// ID is unique among the requests of the home.
	ID string
	// Team is the name of the team that sent the request.
	Team string
	// Share is the team's weight; values below MinShare count as MinShare. Priority is the team's
	// priority, 0 (lowest) to 9.
	Share    float64
	Priority int
	// Work is the estimated work in tokens, at least 1. Calls to a plain service have PlainWork.
	Work int
	// MinWork is the least work that the request is expected to take; 0 means Work. Callers set a bound on
	// the length of the answer that is often far above the actual length. The team is charged the bound
	// until the request is done, but the bound is no reason to refuse the request for its deadline.
	MinWork int
	// Deadline is the time at which the caller stops waiting for the complete answer.
	Deadline time.Duration
	// Jitter is a random number in [0, 1) drawn by the caller of Offer. It spreads the Retry-After of
	// refused items.
	Jitter float64
}

// MinShare is the smallest effective weight: a team configured with less is still served.
const MinShare = 0.01

// Decision is the outcome of Offer for an item.
type Decision int

// The decisions of Offer.
const (
	// Admitted: the item is to be sent now. It holds a slot until Done.
	Admitted Decision = iota + 1
	// Queued: the item waits. Next or Expire returns it later, unless Remove takes it out first.
	Queued
	// Refused: the item was not accepted and will not be sent.
	Refused
)

// Code is the reason for a refusal. Its values are reported to callers.
type Code string

// The reasons for a refusal.
const (
	// CodeOverloaded: the expected wait is too long, or the queue is full.
	CodeOverloaded Code = "overloaded"
	// CodeDeadline: the answer is not expected to be complete before the item's deadline.
	CodeDeadline Code = "deadline-too-near"
	// CodeDuplicate: an item with the same ID is already queued or running.
	CodeDuplicate Code = "duplicate"
)

// Verdict is the result of Offer.
type Verdict struct {
	Decision Decision
	// Wait is the expected wait of the item, also if it was refused because of that wait.
	Wait time.Duration
	// Code and RetryAfter are set for Refused. RetryAfter is 0 if retrying later does not help.
	Code       Code
	RetryAfter time.Duration
}

// class separates short items from long ones.
type class int

const (
	short class = iota
	long
	numClasses
)

// classOf returns the class of an item with the given work.
func (c *Config) classOf(work int) class {
	if work > c.ShortWork {
		return long
	}
	return short
}

// deadlineWork returns the work that is compared with the item's deadline.
func (i *Item) deadlineWork() int {
	if i.MinWork > 0 {
		return min(i.MinWork, i.Work)
	}
	return i.Work
}
