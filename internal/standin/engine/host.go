// Package engine is a small stand-in of backend servers, for `skylarkpond dev` and for tests: many VMs in
// one process, each with an address of its own, which speak the wire of link/engine. Switches bring about
// their faults. A Host's own address serves the tests:
//
//	GET  /standin/vms                          the VMs, as a list of vm.VM
//	GET  /standin/runs                         Run, as JSON lines: what ran, where, and how it ended
//	GET  /standin/orders                       OrderRecord, as JSON lines
//	GET  /standin/arrivals                     Arrival, as JSON lines: each request of a caller
//	GET  /standin/lives                        LifeRecord, as JSON lines: boots, deaths, freezes
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

// Options are the times and sizes of the engines of a Host.
type Options struct {
	// FirstToken is the time to the first token, TokenGap that between tokens of a request that runs alone.
	FirstToken time.Duration
	TokenGap   time.Duration
	// GapSlope is what each further running request adds to the gap.
	GapSlope time.Duration
	// Slots is how many requests run at once; further ones wait, MaxWaiting of them.
	Slots      int
	MaxWaiting int
	// Loading is the time from an order to load until a model is ready; PlainLoading, a plain service.
	Loading      time.Duration
	PlainLoading time.Duration
	// PlainTime is how long a call of a plain service takes.
	PlainTime time.Duration
	// LoadLag is by how much the reported load is old.
	LoadLag time.Duration
	// CrashRestart is the time from a crash to the next boot.
	CrashRestart time.Duration
}

// DefaultOptions are quick, for tests.
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

// Host runs the VMs of one process. It is safe for concurrent use. Lock order: mu before any machine's
// lock; never two machines' locks at once.
type Host struct {
	options  Options
	runs     *runLog
	orders   lines[OrderRecord]
	arrivals lines[Arrival]
	lives    lines[LifecycleRecord]
	stopped  atomic.Bool // no VM starts any more

	mu       sync.RWMutex // guards machines
	machines map[vm.Name]*machine
}

// NewHost returns a host without VMs.
func NewHost(options Options) *Host {
	return &Host{options: options, runs: newRunLog(), machines: make(map[vm.Name]*machine)}
}

var errVMTwice = eris.New("stand-in has this VM already")

// Add starts a VM at spec.Address and returns spec with the port it got, if it asked for port 0.
func (h *Host) Add(spec vm.VM) (vm.VM, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.machines[spec.Name] != nil {
		return spec, eris.Wrapf(errVMTwice, "%s", spec.Name)
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

// Stop ends all VMs.
func (h *Host) Stop() {
	h.stopped.Store(true)
	for _, m := range h.all() {
		m.die()
	}
}

// VMs returns all VMs, by name.
func (h *Host) VMs() []vm.VM { return h.list(func(*machine) bool { return true }) }

// LiveVMs returns those that are not dead.
func (h *Host) LiveVMs() []vm.VM { return h.list((*machine).lives) }

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

// Orders returns the orders that came so far.
func (h *Host) Orders() []OrderRecord { return h.orders.list() }

// Arrivals returns the requests of callers that reached a VM so far.
func (h *Host) Arrivals() []Arrival { return h.arrivals.list() }

// Lifecycle returns the turns in the lives of the VMs so far.
func (h *Host) Lifecycle() []LifecycleRecord { return h.lives.list() }

var errUnknownVM = eris.New("stand-in has no such VM")

// Switch changes the faults of one VM.
func (h *Host) Switch(name vm.Name, s Switches) error {
	m := h.machine(name)
	if m == nil {
		return eris.Wrapf(errUnknownVM, "%s", name)
	}
	m.apply(s)
	return nil
}

// SwitchDomain changes the faults of every VM of a fabric domain.
func (h *Host) SwitchDomain(name domain.FabricDomain, s Switches) {
	for _, m := range h.all() {
		if m.spec.Position.FabricDomain == name {
			m.apply(s)
		}
	}
}

// Serve answers the tests on listener until ctx ends, and then stops the VMs.
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

// readHeaderTimeout bounds how long a connection may take to send a request's header.
const readHeaderTimeout = 10 * time.Second
