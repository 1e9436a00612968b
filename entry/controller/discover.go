package controller

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/domain"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/vm"
)

// DiscoverEveryRounds is the number of rounds between two searches for new fabric domains. New domains come with
// new racks, so half a minute is soon enough, and the list of all VMs is the largest read of all.
const DiscoverEveryRounds = 30

// Discover creates an empty placement for each fabric domain that has none. One entry does this for all, so that
// not every entry reads the list of all VMs. The others learn of the domains from the placement objects,
// which every entry mirrors.
func (c *Controller) Discover(ctx context.Context) {
	if domain.Owner("controller/discover", c.Membership.Live()) != c.Membership.Self() || !c.discoveryDue() {
		return
	}
	changes, err := c.Store.List(ctx, platform.KindVMs)
	if err != nil {
		c.retryDiscovery()
		c.Log.WithError(err).Warn("can't list the VMs to look for new fabric domains")
		return
	}
	known := make(map[string]bool)
	for _, object := range c.Placements.Placements() {
		known[object.Name] = true
	}
	for _, object := range changes.Objects {
		if !known[object.Name] {
			c.createPlacement(ctx, object.Name)
		}
	}
}

func (c *Controller) discoveryDue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	due := c.discoveryRounds%DiscoverEveryRounds == 0
	c.discoveryRounds++
	return due
}

func (c *Controller) retryDiscovery() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.discoveryRounds = 0
}

// createPlacement writes an empty placement without an owner. A conflict means that another entry was faster.
func (c *Controller) createPlacement(ctx context.Context, name string) {
	value, err := json.Marshal(vm.Placement{Nonce: c.NewID()})
	if err != nil {
		return
	}
	version, err := c.Store.Put(ctx, platform.KindPlacement, name, 0, value)
	if err == nil {
		c.OnPlacement(platform.Object{Kind: platform.KindPlacement, Name: name, Version: version, Value: value})
		return
	}
	if !eris.Is(err, platform.ErrConflict) {
		c.retryDiscovery()
		c.Log.WithError(err).WithField("domain", name).Warn("can't create the placement of a new fabric domain")
	}
}
