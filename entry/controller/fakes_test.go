package controller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/skylarkpond/skylarkpond/contract/settings"
	"github.com/skylarkpond/skylarkpond/domain"
	"github.com/skylarkpond/skylarkpond/entry/controller"
	"github.com/skylarkpond/skylarkpond/link/engine"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/timeline"
	"github.com/skylarkpond/skylarkpond/vm"
)

const fabric = "fab-1"

// world simulates one fabric domain with its platform, engines, homes and clock. mu guards its fields.
type world struct {
	mu   sync.Mutex
	time time.Time
	// clock, if set, is used in place of time.
	clock      func() time.Time
	ids        int
	version    platform.Version
	objects    map[string]platform.Object
	history    []platform.Object
	gets       map[platform.Kind]int
	engines    map[string]*fakeEngine
	orders     []sentOrder
	services   map[string]settings.Service
	whole      map[vm.GroupID]bool
	inProgress map[vm.GroupID]int
	// homesSilent means that no home reports.
	homesSilent bool
	// afterWrite, if set, is called after each write, without mu held.
	afterWrite func()
	// loadTime is how long an engine takes to load.
	loadTime time.Duration
	metrics  metrics.Registry
}

type sentOrder struct {
	order engine.Order
	to    vm.Name
}

type fakeEngine struct {
	state       engine.State
	silent      bool
	checksFence bool
	// readyIn holds the groups in which the engine reported that it was ready.
	readyIn map[vm.GroupID]bool
	// loadedAt is when the most recently ordered load completes.
	loadedAt time.Time
}

func newWorld(vms int) *world {
	w := &world{
		time: time.Unix(1_700_000_000, 0), objects: map[string]platform.Object{}, engines: map[string]*fakeEngine{},
		services: map[string]settings.Service{}, metrics: metrics.NewRegistry(), gets: map[platform.Kind]int{}, whole: map[vm.GroupID]bool{}, inProgress: map[vm.GroupID]int{},
	}
	list := vm.List{}
	for i := range vms {
		name := vm.Name(fmt.Sprintf("v%d", i+1))
		list.VMs = append(list.VMs, vm.VM{
			Name: name, Address: "addr-" + string(name), Accelerators: 8,
			Position: domain.Position{Place: "pampa", FailureDomain: "fd-1", FabricDomain: fabric},
		})
		w.engines["addr-"+string(name)] = &fakeEngine{
			state: engine.State{VM: name, BootID: vm.BootID("boot-" + name)}, checksFence: true, readyIn: map[vm.GroupID]bool{},
		}
	}
	w.mustSet(platform.KindVMs, list)
	w.mustSet(platform.KindPlacement, vm.Placement{})
	w.services["chat"] = settings.Service{
		Name: "chat", Place: "pampa", Kind: settings.LanguageService, Model: "m", ModelVersion: "1", GroupSize: 2, Replicas: 1,
		DrainTimeout: time.Minute, ChecksFence: true,
	}
	return w
}

// mustSet writes an object of the fabric domain unconditionally.
func (w *world) mustSet(kind platform.Kind, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	w.version++
	w.record(platform.Object{Kind: kind, Name: fabric, Version: w.version, Value: raw})
}

// record stores an object and appends it to the history. mu must be held unless the world is not shared yet.
func (w *world) record(object platform.Object) {
	w.objects[string(object.Kind)+"/"+object.Name] = object
	w.history = append(w.history, object)
}

func (w *world) changeVMs(change func(v *vm.VM)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := decode[vm.List](w.objects["vms/"+fabric])
	for i := range list.VMs {
		change(&list.VMs[i])
	}
	w.mustSet(platform.KindVMs, list)
}

func (w *world) placement() vm.Placement {
	w.mu.Lock()
	defer w.mu.Unlock()
	return decode[vm.Placement](w.objects["placement/"+fabric])
}

func (w *world) engine(name string) *fakeEngine { return w.engines["addr-"+name] }

func (w *world) now() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.clock != nil {
		return w.clock()
	}
	return w.time
}

func (w *world) advance(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.time = w.time.Add(d)
}

func (w *world) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ids++
	return fmt.Sprintf("id%d", w.ids)
}

func decode[T any](object platform.Object) T {
	var value T
	if err := json.Unmarshal(object.Value, &value); err != nil {
		panic(err)
	}
	return value
}

// Get implements platform.Store.
func (w *world) Get(_ context.Context, kind platform.Kind, name string) (platform.Object, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gets[kind]++
	object, ok := w.objects[string(kind)+"/"+name]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return object, nil
}

