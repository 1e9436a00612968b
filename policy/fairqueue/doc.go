// Package fairqueue is the admission queue of one group of backend servers. It decides which request is
// sent now, which one waits and for how long, and which one is refused. The queue runs at the group's home,
// the entry that queues the group's requests and sends them to its backend servers.
//
// The load it is made for: many teams of callers share a group, a few of the teams send most of the work,
// and for seconds or minutes requests arrive faster than the group can serve them.
//
// Under that load a single first-in, first-out queue lets the team that sends most take over the group.
// Every other team waits behind its backlog, and requests wait until their callers have gone, so that the
// group produces answers nobody reads. Operators would see all teams slow down whenever one of them runs a
// batch, and would see timeouts instead of refusals.
//
// A Queue divides the group's capacity by work rather than by request count (start-time fair queueing over
// estimated tokens), reserves slots for short requests, bounds both the wait and the length of the queue,
// and refuses at once any request that it does not expect to meet its deadline. Refusals are never delayed
// to discourage retries; their Retry-After is derived from the measured drain rate of the queue.
//
// A Queue is not safe for concurrent use: the home serializes access with a lock.
package fairqueue
