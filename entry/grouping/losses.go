package grouping

import (
	"time"

	"github.com/skylarkpond/skylarkpond/contract/route"
)

// maxExposureInterval bounds the time that one observation covers: an entry that was paused has observed nothing in the
// meantime.
const maxExposureInterval = time.Second

// lossRate returns the fraction of the VMs in groups that is lost per second, as observed by this entry while it was the
// leader.
func (c *Controller) lossRate(engine *route.Engine, v *view) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	vms := 0
	for _, head := range v.completeHeads {
		model, _ := engine.Model(head.Model) // VMs of a model that is no longer configured are not counted
		vms += model.Size
	}
	c.lossEstimator.ObserveExposure(vms, min(now.Sub(c.exposureObservedAt), maxExposureInterval).Seconds())
	c.exposureObservedAt = now
	return c.lossEstimator.Rate()
}