// Put implements platform.Store. It calls afterWrite after the write.
func (w *world) Put(_ context.Context, kind platform.Kind, name string, version platform.Version, value json.RawMessage) (platform.Version, error) {
	if w.afterWrite != nil {
		defer w.afterWrite()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.putLocked(platform.Object{Kind: kind, Name: name, Version: version, Value: value})
}

// putLocked makes a conditional write; object.Version is the version that it replaces. mu must be held.
func (w *world) putLocked(object platform.Object) (platform.Version, error) {
	if w.objects[string(object.Kind)+"/"+object.Name].Version != object.Version {
		return 0, platform.ErrConflict
	}
	w.version++
	object.Version = w.version
	w.record(object)
	return w.version, nil
}

// List implements platform.Store.
func (w *world) List(_ context.Context, kind platform.Kind) (platform.Changes, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	changes := platform.Changes{Revision: w.version, Complete: true}
	for _, key := range slices.Sorted(maps.Keys(w.objects)) {
		if object := w.objects[key]; object.Kind == kind {
			changes.Objects = append(changes.Objects, object)
		}
	}
	return changes, nil
}

// Delete implements platform.Store. It is not used.
func (w *world) Delete(context.Context, platform.Kind, string, platform.Version) error { return nil }

// Watch implements platform.Store. It is not used.
func (w *world) Watch(context.Context, platform.Kind, platform.Version) (platform.Changes, error) {
	return platform.Changes{}, nil
}

// Placements implements controller.Placements as a mirror without lag.
func (w *world) Placements() []platform.Object {
	changes, _ := w.List(context.Background(), platform.KindPlacement)
	return changes.Objects
}

// InProgress implements controller.GroupReports.
func (w *world) InProgress(group vm.GroupID) (int, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.homesSilent {
		return 0, false
	}
	return w.inProgress[group], true
}

func (w *world) Whole(group vm.GroupID) (bool, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.whole[group], true
}

func (w *world) TokenGap(vm.GroupID) time.Duration { return 0 }

// Probe implements engine.Client.
func (w *world) Probe(_ context.Context, address string) (engine.State, error) {
	now := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.engines[address]
	if e == nil || e.silent {
		return engine.State{}, engine.ErrNotSent
	}
	if e.state.Group != "" && !now.Before(e.loadedAt) {
		e.state.Ready = true
		e.readyIn[e.state.Group] = true
	}
	return e.state, nil
}

// Order implements engine.Client.
func (w *world) Order(_ context.Context, address string, order engine.Order) (engine.State, error) {
	now := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.engines[address]
	e.loadedAt = now.Add(w.loadTime)
	w.orders = append(w.orders, sentOrder{order: order, to: e.state.VM})
	return e.execute(order)
}

func (e *fakeEngine) execute(order engine.Order) (engine.State, error) {
	switch {
	case e.silent:
		return engine.State{}, engine.ErrInterrupted
	case order.BootID != e.state.BootID:
		return e.state, engine.ErrBootMismatch
	case e.checksFence && order.Fence < e.state.Fence:
		return e.state, engine.ErrStaleFence
	}
	e.state.Group, e.state.Epoch, e.state.Fence = order.Group, order.Epoch, order.Fence
	e.state.Ready = false
	return e.state, nil
}

func (w *world) Complete(context.Context, engine.Target, []byte) (engine.Stream, error) {
	panic("a controller completes nothing")
}

func (w *world) Call(context.Context, engine.Target, string, string, http.Header, io.Reader) (*http.Response, error) {
	panic("a controller calls nothing")
}

func (w *world) Cancel(context.Context, string, string) error { panic("a controller cancels nothing") }

// owners implements controller.Membership: one entry's view of which entries are live.
type owners struct {
	self string
	live []string
}

func (o *owners) Self() string   { return o.self }
func (o *owners) Live() []string { return o.live }

// entry returns the controller of an entry that sees itself and the named others as live.
func (w *world) entry(name string, others ...string) *controller.Controller {
	return controller.New(w.deps(name, others...))
}

func (w *world) deps(name string, others ...string) controller.Deps {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return controller.Deps{
		Store: w, Engines: w, Membership: &owners{self: name, live: append(others, name)}, Placements: w, GroupReports: w,
		Settings: func() *settings.Snapshot {
			w.mu.Lock()
			defer w.mu.Unlock()
			return &settings.Snapshot{Version: 1, Services: maps.Clone(w.services)}
		},
		Incarnation: name + "-1", Recorder: timeline.NewRecorder(name, nil, w.now), Metrics: w.metrics,
		Log: log, Now: w.now, NewID: w.newID,
	}
}
