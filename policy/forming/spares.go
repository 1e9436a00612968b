package forming

import "math"

// This file answers the fault pattern of single VMs that go for a while. With a free VM beside it, a
// group that lost a member is whole again after one load; without, its survivors wait for the member to
// return. But a free VM is an accelerator that stands idle, and enough of them would make another
// replica, which also covers for one that is down. The weights of the settings decide: a spare is kept
// while the downtime that it saves is worth more than what stands idle.

// OutShare is the share of time for which a VM is away: over a fleet of 2,520 VMs, 14 a day fail and are
// back after about two hours, and 360 are restarted or replaced and away for about five minutes, which
// makes 28 h + 30 h of 60,480 VM-hours.
const OutShare = 0.001

// sparesWorth returns how many free VMs are worth more idle than in an extra group, for a domain of vms
// VMs with the given accelerators each. The j-th spare is in use while at least j VMs are away, which
// for VMs that go independently is a Poisson tail. Common causes (a rack) take more than any number of
// spares, so they don't count here.
func sparesWorth(s Service, vms, accelerators int) int {
	mean := OutShare * float64(vms)
	below := math.Exp(-mean)
	term := below
	spares := 0
	for spares < vms {
		used := 1 - below
		if s.DowntimeWeight*used <= s.StrandedWeight*float64(accelerators) {
			break
		}
		spares++
		term *= mean / float64(spares)
		below += term
		if used <= 0 {
			break
		}
	}
	return max(spares, s.Spares)
}
