package controller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/skylarkpond/skylarkpond/entry/controller"
	"github.com/skylarkpond/skylarkpond/link/engine"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/vm"
)

// move is one decision of the schedule. What it does to which call or VM depends on what is there.
type move struct {
	Action, Target, Fate uint8
}

// minMoves keeps schedules long: rapid draws slices that are little longer than their least length. A
// move that shrinks to 0 is none.
const minMoves = 120

// noMove is above the actions that schedule.move knows.
const noMove = 11

// The fates of a call.
const (
	fateDone     = iota
	fateLost     // takes effect, the answer is lost
	fateLate     // takes effect when a later move says so, the answer is lost
	fateVanished // takes no effect, and the answer is lost
	fateRefused  // takes no effect, and says so
	fates
)

// gate is a call that waits for the schedule to let it through.
type gate struct {
	name string
	fate chan uint8
}

// schedule interleaves several controllers that all think they own the fabric domain.
type schedule struct {
	*world
	actors []*actor

	gmu   sync.Mutex // guards gates, late and broken
	gates []*gate
	late  []func()
	// broken holds the invariants that were seen broken.
	broken []string
}

// actor is one controller and its links, each call of which waits at a gate. A call that is not let
// through for long is a process that is paused.
type actor struct {
	*schedule
	name   string
	c      *controller.Controller
	idle   bool
	behind int // how many versions its mirror lags
	// confirmed is when the last answered read or write of the placement was begun.
	confirmed time.Time
}

func newSchedule(controllers, vms, replicas int, checks bool) *schedule {
	s := &schedule{world: newWorld(vms)}
	s.clock = time.Now
	s.loadTime = 3 * time.Second
	chat := s.services["chat"]
	chat.Replicas = replicas
	s.services["chat"] = chat
	for _, e := range s.engines {
		e.checks = checks
	}
	for i := range controllers {
		s.add(fmt.Sprintf("entry-%d", i+1))
	}
	return s
}

func (s *schedule) add(name string) *actor {
	a := &actor{schedule: s, name: name, idle: true}
	deps := s.deps(name)
	deps.Store, deps.Engines, deps.Placements, deps.Now = a, a, a, time.Now
	a.c = controller.New(deps)
	s.actors = append(s.actors, a)
	return a
}

func (s *schedule) breaks(format string, args ...any) {
	s.gmu.Lock()
	defer s.gmu.Unlock()
	s.broken = append(s.broken, fmt.Sprintf(format, args...))
}

// wait blocks the caller until the schedule decides the call's fate.
func (a *actor) wait(call string) uint8 {
	g := &gate{name: a.name + " " + call, fate: make(chan uint8)}
	a.gmu.Lock()
	a.gates = append(a.gates, g)
	slices.SortFunc(a.gates, func(x, y *gate) int { return strings.Compare(x.name, y.name) })
	a.gmu.Unlock()
	return <-g.fate
}

// meet carries out effect as the fate says. Its error, if not nil, is that of an answer that was lost.
func (a *actor) meet(fate uint8, effect func(), lost, refused error) error {
	switch fate {
	case fateLost:
		effect()
		return lost
	case fateLate:
		a.gmu.Lock()
		a.late = append(a.late, effect)
		a.gmu.Unlock()
		return lost
	case fateVanished:
		return lost
	case fateRefused:
		return refused
	}
	effect()
	return nil
}

// Get reads an object. With a fate other than done, what it reads is an older version of it.
func (a *actor) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	if kind != platform.KindPlacement {
		return a.world.Get(ctx, kind, name)
	}
	begun := time.Now()
	switch a.wait("get") {
	case fateVanished, fateRefused:
		return platform.Object{}, platform.ErrUnavailable
	case fateDone:
		a.confirmed = begun
		return a.world.Get(ctx, kind, name)
	default:
		a.confirmed = begun
		return a.older(1), nil
	}
}

// older returns the placement as it was some versions ago.
func (a *actor) older(versions int) platform.Object {
	history := a.placements()
	return history[max(0, len(history)-1-versions)]
}

func (s *schedule) placements() []platform.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []platform.Object
	for _, object := range s.history {
		if object.Kind == platform.KindPlacement {
			found = append(found, object)
		}
	}
	return found
}

// Put writes an object.
func (a *actor) Put(ctx context.Context, kind platform.Kind, name string, version platform.Version, value json.RawMessage) (platform.Version, error) {
	begun := time.Now()
	var written platform.Version
	var err error
	effect := func() { written, err = a.world.Put(context.WithoutCancel(ctx), kind, name, version, value) }
	if unsure := a.meet(a.wait("put"), effect, platform.ErrUnconfirmed, platform.ErrUnavailable); unsure != nil {
		return 0, unsure
	}
	if err == nil {
		a.confirmed = begun
	}
	return written, err
}

