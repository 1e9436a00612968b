// Package playback plays load against the decisions of module policy in virtual time. It is test
// support: nothing that serves imports it.
//
// It holds an event loop, a small model of a batching engine, a generator of requests, the patterns of
// load that the decisions answer, and the figures that a caller would notice. Everything is
// deterministic: the same seed gives the same figures on every run.
package playback
