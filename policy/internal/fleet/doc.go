// Package fleet simulates, in virtual time, many fronts that send requests to many groups of backend
// servers, and compares two ways to limit how many requests are in progress on a group. With homes, each
// group has one process, its home, which holds the concurrency limit and the queue of the group. With local
// limits, the fronts send to the groups directly, and each front has a limit of its own for each group. The
// package is test support: no production code imports it.
package fleet
