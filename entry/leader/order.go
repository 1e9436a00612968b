package leader

import (
	"fmt"
	"time"

	policy "github.com/skylarkpond/skylarkpond/policy/turns"
)

// This file concerns the order of requests by team; see policy/turns/fair.go.

// schedulerConfig returns the thresholds of the scheduler.
func schedulerConfig(deps Deps) policy.Config {
	config := policy.DefaultConfig()
	config.FairTeams = deps.FairTeams
	return config
}

// describeOrder returns how the order by team contributed to a rejection, for the log; empty if it did not.
func describeOrder(order *policy.RejectionOrder) string {
	if order == nil {
		return ""
	}
	text := fmt.Sprintf(", team %q has %d in progress", order.Team, order.Running)
	if order.Overtaken {
		text += " and was overtaken"
	}
	if order.Latest {
		return text + ", no slot is left for a retry in time"
	}
	return text + fmt.Sprintf(", a slot is left for a retry in %v", order.Place.Round(time.Millisecond))
}
