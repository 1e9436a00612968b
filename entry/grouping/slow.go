package grouping

import (
	"context"
	"strconv"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
)

const (
	// minSlowdown is the slowdown of a VM from which its group counts as slow. VMs differ by some tens of percent.
	minSlowdown = 1.5
	// slowRecheckInterval is how often a slow group is checked.
	slowRecheckInterval = time.Second
)

// slowGroup is a group with a VM that works slower than normal. The whole group works at the pace of that VM.
type slowGroup struct {
	slowdown  float64
	checkedAt time.Time
}

// Slowdown returns the factor by which a group works slower than normal, 1 or more, as of its last check.
func (c *Controller) Slowdown(key backend.GroupKey) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(1, c.slow[key].slowdown)
}

// recordSlowdown records the result of a check: the slowest VM of a group, and its slowdown.
func (c *Controller) recordSlowdown(key backend.GroupKey, vm backend.ID, slowdown float64) {
	c.mu.Lock()
	_, was := c.slow[key]
	is := slowdown >= minSlowdown
	delete(c.slow, key)
	if is {
		c.slow[key] = slowGroup{slowdown: slowdown, checkedAt: time.Now()}
	}
	c.mu.Unlock()
	switch {
	case is && !was:
		c.deps.OnEvent(Event{Kind: GroupSlow, Group: key, VM: vm, Detail: strconv.FormatFloat(slowdown, 'f', 1, 64) + " times slower"})
	case was && !is:
		c.deps.OnEvent(Event{Kind: GroupNormal, Group: key})
	}
}

// checkSlowGroups checks the slow groups again. No request may run on them that would show that they are no longer slow.
func (c *Controller) checkSlowGroups(ctx context.Context) {
	c.mu.Lock()
	var due []backend.GroupKey
	for key, group := range c.slow {
		if time.Since(group.checkedAt) >= slowRecheckInterval {
			due = append(due, key)
		}
	}
	c.mu.Unlock()
	for _, key := range due {
		if len(c.listedMembers(key)) == 0 {
			c.mu.Lock()
			delete(c.slow, key)
			c.mu.Unlock()
			continue
		}
		c.Suspect(ctx, key)
	}
}
