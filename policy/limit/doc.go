// Package limit decides, at the home of a group, how many requests may be at work on it.
//
// The pattern of load: more requests than a batching engine can serve well, and an engine whose speed
// changes with the lengths of prompts and answers, with the cache, and with the health of its VMs.
//
// Without it, with a fixed limit: too high, and every request in the batch slows all others down, the gap
// between tokens passes the objective and answers miss their deadlines; too low, and the group idles while
// requests are refused. No fixed number is right for a server that drops to a fifth of its speed. An
// operator would notice that the gap between tokens follows the load, or that requests are refused while
// first tokens come at once.
//
// A Limit follows what callers of the group get, the gap between tokens and the time to the first token,
// measured at the home itself, against the objectives of the service. It does not use the load that
// engines report, which lags. What was measured may still reach it late, and a change shows its
// effect only once the requests at work have ended: each sample says how many requests were at work when
// it was taken, and counts as evidence for that number, not for the present limit.
//
// A Limit is not safe for concurrent use: the home locks.
package limit
