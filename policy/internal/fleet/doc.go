// Package fleet compares, in virtual time, two ways to hold the limits of many groups of backend servers
// behind many fronts: a home for each group, which holds its limit and its queue, and fronts that send to
// every group themselves, each with a limit of its own for each group. It is test support: nothing that
// serves imports it.
package fleet
