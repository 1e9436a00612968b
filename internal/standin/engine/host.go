// Package engine simulates backend servers for `skylarkpond dev` and for tests: many VMs in one process,
// each with its own address, that speak the protocol of link/engine. Switches inject faults into them.
// A Host serves a control API for tests on an address of its own:
//
//	GET  /standin/vms                          the VMs, as a list of vm.VM
//	GET  /standin/runs                         Run, as JSON lines: what ran, where, and how it ended
//	GET  /standin/orders                       OrderRecord, as JSON lines
//	GET  /standin/arrivals                     Arrival, as JSON lines: every client request that reached a VM
//	GET  /standin/lives                        LifecycleRecord, as JSON lines: boots, deaths, freezes, thaws
//	POST /standin/vms/{vm}/switches            Switches for one VM
//	POST /standin/domains/{domain}/switches    Switches for each VM of a fabric domain
package engine

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/domain"
	"github.com/skylarkpond/skylarkpond/vm"
)

// Options are the timings and limits of the engines of a Host.
type Options struct {
	// FirstToken is the time to the first token. TokenGap is the time between tokens of a request that runs
	// alone.
	FirstToken time.Duration
	TokenGap   time.Duration
	// GapSlope is added to the gap for each other running request.
	GapSlope time.Duration
	// Slots is the number of requests that run at once. MaxWaiting more may be queued.
	Slots      int
	MaxWaiting int
	// Loading is the time from a load order until a model is ready, PlainLoading until a plain service is.
	Loading      time.Duration
	PlainLoading time.Duration
	// PlainTime is the duration of a call of a plain service.
	PlainTime time.Duration
	// LoadLag is the age of the reported load.
	LoadLag time.Duration
	// CrashRestart is the time from a crash to the next boot.
	CrashRestart time.Duration
}

// DefaultOptions are short timings for tests.
var DefaultOptions = Options{
	FirstToken:   5 * time.Millisecond,
	TokenGap:     2 * time.Millisecond,
	GapSlope:     100 * time.Microsecond,
	Slots:        32,
	MaxWaiting:   256,
	Loading:      50 * time.Millisecond,
	PlainLoading: 5 * time.Millisecond,
	PlainTime:    2 * time.Millisecond,
	LoadLag:      100 * time.Millisecond,
	CrashRestart: 200 * time.Millisecond,
}

// Host runs the VMs of one process. It is safe for concurrent use. Lock order: mu before the lock of any
// machine; the locks of two machines are never held together.
type Host struct {
	options   Options
	runs      *runLog
	orders    recordLog[OrderRecord]
	arrivals  recordLog[Arrival]
	lifecycle recordLog[LifecycleRecord]
	stopped   atomic.Bool // set by Stop; VMs no longer restart

	mu       sync.RWMutex // guards machines
	machines map[vm.Name]*machine
}

// NewHost returns a host without VMs.
func NewHost(options Options) *Host {
	return &Host{options: options, runs: newRunLog(), machines: make(map[vm.Name]*machine)}
}

var errDuplicateVM = eris.New("stand-in has this VM already")

// Add starts a VM at spec.Address. It returns spec with the actual address, which differs if port 0 was
// requested.
func (h *Host) Add(spec vm.VM) (vm.VM, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.machines[spec.Name] != nil {
		return spec, eris.Wrapf(errDuplicateVM, "%s", spec.Name)
	}
	listener, err := net.Listen("tcp", spec.Address)
	if err != nil {
		return spec, eris.Wrapf(err, "stand-in VM %s", spec.Name)
	}
	spec.Address = listener.Addr().String()
	m := newMachine(h, spec)
	h.machines[spec.Name] = m
	m.start(listener)
	return spec, nil
}

// Stop shuts down all VMs and prevents restarts.
func (h *Host) Stop() {
	h.stopped.Store(true)
	for _, m := range h.all() {
		m.shutDown()
	}
}

// VMs returns all VMs, sorted by name.
func (h *Host) VMs() []vm.VM { return h.list(func(*machine) bool { return true }) }

// LiveVMs returns the VMs that are running, sorted by name. Frozen VMs are included.
func (h *Host) LiveVMs() []vm.VM { return h.list((*machine).isRunning) }

func (h *Host) list(wanted func(*machine) bool) []vm.VM {
	list := make([]vm.VM, 0)
	for _, m := range h.all() {
		if !wanted(m) {
			continue
		}
		spec := m.spec
		spec.Leaving = m.settings().leaving
		list = append(list, spec)
	}
	return list
}

func (h *Host) all() []*machine {
	h.mu.RLock()
	defer h.mu.RUnlock()
	list := make([]*machine, 0, len(h.machines))
	for _, m := range h.machines {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *machine) int { return cmp.Compare(a.spec.Name, b.spec.Name) })
	return list
}

func (h *Host) machine(name vm.Name) *machine {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.machines[name]
}

// Runs returns the run log so far.
func (h *Host) Runs() []Run { return h.runs.list() }

// Orders returns the orders received so far, including refused ones.
func (h *Host) Orders() []OrderRecord { return h.orders.list() }

// Arrivals returns the client requests that have reached a VM so far.
func (h *Host) Arrivals() []Arrival { return h.arrivals.list() }

// Lifecycle returns the lifecycle events of all VMs so far.
func (h *Host) Lifecycle() []LifecycleRecord { return h.lifecycle.list() }

var errUnknownVM = eris.New("stand-in has no such VM")

// Switch changes the injected faults of one VM.
func (h *Host) Switch(name vm.Name, s Switches) error {
	m := h.machine(name)
	if m == nil {
		return eris.Wrapf(errUnknownVM, "%s", name)
	}
	m.apply(s)
	return nil
}

// SwitchDomain changes the injected faults of every VM in a fabric domain.
func (h *Host) SwitchDomain(name domain.FabricDomain, s Switches) {
	for _, m := range h.all() {
		if m.spec.Position.FabricDomain == name {
			m.apply(s)
		}
	}
}

// Serve serves the control API on listener until ctx ends, and then stops the VMs.
func (h *Host) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: h.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	defer h.Stop()
	if err := server.Serve(listener); !eris.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "stand-in engines")
	}
	return nil
}

// readHeaderTimeout bounds the time that a client may take to send the headers of a request.
const readHeaderTimeout = 10 * time.Second