// Placements is the mirror of an entry, which may lag.
func (a *actor) Placements() []platform.Object { return []platform.Object{a.older(a.behind)} }

// Order gives an order to an engine. It is checked when the controller decides to send it: what happens
// to a process between that and the wire is what fencing numbers and read-back are for.
func (a *actor) Order(_ context.Context, address string, order engine.Order) (engine.State, error) {
	a.checkOrder(vm.Name(strings.TrimPrefix(address, "addr-")), order)
	var state engine.State
	var err error
	effect := func() { state, err = a.world.Order(context.Background(), address, order) }
	if unsure := a.meet(a.wait("order "+address), effect, engine.ErrBroken, engine.ErrNotSent); unsure != nil {
		return engine.State{}, unsure
	}
	return state, err
}

func (a *actor) checkOrder(to vm.Name, order engine.Order) {
	if age := time.Since(a.confirmed); age > controller.MaxPlacementAge {
		a.breaks("%s sends an order %v after its last confirmed read or write", a.name, age)
	}
	a.checkDrained(to, order)
	for _, object := range a.placements() {
		if names(decode[vm.Placement](object), to, order) {
			return
		}
	}
	a.breaks("%s sends %s to %s with fence %d, which no placement in the history names", a.name, order.Kind, to, order.Fence)
}

// intact says whether every member still runs the boot that was ordered into the group.
func (a *actor) intact(g vm.Group) bool {
	return !slices.ContainsFunc(g.Members, func(m vm.Member) bool {
		return a.engine(string(m.VM)).state.BootID != m.BootID
	})
}

// checkDrained checks that no member of a draining group is released while requests are in progress. On a
// group of which a member has started again none are: they broke off with the boot that is gone.
func (a *actor) checkDrained(to vm.Name, order engine.Order) {
	for _, g := range a.placement().Groups {
		member := slices.ContainsFunc(g.Members, func(m vm.Member) bool { return m.VM == to })
		if order.Kind != engine.OrderRelease || !member || g.State != vm.Draining {
			continue
		}
		drained := time.Since(time.UnixMilli(g.Since)) >= a.services["chat"].DrainTimeout
		if !drained && a.busy[g.ID] > 0 && a.intact(g) {
			a.breaks("%s releases %s, on which a request is in progress", a.name, to)
		}
	}
}

// names says that the placement calls for the order.
func names(p vm.Placement, to vm.Name, order engine.Order) bool {
	var holder *vm.Group
	for i := range p.Groups {
		if slices.ContainsFunc(p.Groups[i].Members, func(m vm.Member) bool { return m.VM == to }) {
			holder = &p.Groups[i]
		}
	}
	if order.Kind == engine.OrderRelease {
		if holder == nil {
			return p.Fence == order.Fence
		}
		return holder.State == vm.Draining && holder.Fence == order.Fence
	}
	return holder != nil && holder.ID == order.Group && holder.State == vm.Loading &&
		holder.Fence == order.Fence && holder.Epoch == order.Epoch
}

// play carries the moves out. Then all faults end, and a new controller brings the domain to rest; then
// whatever is still under way from before takes effect, and it must come to rest again.
func (s *schedule) play(moves []move) {
	for _, m := range moves {
		synctest.Wait()
		s.move(m)
	}
	synctest.Wait()
	s.endFaults()
	last := s.add("entry-last")
	s.comeToRest(last)
	for _, a := range s.actors {
		if !a.idle {
			s.run(a)
		}
	}
	for _, effect := range s.late {
		effect()
	}
	s.comeToRest(last)
}

func (s *schedule) move(m move) {
	a := s.actors[int(m.Target)%len(s.actors)]
	switch m.Action {
	case 0:
		s.start(a)
	case 1, 2, 3:
		s.release(s.gateOf(""), int(m.Target), m.Fate)
	case 4, 5, 6:
		s.run(a)
		time.Sleep(controller.RoundInterval)
	case 7:
		s.land(int(m.Target))
	case 8:
		pauses := []time.Duration{100 * time.Millisecond, controller.MaxPlacementAge, 15 * time.Second, time.Hour}
		time.Sleep(pauses[int(m.Target)%len(pauses)])
	case 9, 10:
		s.disturb(int(m.Target), m.Fate)
	}
}

