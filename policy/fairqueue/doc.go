// Package fairqueue decides, at the home of a group, which request is sent now, which waits and for how
// long, and which is turned away.
//
// The pattern of load: many teams share a group, a few of them send most of the work, and for seconds
// or minutes more arrives than the group can carry.
//
// Without it, one list, first in first out: the team that sends most takes the group, every other
// team waits behind its backlog, and requests wait until their callers have gone, so that the group
// works on answers that nobody reads. An operator would notice that all teams are slow at once when one
// of them runs a batch, and that requests time out rather than being refused.
//
// A Queue divides the group by work, not by count (start-time fair queueing over estimated tokens),
// keeps a part for short requests, bounds the wait and the length, and refuses at once what it expects
// not to meet its deadline. Nothing is held back to discourage retries: a refusal is immediate, and its
// Retry-After comes from the measured rate at which the queue drains.
//
// A Queue is not safe for concurrent use: the home locks.
package fairqueue
