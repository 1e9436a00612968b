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

// machine is one VM across all its boots.
type machine struct {
	host *Host
	spec vm.VM // immutable

	mu     sync.Mutex // guards the fields below, and the fields of boot that are marked so
	boot   *boot      // nil while dead
	last   *boot      // the most recent boot that ended; nil before the first one ends
	thawed chan struct{}
	frozen bool
	faults settings
}

// boot is one lifetime of the engine process, from its start until the VM dies.
type boot struct {
	id     vm.BootID
	server *http.Server
	dead   chan struct{} // closed when this boot ends
	batch  *batch

	// The fields below are guarded by the machine's mu.
	order   engine.Order // the last one applied
	fence   uint64       // of the last order applied; the highest so far unless checksFence was off
	readyAt time.Time
	cancels map[string][]chan struct{}
}

func newMachine(h *Host, spec vm.VM) *machine {
	thawed := make(chan struct{})
	close(thawed)
	return &machine{host: h, spec: spec, thawed: thawed, faults: newSettings(h.options, spec.Service != "")}
}

// start boots the VM on listener.
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
	m.recordEvent(Booted)
	m.mu.Unlock()
	go func() { _ = b.server.Serve(listener) }()
}

// shutDown ends the current boot, if there is one, and breaks its connections.
func (m *machine) shutDown() {
	m.mu.Lock()
	b := m.boot
	m.boot = nil
	if b != nil {
		m.last = b
		close(b.dead)
		m.recordEvent(Died)
	}
	m.mu.Unlock()
	if b != nil {
		_ = b.server.Close()
	}
}

// listenTimeout is how long a restart tries to listen on the VM's port again, listenRetryInterval the delay
// between attempts.
const (
	listenTimeout       = 10 * time.Second
	listenRetryInterval = 10 * time.Millisecond
)

// restart boots the VM again, with a new boot ID.
func (m *machine) restart() {
	m.shutDown()
	m.bootIfStopped()
}

// bootIfStopped boots the VM unless it is running or the host has been stopped.
func (m *machine) bootIfStopped() {
	for deadline := time.Now().Add(listenTimeout); time.Now().Before(deadline); time.Sleep(listenRetryInterval) {
		if m.host.stopped.Load() || m.isRunning() {
			return
		}
		listener, err := net.Listen("tcp", m.spec.Address)
		if err == nil {
			m.start(listener)
			return
		}
	}
}

func (m *machine) isRunning() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.boot != nil
}

// crash shuts the VM down and boots it again after Options.CrashRestart.
func (m *machine) crash() {
	m.shutDown()
	time.AfterFunc(m.host.options.CrashRestart, m.bootIfStopped)
}

func (m *machine) apply(s Switches) {
	m.mu.Lock()
	m.faults.change(s)
	if s.Freeze != nil {
		m.freeze(*s.Freeze)
	}
	m.mu.Unlock()
	if s.Die {
		m.shutDown()
	}
	if s.Restart {
		m.restart()
	}
	if s.Die && s.RestartAfterMillis > 0 {
		time.AfterFunc(time.Duration(s.RestartAfterMillis)*time.Millisecond, m.bootIfStopped)
	}
}

// freeze freezes or thaws the VM. It must be called with mu held.
func (m *machine) freeze(on bool) {
	if on == m.frozen {
		return
	}
	m.frozen = on
	if on {
		m.thawed = make(chan struct{})
		m.recordEvent(Frozen)
		return
	}
	close(m.thawed)
	m.recordEvent(Thawed)
}

// recordEvent logs a lifecycle event of the VM. It must be called with mu held.
func (m *machine) recordEvent(event LifecycleEvent) {
	record := LifecycleRecord{VM: m.spec.Name, Event: event}
	if m.boot != nil {
		record.BootID = m.boot.id
	}
	m.host.lifecycle.add(func(now time.Time) LifecycleRecord { record.Time = now; return record })
}

// awaitThaw waits while the VM is frozen, and returns whether the boot is still running. It ignores a client
// that disconnects: a frozen process doesn't notice this, and continues with the request when it thaws.
func (m *machine) awaitThaw(b *boot) bool {
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

// presence is the state of a group member as its head sees it. Higher values are worse.
type presence int

const (
	presentMember presence = iota
	frozenMember
	lostMember
)

func (m *machine) presence(group vm.GroupID) presence {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.boot == nil || m.boot.order.Group != group:
		return lostMember
	case m.frozen:
		return frozenMember
	}
	return presentMember
}

// worstPresence returns the worst presence among the members of an order that run in this process. A lost
// member breaks the replica, so the head aborts its streams; a frozen member only stalls it.
func (h *Host) worstPresence(order engine.Order) presence {
	worst := presentMember
	for _, name := range order.Members {
		if m := h.machine(name); m != nil {
			worst = max(worst, m.presence(order.Group))
		}
	}
	return worst
}

// maxSlowFactor returns the largest slow factor among the members of an order that run in this process,
// because a decoding step takes as long as its slowest member.
func (h *Host) maxSlowFactor(order engine.Order) float64 {
	factor := 0.0
	for _, name := range order.Members {
		if m := h.machine(name); m != nil {
			factor = max(factor, m.settings().slow)
		}
	}
	return factor
}

// addCancel registers a run and returns a channel that closes when the run is cancelled.
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

// cancel cancels all runs of a request, and returns whether there were any.
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
