// Package playback is a discrete-event simulator that runs synthetic load against the policies of this module in virtual time. It is test
// support and is not imported by production code.
//
// It contains an event loop, a simple model of a batching inference engine, a request generator, the load scenarios that the policies are
// designed for, and a summary of what callers observe. It is deterministic: the same seed yields the same results on every run.
package playback
