// Package limit implements an adaptive concurrency limit: it decides, at the home of a group (the entry that queues
// the group's requests and sends them to its backend servers), how many requests may be in progress on the group.
//
// Load pattern: more requests than a batching engine can serve well, and an engine whose speed changes with the
// lengths of prompts and answers, with its cache, and with the health of its VMs.
//
// A fixed limit fails both ways. If it is too high, every request in the batch slows down all others, the time
// between tokens exceeds its objective, and answers miss their deadlines; an operator sees the token gap follow the
// load. If it is too low, the group idles while requests are rejected; an operator sees rejections while first tokens
// come at once. No fixed number fits a server that may drop to a fifth of its speed.
//
// A Limit compares what callers of the group get, the gap between tokens and the time to the first token, measured at
// the home itself, with the objectives of the service. It does not use the load that engines report, because these
// reports lag. Measurements may be delayed, and a change takes effect only after the requests in progress have ended.
// Therefore each sample carries the number of requests that were in progress when it was taken, and is evidence for
// that number, not for the current limit.
//
// A Limit is not safe for concurrent use: the home must hold a lock.
package limit
