// Package domain describes the location of VMs and entries, and determines which live entry owns a key.
// Ownership is computed, never stored: all entries with the same set of live entries compute the same
// owner. Two entries with different sets may both believe that they own a key. Every invariant that must
// hold nevertheless is enforced by a conditional write or by the backend server (see docs/DESIGN.md).
package domain

import (
	"github.com/cespare/xxhash/v2"
)

// FailureDomain names a set of VMs of one place that may fail together.
type FailureDomain string

// FabricDomain names a set of VMs that share a fast interconnect. A group never spans two fabric domains.
type FabricDomain string

// Place names a region. The latency between entries and backend servers of one place is milliseconds.
type Place string

// Position is the location of a VM. It is comparable.
type Position struct {
	Place         Place         `json:"place" cbor:"1,keyasint"`
	FailureDomain FailureDomain `json:"failure_domain" cbor:"2,keyasint"`
	FabricDomain  FabricDomain  `json:"fabric_domain,omitempty" cbor:"3,keyasint,omitempty"`
}

// Owner returns the owner of key among names by rendezvous hashing, or "" if names is empty. Removing
// a name changes the owner only of the keys that it owned.
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

// Owners returns up to count owners of key in order of preference.
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

// mix applies another round of mixing to the hash, because short inputs that differ in a few bits only must
// not favour one name.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
