// Package domain holds the places where VMs and entries stand, and decides which live entry owns
// what. Ownership is computed, never stored: every entry that sees the same live set names the same
// owner. Two entries with different live sets may both believe they own a key; every rule that must
// hold in spite of that is kept by a conditional write or by the backend server (see docs/DESIGN.md).
package domain

import (
	"github.com/cespare/xxhash/v2"
)

// FailureDomain names a set of VMs that may fail together, within a place.
type FailureDomain string

// FabricDomain names a set of VMs that share a fast fabric. A group never crosses it.
type FabricDomain string

// Place names a region: entries and backend servers of one place are milliseconds apart.
type Place string

// Position says where a VM stands. It is comparable.
type Position struct {
	Place         Place         `json:"place" cbor:"1,keyasint"`
	FailureDomain FailureDomain `json:"failure_domain" cbor:"2,keyasint"`
	FabricDomain  FabricDomain  `json:"fabric_domain,omitempty" cbor:"3,keyasint,omitempty"`
}

// Owner returns the owner of key among names by rendezvous hashing, or "" if names is empty. Removing
// one name moves only the keys that it owned.
func Owner(key string, names []string) string {
	owner := ""
	best := uint64(0)
	for _, name := range names {
		weight := rendezvousWeight(key, name)
		if owner == "" || weight > best || (weight == best && name < owner) {
			owner = name
			best = weight
		}
	}
	return owner
}

// Owners returns up to count owners of key, best first.
func Owners(key string, names []string, count int) []string {
	rest := append([]string(nil), names...)
	owners := make([]string, 0, count)
	for len(owners) < count && len(rest) > 0 {
		next := Owner(key, rest)
		owners = append(owners, next)
		rest = without(rest, next)
	}
	return owners
}

func without(names []string, name string) []string {
	kept := names[:0]
	for _, other := range names {
		if other != name {
			kept = append(kept, other)
		}
	}
	return kept
}

func rendezvousWeight(key, name string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(name)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(key)
	return mix(digest.Sum64())
}

// mix spreads the hash once more, because short inputs that differ in a few bits only must not favour
// one name.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
