package grouping

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
	policy "github.com/skylarkpond/skylarkpond/policy/grouping"
)

// view is what one round sees of a service.
type view struct {
	input   policy.Input
	servers map[backend.ID]*backend.Server
	// whole are the heads of groups that serve.
	whole []*backend.Server
	// closing are the VMs of groups that are being dissolved.
	closing map[backend.ID]bool
	// broken are groups that serve and are not whole.
	broken []brokenGroup
}

// brokenGroup is a group whose head may serve although a member is missing or leaving.
type brokenGroup struct {
	key  backend.GroupKey
	head *backend.Server
	// cancel says that a member is gone, so that nothing in progress can end.
	cancel bool
	reason string
}

// look sorts the VMs: those in whole groups, those that tasks work on, and those that are free.
func (c *Controller) look(ctx context.Context, service route.Service, servers []*backend.Server) *view {
	engine := service.Engine
	models := c.policyModels(service)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	v := &view{servers: make(map[backend.ID]*backend.Server, len(servers)), closing: make(map[backend.ID]bool)}
	members := make(map[backend.GroupKey][]*backend.Server)
	for _, server := range servers {
		v.servers[server.ID] = server
		c.noteModel(server)
		if server.Group.Name != "" {
			members[server.Group.GroupKey] = append(members[server.Group.GroupKey], server)
		}
	}
	c.forget(now, c.deps.Listing().Servers)
	taken := c.sortGroups(ctx, engine, members, v, now)
	v.input.Models = models
	v.input.Domains = c.domains(servers, taken, v.closing, now)
	return v
}

// sortGroups returns the VMs in groups that serve, with their models, and adds those that are not whole to v.
func (c *Controller) sortGroups(
	ctx context.Context, engine *route.Engine, members map[backend.GroupKey][]*backend.Server, v *view, now time.Time,
) map[backend.ID]string {
	taken := make(map[backend.ID]string)
	for _, group := range c.opened {
		for _, member := range group.members {
			taken[member.ID] = ""
		}
	}
	for key, list := range members {
		if c.dissolving[key] {
			// The task that dissolves it has orders under way to the head.
			for _, member := range list {
				taken[member.ID] = ""
				v.closing[member.ID] = true
			}
			continue
		}
		head := headAmong(list)
		if _, over := c.closed[key]; over || head == nil || !(head.Group.State.Serving() || c.justOpened(key)) {
			continue
		}
		model := head.Model
		for _, member := range list {
			taken[member.ID] = ""
		}
		if reason, cancel := c.gap(ctx, engine, key, list, model, now); reason != "" {
			v.broken = append(v.broken, brokenGroup{key: key, head: head, cancel: cancel, reason: reason})
			continue
		}
		c.remember(engine, key, model, list, now)
		v.whole = append(v.whole, head)
		taken[head.ID] = model
	}
	return taken
}

func headAmong(members []*backend.Server) *backend.Server {
	for _, member := range members {
		if member.Group.Rank == 0 {
			return member
		}
	}
	return nil
}

func (c *Controller) justOpened(key backend.GroupKey) bool {
	_, ok := c.opened[key]
	return ok
}

