package test

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/entry/controller"
	standinengine "github.com/skylarkpond/skylarkpond/internal/standin/engine"
	standinplatform "github.com/skylarkpond/skylarkpond/internal/standin/platform"
	"github.com/skylarkpond/skylarkpond/link/engine"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/vm"
)

// The judge's bounds. What the system promises is the first terms; busyMachine stands for what a machine
// with many processes adds between a check and the arrival at an engine.
const (
	busyMachine = 2 * time.Second
	// detectionBound: a member may be missing for so long when a request is begun on its group. An answer
	// counts for vm.FreshnessBound from when its probe was sent; the probe's timeout is added to be generous.
	detectionBound = vm.FreshnessBound + engine.ProbeTimeout + busyMachine
	// lateOrderBound: an order may still be carried out for so long after the placement that it names was
	// replaced.
	lateOrderBound = controller.MaxPlacementAge + controller.OrderDeadline + busyMachine
)

// evidence is what the platform and the engines wrote down, all by one clock.
type evidence struct {
	history  map[string][]placed // by fabric domain, oldest first
	groups   map[vm.GroupID]vm.Group
	orders   []standinengine.OrderRecord
	arrivals []standinengine.Arrival
	turns    map[vm.Name][]turn
	fabrics  map[vm.Name]string
}

// placed is a placement as it stood from a time on.
type placed struct {
	at time.Time
	vm.Placement
}

// turn is a moment at which what a VM is changed.
type turn struct {
	at     time.Time
	apply  func(*condition)
	reason string
}

// condition is what a VM is at a moment.
type condition struct {
	boot   vm.BootID // empty: dead
	frozen bool
	group  vm.GroupID
	epoch  uint64
}

func (c *cluster) evidence() *evidence {
	GinkgoHelper()
	e := &evidence{
		groups: make(map[vm.GroupID]vm.Group), turns: make(map[vm.Name][]turn), fabrics: make(map[vm.Name]string),
		// The orders are read before the history, so that whatever they name must be in it.
		orders:   lines[standinengine.OrderRecord](c.engines + "/standin/orders"),
		arrivals: lines[standinengine.Arrival](c.engines + "/standin/arrivals"),
	}
	e.takeHistory(c.history())
	for _, list := range lines[[]vm.VM](c.engines + "/standin/vms") {
		for _, v := range list {
			e.fabrics[v.Name] = string(v.Position.FabricDomain)
		}
	}
	for _, life := range lines[standinengine.LifecycleRecord](c.engines + "/standin/lives") {
		e.takeLife(life)
	}
	for _, order := range e.orders {
		e.takeOrder(order)
	}
	for _, turns := range e.turns {
		slices.SortStableFunc(turns, func(a, b turn) int { return a.at.Compare(b.at) })
	}
	return e
}

func (e *evidence) takeHistory(changes []standinplatform.Change) {
	GinkgoHelper()
	e.history = make(map[string][]placed)
	for _, change := range changes {
		if change.Kind != platform.KindPlacement {
			continue
		}
		p := placed{at: change.Time}
		Expect(json.Unmarshal(change.Value, &p.Placement)).To(Succeed())
		e.history[change.Name] = append(e.history[change.Name], p)
		for _, group := range p.Groups {
			if group.State != vm.Forming {
				e.groups[group.ID] = group
			}
		}
	}
}

func (e *evidence) takeLife(life standinengine.LifecycleRecord) {
	apply := map[standinengine.LifecycleEvent]func(*condition){
		standinengine.Booted: func(c *condition) { *c = condition{boot: life.BootID, frozen: c.frozen} },
		standinengine.Died:   func(c *condition) { c.boot = "" },
		standinengine.Frozen: func(c *condition) { c.frozen = true },
		standinengine.Thawed: func(c *condition) { c.frozen = false },
	}[life.Event]
	e.turns[life.VM] = append(e.turns[life.VM], turn{at: life.Time, apply: apply, reason: string(life.Event)})
}

func (e *evidence) takeOrder(o standinengine.OrderRecord) {
	if o.Refused != "" {
		return
	}
	e.turns[o.VM] = append(e.turns[o.VM], turn{at: o.Time, reason: string(o.Order.Kind) + " " + string(o.Order.Group), apply: func(c *condition) {
		if c.boot == o.BootID {
			c.group, c.epoch = o.Order.Group, o.Order.Epoch
		}
	}})
}

// missing returns for how long a member has not been what its group's placement says of it, at a time,
// and the turn since when; 0 if it is.
func (e *evidence) missing(group vm.Group, member vm.Member, at time.Time) (time.Duration, string) {
	since, reason := time.Time{}, "never joined"
	present := false
	now := condition{}
	for _, t := range e.turns[member.VM] {
		if t.at.After(at) {
			break
		}
		t.apply(&now)
		is := now.boot != "" && now.boot == member.BootID && !now.frozen && now.group == group.ID && now.epoch == group.Epoch
		if present && !is {
			since, reason = t.at, t.reason
		}
		present = is
	}
	if present {
		return 0, ""
	}
	return at.Sub(since), reason
}

// judgeGroups judges all that happened to groups.
func (c *cluster) judgeGroups() {
	GinkgoHelper()
	c.judgePlacements()
	e := c.evidence()
	e.judgeEpochs()
	e.judgeOrders()
	e.judgeArrivals()
}