// run lets a controller do a whole round without a fault.
func (s *schedule) run(a *actor) {
	s.start(a)
	for {
		synctest.Wait()
		s.gmu.Lock()
		idle := a.idle
		s.gmu.Unlock()
		if idle {
			return
		}
		if waiting := s.gateOf(a.name + " "); len(waiting) > 0 {
			s.release(waiting, 0, fateDone)
			continue
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *schedule) start(a *actor) {
	s.gmu.Lock()
	defer s.gmu.Unlock()
	if !a.idle {
		return
	}
	a.idle = false
	go func() {
		_ = a.c.Reconcile(context.Background(), fabric)
		s.gmu.Lock()
		defer s.gmu.Unlock()
		a.idle = true
	}()
}

// gateOf returns the waiting calls whose name starts so.
func (s *schedule) gateOf(prefix string) []*gate {
	s.gmu.Lock()
	defer s.gmu.Unlock()
	var found []*gate
	for _, g := range s.gates {
		if strings.HasPrefix(g.name, prefix) {
			found = append(found, g)
		}
	}
	return found
}

// release lets one of the waiting calls through. Half of the fates are done.
func (s *schedule) release(waiting []*gate, target int, fate uint8) {
	if len(waiting) == 0 {
		return
	}
	g := waiting[target%len(waiting)]
	s.gmu.Lock()
	s.gates = slices.DeleteFunc(s.gates, func(other *gate) bool { return other == g })
	s.gmu.Unlock()
	if fate >= fates {
		fate = fateDone
	}
	g.fate <- fate
}

func (s *schedule) land(target int) {
	if len(s.late) == 0 {
		return
	}
	i := target % len(s.late)
	effect := s.late[i]
	s.late = slices.Delete(s.late, i, i+1)
	effect()
}

// disturb changes a VM or a mirror.
func (s *schedule) disturb(target int, kind uint8) {
	name := fmt.Sprintf("v%d", target%len(s.engines)+1)
	e := s.engine(name)
	switch kind % 6 {
	case 0:
		e.silent = !e.silent
	case 1:
		e.restart()
	case 2:
		s.list(func(v *vm.VM) {
			if string(v.Name) == name {
				v.Leaving = !v.Leaving
			}
		})
	case 3:
		a := s.actors[target%len(s.actors)]
		a.behind = (a.behind + 1) % 3
	case 4:
		s.work(target)
	case 5:
		s.homesSilent = !s.homesSilent
	}
}

// work gives a serving group requests, or ends those of any group.
func (s *schedule) work(target int) {
	for _, g := range s.placement().Groups {
		s.busy[g.ID] = 0
		if g.State == vm.Serving {
			s.busy[g.ID] = target % 2
		}
	}
}

func (e *fakeEngine) restart() {
	boots := strings.Count(string(e.state.BootID), "+")
	e.state = engine.State{VM: e.state.VM, BootID: vm.BootID(fmt.Sprintf("boot-%s%s", e.state.VM, strings.Repeat("+", boots+1)))}
}

func (s *schedule) endFaults() {
	for _, e := range s.engines {
		e.silent = false
	}
	s.list(func(v *vm.VM) { v.Leaving = false })
	clear(s.busy)
	s.homesSilent = false
	for _, a := range s.actors {
		a.behind = 0
	}
}

// comeToRest lets one controller work alone, and checks what comes of it.
func (s *schedule) comeToRest(last *actor) {
	for range 40 {
		s.run(last)
		time.Sleep(controller.RoundInterval)
	}
	s.checkRest()
}

// Several entries think that they own a fabric domain, because membership has not settled. They freeze at
// any call and wake much later; the platform loses answers, makes writes late, and answers reads from an
// old copy; orders are lost or arrive late; VMs die, restart and leave meanwhile. A user would notice a
// VM torn between two groups: each loads its part, neither ever answers.
func TestInterleavedControllers(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("engines check fences %v", checks), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				moves := rapid.SliceOfN(rapid.Custom(drawMove), minMoves, 2*minMoves).Draw(rt, "moves")
				replicas := rapid.IntRange(1, 2).Draw(rt, "replicas")
				controllers := rapid.IntRange(1, 3).Draw(rt, "controllers")
				vms := rapid.IntRange(2, 5).Draw(rt, "VMs")
				var s *schedule
				synctest.Test(t, func(*testing.T) {
					s = newSchedule(controllers, vms, replicas, checks)
					s.play(moves)
				})
				s.checkHistory()
				s.checkOrders()
				if len(s.broken) > 0 {
					rt.Fatalf("%s", strings.Join(s.broken, "\n"))
				}
			})
		})
	}
}

// drawMove spreads what rapid draws, which is mostly small numbers, evenly over the moves. A drawn 0,
// towards which rapid shrinks, is no move.
func drawMove(rt *rapid.T) move {
	drawn := rapid.Uint64().Draw(rt, "move")
	if drawn == 0 {
		return move{Action: noMove}
	}
	random := rand.New(rand.NewPCG(drawn, 0))
	return move{
		Action: uint8(random.IntN(noMove)),
		Target: uint8(random.IntN(20)),
		Fate:   uint8(random.IntN(2 * fates)),
	}
}
