package grouping

import (
	"time"

	"github.com/skylarkpond/skylarkpond/contract/route"
)

// watchedMost bounds what one look counts: an entry that stood still has seen nothing meanwhile.
const watchedMost = time.Second

// lossRate is the part of the VMs in groups that is lost in a second, by what this entry has seen while it was in charge.
func (c *Controller) lossRate(engine *route.Engine, v *view) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	vms := 0
	for _, head := range v.whole {
		model, _ := engine.Model(head.Model) // one that is no longer configured counts no VMs
		vms += model.Size
	}
	c.losses.ObserveExposure(vms, min(now.Sub(c.watched), watchedMost).Seconds())
	c.watched = now
	return c.losses.Rate()
}