// gap says what keeps a serving group from being whole, and whether its work can't end.
func (c *Controller) gap(
	ctx context.Context, engine *route.Engine, key backend.GroupKey, members []*backend.Server, model string, now time.Time,
) (reason string, cancel bool) {
	delete(c.vouched, key)
	if known, ok := engine.Model(model); ok && len(members) < known.Size {
		if reason := c.unlistedGap(ctx, key, members, now); reason != "" {
			return reason, true
		}
	}
	for _, member := range members {
		if c.isDark(member.ID, now) {
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

// domains lists the free VMs and counts the groups.
func (c *Controller) domains(
	servers []*backend.Server, taken map[backend.ID]string, closing map[backend.ID]bool, now time.Time,
) []policy.Domain {
	byName := make(map[string]*policy.Domain)
	for _, server := range servers {
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
		if closing[server.ID] {
			domain.DissolvingVMs++
		}
		if model, busy := taken[server.ID]; busy {
			if model != "" {
				domain.Groups[model]++
			}
			continue
		}
		if model, forming := c.tasks[server.ID]; forming {
			if model != "" {
				domain.Groups[model]++
			}
			continue
		}
		if c.isDark(server.ID, now) || now.Before(c.resting[server.ID]) {
			continue
		}
		domain.Free = append(domain.Free, c.free(server))
	}
	sorted := make([]policy.Domain, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		sorted = append(sorted, *byName[name])
	}
	return sorted
}

func (c *Controller) free(server *backend.Server) policy.VM {
	vm := policy.VM{ID: string(server.ID), Loaded: c.loadedModel(server)}
	_, vm.WarmFailed = c.cold[server.ID]
	if len(server.Staged) > 0 {
		vm.Staged = server.Staged[len(server.Staged)-1]
	}
	if order, ok := c.staging[server.ID]; ok {
		vm.Staging = order.model
	}
	return vm
}

// loadedModel is the model of a VM's last group. Its registration names it only while it is in a group.
func (c *Controller) loadedModel(server *backend.Server) string {
	if last, ok := c.lastModels[server.ID]; ok && server.Model == "" && last.born == server.Born {
		return last.model
	}
	return server.Model
}

// noteModel is called under the lock.
func (c *Controller) noteModel(server *backend.Server) {
	if server.Model != "" {
		c.lastModels[server.ID] = lastModel{model: server.Model, born: server.Born}
	}
}

// forget drops what is over.
func (c *Controller) forget(now time.Time, servers map[backend.ID]*backend.Server) {
	for key, group := range c.opened {
		if listed(servers, group.members, key) {
			delete(c.opened, key)
		}
	}
	for id, at := range c.unreached {
		if now.Sub(at) > unreachedFor {
			delete(c.unreached, id)
		}
	}
	for key, at := range c.closed {
		if now.Sub(at) > closedFor {
			delete(c.closed, key)
		}
	}
	c.forgetAbsent(now)
	for id, until := range c.resting {
		if now.After(until) {
			delete(c.resting, id)
		}
	}
	for id := range c.lastModels {
		if servers[id] == nil {
			delete(c.lastModels, id)
		}
	}
	for id, until := range c.cold {
		if now.After(until) {
			delete(c.cold, id)
		}
	}
	for id, order := range c.staging {
		if now.After(order.until) || order.over(servers[id]) {
			delete(c.staging, id)
		}
	}
}

// over says whether a registration shows that the load has ended. One that has lapsed shows nothing.
func (s staging) over(server *backend.Server) bool {
	if server == nil {
		return false
	}
	staged := server.HasStaged(s.model) || (s.model == unknownModel && len(server.Staged) > 0)
	return staged || server.Born != s.born
}

// closedFor is how long a group that was dissolved may still be listed as open. A group that was not dissolved after all is
// seen again after that.
const closedFor = 5 * time.Second

// listed says whether the registrations tell of a group that was opened: its head is listed as serving, or one of its members is gone or
// in another life.
func listed(servers map[backend.ID]*backend.Server, members []*backend.Server, key backend.GroupKey) bool {
	for _, member := range members {
		server := servers[member.ID]
		if server == nil || server.Born != member.Born {
			return true
		}
	}
	head := servers[members[0].ID]
	return head.Group.GroupKey == key && head.Group.State.Serving()
}

// Bounds of the measured demand beside what the configuration says: a model that nobody asks for at the moment keeps some groups.
const (
	leastDemand = 0.4
	mostDemand  = 2.5
)

// policyModels takes the share of each model from its demand, once that is known for all, and from the configuration before.
func (c *Controller) policyModels(service route.Service) []policy.Model {
	models := make([]policy.Model, 0, len(service.Engine.Models))
	demands := make([]float64, 0, len(service.Engine.Models))
	sum := 0.0
	for _, model := range service.Engine.Models {
		wanted := c.deps.Demand(service.Name, model.Name)
		models = append(models, policy.Model{Name: model.Name, Size: model.Size, Share: model.Share, LoadTime: model.Load, DemandGroups: wanted})
		vms := wanted * float64(model.Size)
		demands = append(demands, vms)
		sum += vms
	}
	for i := range models {
		if sum > 0 && models[i].Share > 0 {
			measured := demands[i] / sum
			models[i].Share = min(max(measured, leastDemand*models[i].Share), mostDemand*models[i].Share)
		}
	}
	return models
}
