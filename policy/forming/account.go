package forming

// computeCosts fills in the two costs of the domain: wanted groups that do not serve, and accelerators of
// live VMs that are in no serving group.
func (p *planner) computeCosts() {
	serving := make(map[string]int)
	busy := make(map[string]bool)
	for i := range p.view.Groups {
		g := &p.view.Groups[i]
		if !p.isServing(g) {
			continue
		}
		serving[g.Service]++
		for _, m := range g.Members {
			busy[m.VM] = true
		}
	}
	for name, target := range p.plan.Targets {
		if down := target - serving[name]; down > 0 {
			p.plan.DownGroups[name] += down
		}
	}
	for _, vm := range p.view.VMs {
		if vm.Listed && vm.Responding && !vm.Leaving && !busy[vm.Name] {
			p.plan.StrandedAccelerators += vm.Accelerators
		}
	}
}
