package grouping

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
	policy "github.com/skylarkpond/skylarkpond/policy/grouping"
)

// view is the state of one service during one reconciliation.
type view struct {
	input   policy.Input
	servers map[backend.ID]*backend.Server
	// completeHeads are the heads of the groups that are serving with all their members.
	completeHeads []*backend.Server
	// groups are the VMs of these groups, the head first.
	groups map[backend.ID][]*backend.Server
	// dissolving are the VMs of groups that are being dissolved.
	dissolving map[backend.ID]bool
	// incomplete are the groups that are serving although they are incomplete.
	incomplete []incompleteGroup
}

// incompleteGroup is a group whose head may be serving although a member is missing or leaving.
type incompleteGroup struct {
	key  backend.GroupKey
	head *backend.Server
	// cancel reports that a member is gone, so that no request in progress can complete.
	cancel bool
	reason string
}

// observe divides the VMs into those in serving groups, those that a task is working on, and those that are free.
func (c *Controller) observe(ctx context.Context, service route.Service, servers []*backend.Server) *view {
	engine := service.Engine
	models := c.policyModels(service)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	v := &view{
		servers: make(map[backend.ID]*backend.Server, len(servers)), groups: make(map[backend.ID][]*backend.Server), dissolving: make(map[backend.ID]bool),
	}
	members := make(map[backend.GroupKey][]*backend.Server)
	for _, server := range servers {
		v.servers[server.ID] = server
		c.noteModel(server)
		if server.Group.Name != "" {
			members[server.Group.GroupKey] = append(members[server.Group.GroupKey], server)
		}
	}
	c.prune(now, c.deps.Listing().Servers)
	assigned := c.classifyGroups(ctx, engine, members, v, now)
	v.input.Models = models
	v.input.Domains = c.domains(servers, assigned, v.dissolving, now)
	c.addServing(v)
	return v
}

// classifyGroups returns the VMs of groups that are opened, serving or being dissolved: the heads of complete groups with the
// group's model, all others with an empty string. It adds the complete and the incomplete groups to v.
func (c *Controller) classifyGroups(
	ctx context.Context, engine *route.Engine, members map[backend.GroupKey][]*backend.Server, v *view, now time.Time,
) map[backend.ID]string {
	assigned := make(map[backend.ID]string)
	for _, group := range c.opened {
		for _, member := range group.members {
			assigned[member.ID] = ""
		}
	}
	for key, list := range members {
		if c.anyEvacuated(list) {
			continue // nothing may be sent to find out how it is; it is dealt with once the evacuation has ended
		}
		if c.dissolving[key] {
			// The task that dissolves the group is sending orders to its head.
			for _, member := range list {
				assigned[member.ID] = ""
				v.dissolving[member.ID] = true
			}
			continue
		}
		head := findHead(list)
		if _, dissolved := c.dissolvedAt[key]; dissolved || head == nil || !(head.Group.State.Serving() || c.openedHere(key)) {
			continue
		}
		model := head.Model
		for _, member := range list {
			assigned[member.ID] = ""
		}
		if reason, cancel := c.incompleteReason(ctx, engine, key, list, model, now); reason != "" {
			v.incomplete = append(v.incomplete, incompleteGroup{key: key, head: head, cancel: cancel, reason: reason})
			continue
		}
		c.recordComplete(engine, key, model, list, now)
		v.completeHeads = append(v.completeHeads, head)
		v.groups[head.ID] = byRank(list)
		assigned[head.ID] = model
	}
	return assigned
}

// addServing adds the serving groups to their domains.
func (c *Controller) addServing(v *view) {
	for i := range v.input.Domains {
		domain := &v.input.Domains[i]
		for _, head := range v.completeHeads {
			if string(head.Fabric) != domain.Name {
				continue
			}
			group := policy.ServingGroup{Head: string(head.ID), Model: head.Model}
			for _, member := range v.groups[head.ID] {
				group.VMs = append(group.VMs, c.policyVM(member))
			}
			domain.Serving = append(domain.Serving, group)
		}
		slices.SortFunc(domain.Serving, func(a, b policy.ServingGroup) int { return cmp.Compare(a.Head, b.Head) })
	}
}

