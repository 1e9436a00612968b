package engine

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/link/engine"
	"github.com/skylarkpond/skylarkpond/vm"
)

// machine is one VM over all its boots.
type machine struct {
	host *Host
	spec vm.VM // never changes

	mu     sync.Mutex // guards what follows and the fields of boots that say so
	boot   *boot      // nil while dead
	last   *boot      // the latest that ended, nil before
	thawed chan struct{}
	frozen bool
	faults settings
}

// boot is one life of the engine.
type boot struct {
	id     vm.BootID
	server *http.Server
	dead   chan struct{} // closed at the end of this life
	batch  *batch

	// What follows is guarded by the machine's mu.
	order   engine.Order // the last one taken
	fence   uint64       // the highest seen
	readyAt time.Time
	cancels map[string][]chan struct{}
}

func newMachine(h *Host, spec vm.VM) *machine {
	thawed := make(chan struct{})
	close(thawed)
	return &machine{host: h, spec: spec, thawed: thawed, faults: newSettings(h.options, spec.Service != "")}
}

// start begins a life on listener.
func (m *machine) start(listener net.Listener) {
	b := &boot{
		id:      vm.BootID(fmt.Sprintf("%s-%08x", m.spec.Name, rand.Uint32())),
		dead:    make(chan struct{}),
		batch:   newBatch(m.host.options.Slots, m.host.options.MaxWaiting),
		cancels: make(map[string][]chan struct{}),
	}
	b.server = &http.Server{Handler: m.handler(b), ReadHeaderTimeout: readHeaderTimeout}
	m.mu.Lock()
	if m.faults.remembers && m.last != nil {
		b.order, b.fence, b.readyAt = m.last.order, m.last.fence, m.last.readyAt
	}
	m.boot = b
	m.note(Booted)
	m.mu.Unlock()
	go func() { _ = b.server.Serve(listener) }()
}

// die ends the present life, if there is one.
func (m *machine) die() {
	m.mu.Lock()
	b := m.boot
	m.boot = nil
	if b != nil {
		m.last = b
		close(b.dead)
		m.note(Died)
	}
	m.mu.Unlock()
	if b != nil {
		_ = b.server.Close()
	}
}

// listenPatience is how long a restart tries to get its port again. listenPause lies between two tries.
const (
	listenPatience = 10 * time.Second
	listenPause    = 10 * time.Millisecond
)

// restart begins a new life with a new boot id.
func (m *machine) restart() {
	m.die()
	m.revive()
}

// revive begins a new life unless there is one.
func (m *machine) revive() {
	for deadline := time.Now().Add(listenPatience); time.Now().Before(deadline); time.Sleep(listenPause) {
		if m.host.stopped.Load() || m.lives() {
			return
		}
		listener, err := net.Listen("tcp", m.spec.Address)
		if err == nil {
			m.start(listener)
			return
		}
	}
}

func (m *machine) lives() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.boot != nil
}

// crash is a death that the VM recovers from by itself.
func (m *machine) crash() {
	m.die()
	time.AfterFunc(m.host.options.CrashRestart, m.revive)
}

func (m *machine) apply(s Switches) {
	m.mu.Lock()
	m.faults.change(s)
	if s.Freeze != nil {
		m.freeze(*s.Freeze)
	}
	m.mu.Unlock()
	if s.Die {
		m.die()
	}
	if s.Restart {
		m.restart()
	}
	if s.Die && s.RestartAfterMillis > 0 {
		time.AfterFunc(time.Duration(s.RestartAfterMillis)*time.Millisecond, m.revive)
	}
}

// freeze must be called with mu held.
func (m *machine) freeze(on bool) {
	if on == m.frozen {
		return
	}
	m.frozen = on
	if on {
		m.thawed = make(chan struct{})
		m.note(Frozen)
		return
	}
	close(m.thawed)
	m.note(Thawed)
}

// note logs a turn of the VM's life. It must be called with mu held.
func (m *machine) note(turn LifecycleEvent) {
	record := LifecycleRecord{VM: m.spec.Name, Event: turn}
	if m.boot != nil {
		record.BootID = m.boot.id
	}
	m.host.lives.add(func(now time.Time) LifecycleRecord { record.Time = now; return record })
}

// gate waits until the VM isn't frozen, and returns whether this life still goes on. It doesn't look at
// the caller: a frozen process does not notice that its caller has gone, and goes on when it wakes.
func (m *machine) gate(b *boot) bool {
	for {
		m.mu.Lock()
		frozen, thawed := m.frozen, m.thawed
		m.mu.Unlock()
		if !frozen {
			return alive(b)
		}
		select {
		case <-thawed:
		case <-b.dead:
			return false
		}
	}
}

func alive(b *boot) bool {
	select {
	case <-b.dead:
		return false
	default:
		return true
	}
}

func (m *machine) settings() settings {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// presence is what a head sees of a member of its group.
type presence int

const (
	present presence = iota
	paused
	lost
)

func (m *machine) presence(group vm.GroupID) presence {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.boot == nil || m.boot.order.Group != group:
		return lost
	case m.frozen:
		return paused
	}
	return present
}

// weakest returns the worst presence among the members of an order that live in this process. A lost
// member kills the replica: the head breaks off; a paused one stalls it.
func (h *Host) weakest(order engine.Order) presence {
	worst := present
	for _, name := range order.Members {
		if m := h.machine(name); m != nil {
			worst = max(worst, m.presence(order.Group))
		}
	}
	return worst
}

// slowest returns the largest factor among the members of an order: a decoding step ends with its last
// member.
func (h *Host) slowest(order engine.Order) float64 {
	factor := 0.0
	for _, name := range order.Members {
		if m := h.machine(name); m != nil {
			factor = max(factor, m.settings().slow)
		}
	}
	return factor
}

// addCancel returns a channel that closes when the request is cancelled by its id.
func (m *machine) addCancel(b *boot, requestID string) chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	cancelled := make(chan struct{})
	b.cancels[requestID] = append(b.cancels[requestID], cancelled)
	return cancelled
}

func (m *machine) dropCancel(b *boot, requestID string, cancelled chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rest := slices.DeleteFunc(b.cancels[requestID], func(c chan struct{}) bool { return c == cancelled })
	if len(rest) == 0 {
		delete(b.cancels, requestID)
		return
	}
	b.cancels[requestID] = rest
}

// cancel ends the runs of a request, and returns whether there were any.
func (m *machine) cancel(b *boot, requestID string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	running := b.cancels[requestID]
	delete(b.cancels, requestID)
	for _, cancelled := range running {
		close(cancelled)
	}
	return len(running) > 0
}
