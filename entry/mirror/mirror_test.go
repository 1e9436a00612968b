package mirror

import (
	"context"
	"encoding/json"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/skylarkpond/skylarkpond/link/platform"
)

func TestMirror(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Mirror")
}

func tree(version platform.Version) platform.Object {
	return platform.Object{
		Kind: platform.KindSettings, Name: platform.SettingsName, Version: version, Value: json.RawMessage(`{}`),
	}
}

// Watches repeat old changes, peers lag behind, and pulls cross each other, so that an older copy of
// the settings arrives after a newer one. An operator would see an accepted change revert.
func TestVersionNeverGoesDown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		highest := platform.Version(0)
		for _, version := range rapid.SliceOf(rapid.Uint64Range(1, 20)).Draw(t, "arrivals") {
			m.Offer(tree(platform.Version(version)))
			highest = max(highest, platform.Version(version))
			if got := m.Version(platform.KindSettings, platform.SettingsName); got != highest {
				t.Fatalf("version %d after %d had been seen", got, highest)
			}
		}
	})
}

var _ = Describe("Mirror", func() {
	It("takes what a complete list leaves out as deleted, unless it is newer than the list", func() {
		m := New()
		m.Offer(
			platform.Object{Kind: platform.KindEntry, Name: "old", Version: 3},
			platform.Object{Kind: platform.KindEntry, Name: "new", Version: 9},
		)
		m.OfferChanges(platform.KindEntry, platform.Changes{Revision: 5, Complete: true})
		names := []string{}
		for _, object := range m.All(platform.KindEntry) {
			names = append(names, object.Name)
		}
		Expect(names).To(Equal([]string{"new"}))
	})
})

// fleet is a set of mirrors that reach each other by function calls.
type fleet struct {
	mu        sync.Mutex
	followers map[string]*Follower
	announced int
}

type fleetPeers struct {
	fleet *fleet
	self  string
}

func (p fleetPeers) Self() string { return p.self }

func (p fleetPeers) Live() []string {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	var names []string
	for name := range p.fleet.followers {
		names = append(names, name)
	}
	return names
}

func (p fleetPeers) Announce(Ref) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.fleet.announced++
}

func (p fleetPeers) Pull(_ context.Context, from string, refs []Ref) ([]platform.Object, error) {
	return p.fleet.followers[from].mirror.Pick(refs), nil
}

func (p fleetPeers) Compare(_ context.Context, with string, digests []Digest) ([]Ref, error) {
	return p.fleet.followers[with].Differing(digests), nil
}

var _ = Describe("Follower", func() {
	// A rumour can be lost: a link is cut while it passes. The entry would serve under an old settings
	// version until the next change. Comparing with any peer that has the newer one brings it.
	It("heals a lost announcement by comparing with a peer", func() {
		fleet := &fleet{followers: map[string]*Follower{}}
		for _, name := range []string{"a", "b"} {
			fleet.followers[name] = NewFollower(New(), nil, fleetPeers{fleet, name})
		}
		a, b := fleet.followers["a"], fleet.followers["b"]
		a.Took(tree(7))
		Expect(b.mirror.Version(platform.KindSettings, platform.SettingsName)).To(BeZero())
		b.ReconcileWith(context.Background(), "a")
		Expect(b.mirror.Version(platform.KindSettings, platform.SettingsName)).To(Equal(platform.Version(7)))
		Expect(b.Digests()).To(Equal(a.Digests()))
	})
})