func byRank(members []*backend.Server) []*backend.Server {
	return slices.SortedFunc(slices.Values(members), func(a, b *backend.Server) int { return cmp.Compare(a.Group.Rank, b.Group.Rank) })
}

func findHead(members []*backend.Server) *backend.Server {
	for _, member := range members {
		if member.Group.Rank == 0 {
			return member
		}
	}
	return nil
}

func (c *Controller) openedHere(key backend.GroupKey) bool {
	_, ok := c.opened[key]
	return ok
}

// incompleteReason returns the reason why a serving group is incomplete, or an empty string. cancel reports that its requests
// can't complete.
func (c *Controller) incompleteReason(
	ctx context.Context, engine *route.Engine, key backend.GroupKey, members []*backend.Server, model string, now time.Time,
) (reason string, cancel bool) {
	delete(c.responsiveUnregistered, key)
	if known, ok := engine.Model(model); ok && len(members) < known.Size {
		if reason := c.missingMember(ctx, key, members, now); reason != "" {
			return reason, true
		}
	}
	for _, member := range members {
		if c.isSilent(member.ID, now) {
			return "member " + string(member.ID) + " does not answer", true
		}
	}
	for _, member := range members {
		if member.Leaving {
			return "member " + string(member.ID) + " is leaving", false
		}
	}
	return "", false
}

// domains returns the fabric domains with their free VMs and the number of groups per model.
func (c *Controller) domains(
	servers []*backend.Server, assigned map[backend.ID]string, dissolving map[backend.ID]bool, now time.Time,
) []policy.Domain {
	byName := make(map[string]*policy.Domain)
	for _, server := range servers {
		if c.evacuated(server) {
			continue
		}
		name := string(server.Fabric)
		domain := byName[name]
		if domain == nil {
			domain = &policy.Domain{Name: name, Groups: make(map[string]int)}
			byName[name] = domain
		}
		if server.Leaving {
			continue
		}
		domain.Total++
		if dissolving[server.ID] {
			domain.DissolvingVMs++
		}
		if model, inGroup := assigned[server.ID]; inGroup {
			if model != "" {
				domain.Groups[model]++
			}
			continue
		}
		if model, forming := c.forming[server.ID]; forming {
			if model != "" {
				domain.Groups[model]++
			}
			continue
		}
		if c.isSilent(server.ID, now) || now.Before(c.backoffUntil[server.ID]) {
			continue
		}
		domain.Free = append(domain.Free, c.policyVM(server))
	}
	sorted := make([]policy.Domain, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		sorted = append(sorted, *byName[name])
	}
	return sorted
}

func (c *Controller) evacuated(server *backend.Server) bool {
	return c.deps.Evacuated != nil && c.deps.Evacuated(server)
}

func (c *Controller) anyEvacuated(members []*backend.Server) bool {
	return slices.ContainsFunc(members, c.evacuated)
}

// policyVM must be called with c.mu held.
func (c *Controller) policyVM(server *backend.Server) policy.VM {
	vm := policy.VM{ID: string(server.ID), Loaded: c.loadedModel(server)}
	_, vm.WarmFailed = c.warmRetryAt[server.ID]
	vm.Cold = c.deps.Cold != nil && c.deps.Cold(server)
	if len(server.Staged) > 0 {
		vm.Staged = server.Staged[len(server.Staged)-1]
	}
	if load, ok := c.staging[server.ID]; ok {
		vm.Staging = load.model
	}
	return vm
}

