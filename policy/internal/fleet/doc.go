// Package fleet simulates, in virtual time, many fronts that send requests to many groups of backend
// servers, and compares two ways to limit how many requests are in progress on a group. With homes, each
// group has a home, the one entry that queues the group's requests and sends them to its backend
// servers, and holds its concurrency limit. With local limits, the fronts send to the groups directly,
// and each front has a limit of its own for each group. The package is test support: no production code
// imports it.
package fleet
