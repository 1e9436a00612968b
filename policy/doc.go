// Package policy contains the decisions that the system makes under load: which requests are admitted,
// which wait and for how long, which are refused, where work is sent, and how fast the system adapts to
// change.
//
// Everything in it is a pure function or a small state machine. Time and randomness are passed in as
// arguments, and no code here uses the network, a clock, a logger or a goroutine; CI enforces this. State
// machines are not safe for concurrent use: their owners synchronize access.
package policy