// loadedModel returns the model of a VM's last group. The registration contains it only while the VM is in a group.
func (c *Controller) loadedModel(server *backend.Server) string {
	if last, ok := c.lastModels[server.ID]; ok && server.Model == "" && last.born == server.StartedAtMillis {
		return last.model
	}
	return server.Model
}

// noteModel must be called with c.mu held.
func (c *Controller) noteModel(server *backend.Server) {
	if server.Model != "" {
		c.lastModels[server.ID] = groupModel{model: server.Model, born: server.StartedAtMillis}
	}
}

// prune removes outdated entries. It must be called with c.mu held.
func (c *Controller) prune(now time.Time, servers map[backend.ID]*backend.Server) {
	for key, group := range c.opened {
		if openingListed(servers, group.members, key) {
			delete(c.opened, key)
		}
	}
	for id, at := range c.unreachableAt {
		if now.Sub(at) > unreachableTTL {
			delete(c.unreachableAt, id)
		}
	}
	for key, at := range c.dissolvedAt {
		if now.Sub(at) > dissolvedTTL {
			delete(c.dissolvedAt, key)
		}
	}
	c.pruneComplete(now)
	c.pruneRefusals(now)
	for id, until := range c.backoffUntil {
		if now.After(until) {
			delete(c.backoffUntil, id)
		}
	}
	for id := range c.lastModels {
		if servers[id] == nil {
			delete(c.lastModels, id)
		}
	}
	for id, until := range c.warmRetryAt {
		if now.After(until) {
			delete(c.warmRetryAt, id)
		}
	}
	for id, load := range c.staging {
		finished := load.finished(servers[id])
		if finished {
			c.loads.release(load.end)
		}
		if finished || now.After(load.until) {
			delete(c.staging, id)
		}
	}
}

// finished reports whether a registration shows that the load has ended. A missing registration shows nothing.
func (l pendingLoad) finished(server *backend.Server) bool {
	if server == nil {
		return false
	}
	staged := server.HasStaged(l.model) || (l.model == unknownModel && len(server.Staged) > 0)
	return staged || server.StartedAtMillis != l.born
}

// dissolvedTTL is how long a dissolved group may still be listed as open. If the group was not dissolved after all, it is
// processed again after that.
const dissolvedTTL = 5 * time.Second

// openingListed reports whether the registrations reflect the opening of a group: its head is listed as serving, or one of its
// members is gone or was restarted.
func openingListed(servers map[backend.ID]*backend.Server, members []*backend.Server, key backend.GroupKey) bool {
	for _, member := range members {
		server := servers[member.ID]
		if server == nil || server.StartedAtMillis != member.StartedAtMillis {
			return true
		}
	}
	head := servers[members[0].ID]
	return head.Group.GroupKey == key && head.Group.State.Serving()
}

// Bounds of the measured demand relative to the configured share. The minimum keeps some groups of a model that currently
// receives no requests.
const (
	minDemandFactor = 0.4
	maxDemandFactor = 2.5
)

// policyModels derives each model's share from the measured demand, or from the configuration until the demand is known.
func (c *Controller) policyModels(service route.Service) []policy.Model {
	models := make([]policy.Model, 0, len(service.Engine.Models))
	demandVMs := make([]float64, 0, len(service.Engine.Models))
	totalVMs := 0.0
	for _, model := range service.Engine.Models {
		demand := c.deps.DemandGroups(service.Name, model.Name)
		models = append(models, policy.Model{Name: model.Name, Size: model.Size, Share: model.DemandShare, LoadTime: model.LoadTime, DemandGroups: demand})
		modelVMs := demand * float64(model.Size)
		demandVMs = append(demandVMs, modelVMs)
		totalVMs += modelVMs
	}
	for i := range models {
		if totalVMs > 0 && models[i].Share > 0 {
			measuredShare := demandVMs[i] / totalVMs
			models[i].Share = min(max(measuredShare, minDemandFactor*models[i].Share), maxDemandFactor*models[i].Share)
		}
	}
	return models
}