// judgeMinimum checks that from a time on no fewer groups than a minimum served with all their members.
func (e *evidence) judgeMinimum(minimum int, from time.Time) {
	GinkgoHelper()
	var moments []time.Time
	for _, history := range e.history {
		for _, p := range history {
			moments = append(moments, p.at)
		}
	}
	for _, turns := range e.turns {
		for _, t := range turns {
			moments = append(moments, t.at)
		}
	}
	for _, at := range moments {
		if at.After(from) {
			Expect(e.serving(at)).To(BeNumerically(">=", minimum), "at %v", at)
		}
	}
}

// serving counts the groups of the language service that serve at a time, with all their members.
func (e *evidence) serving(at time.Time) int {
	count := 0
	for _, history := range e.history {
		last := placed{}
		for _, p := range history {
			if !p.at.After(at) {
				last = p
			}
		}
		for _, group := range last.Groups {
			if group.Service == chat && group.State == vm.Serving && e.whole(group, at) {
				count++
			}
		}
	}
	return count
}

func (e *evidence) whole(group vm.Group, at time.Time) bool {
	return !slices.ContainsFunc(group.Members, func(m vm.Member) bool {
		missing, _ := e.missing(group, m, at)
		return missing > 0
	})
}

// judgeEpochs checks that each change of controller raised the epoch.
func (e *evidence) judgeEpochs() {
	GinkgoHelper()
	for fabric, history := range e.history {
		for i := 1; i < len(history); i++ {
			before, after := history[i-1], history[i]
			if before.Controller != after.Controller || before.Incarnation != after.Incarnation {
				Expect(after.Epoch).To(BeNumerically(">", before.Epoch), "%s went from %s to %s", fabric, before.Controller, after.Controller)
			}
		}
	}
}

// judgeOrders checks that each order that was carried out names a placement that was in force before it,
// and not too long before.
func (e *evidence) judgeOrders() {
	GinkgoHelper()
	latest, which := time.Duration(0), standinengine.OrderRecord{}
	for _, o := range e.orders {
		if o.Refused != "" {
			continue
		}
		last := e.names(o)
		Expect(last).To(BeNumerically(">=", 0), "%s was ordered to %s %s at fence %d, which no placement before it says",
			o.VM, o.Order.Kind, o.Order.Group, o.Order.Fence)
		if late := e.replaced(e.fabrics[o.VM], last, o.Time); late > latest {
			latest, which = late, o
		}
	}
	Expect(latest).To(BeNumerically("<", lateOrderBound), "carried out so long after what it named was replaced: %+v", which)
	GinkgoWriter.Printf("judge: %d orders; the latest was carried out %v after the placement it names was replaced\n",
		len(e.orders), latest.Round(time.Millisecond))
}

// names returns the last version of the placement, by its place in the history, that calls for an order
// and stood before it was carried out; -1: none.
func (e *evidence) names(o standinengine.OrderRecord) int {
	for i, p := range slices.Backward(e.history[e.fabrics[o.VM]]) {
		if p.at.Before(o.Time) && calls(p.Placement, o) {
			return i
		}
	}
	return -1
}

// calls says whether a placement calls for an order.
func calls(p vm.Placement, o standinengine.OrderRecord) bool {
	isMember := func(m vm.Member) bool { return m.VM == o.VM && (o.Order.BootID == "" || m.BootID == o.Order.BootID) }
	if o.Order.Kind == engine.OrderLoad {
		group := p.Group(o.Order.Group)
		return group != nil && group.State == vm.Loading && group.Fence == o.Order.Fence && group.Epoch == o.Order.Epoch &&
			slices.ContainsFunc(group.Members, isMember)
	}
	for _, group := range p.Groups {
		if slices.ContainsFunc(group.Members, func(m vm.Member) bool { return m.VM == o.VM }) {
			return group.State == vm.Draining && group.Fence == o.Order.Fence
		}
	}
	return p.Fence == o.Order.Fence
}

// replaced returns for how long the placement that stands at a time has no longer held the version at i.
func (e *evidence) replaced(fabric string, i int, at time.Time) time.Duration {
	history := e.history[fabric]
	if i+1 >= len(history) {
		return 0
	}
	return max(0, at.Sub(history[i+1].at))
}

// judgeArrivals checks that no request was begun on a group with a member missing for longer than the
// detection time.
func (e *evidence) judgeArrivals() {
	GinkgoHelper()
	type finding struct {
		standinengine.Arrival
		missing time.Duration
		member  vm.Name
		reason  string
	}
	worst := finding{}
	count := 0
	for _, a := range e.arrivals {
		group, ok := e.groups[a.Group]
		Expect(ok && group.Epoch == a.Epoch).To(BeTrue(), "request %s was begun on %s at epoch %d, which was never placed", a.RequestID, a.Group, a.Epoch)
		for _, m := range group.Members {
			if missing, reason := e.missing(group, m, a.Time); missing > 0 {
				count++
				worst = slices.MaxFunc([]finding{worst, {a, missing, m.VM, reason}}, func(a, b finding) int { return cmp.Compare(a.missing, b.missing) })
			}
		}
	}
	GinkgoWriter.Printf("judge: %d requests reached a group, %d of them with a member missing, for %v at most\n",
		len(e.arrivals), count, worst.missing.Round(time.Millisecond))
	Expect(worst.missing).To(BeNumerically("<", detectionBound), "request %s reached %s at %v, when %s was missing: %s",
		worst.RequestID, worst.Group, worst.Time, worst.member, worst.reason)
}
