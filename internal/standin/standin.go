// Package standin runs simulated versions (stand-ins) of the platform and of the backend servers, called
// engines, for `skylarkpond dev` and for tests.
package standin

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkpond/skylarkpond/domain"
	"github.com/skylarkpond/skylarkpond/internal/standin/engine"
	"github.com/skylarkpond/skylarkpond/internal/standin/platform"
	"github.com/skylarkpond/skylarkpond/vm"
)

// Config selects the stand-ins to start and describes the simulated VMs.
type Config struct {
	// PlatformAddress is the IP:port on which the platform listens. If it is empty, the platform runs in
	// another process, at PlatformURL.
	PlatformAddress string
	PlatformURL     string
	// EnginesAddress is the IP:port that serves the engines' fault switches and log to tests. If it is empty,
	// this process runs no engines.
	EnginesAddress string
	// FirstIP is the IP address of the first VM; each further VM gets the next address. VMPort is the port of
	// every VM; 0 assigns each VM any free port.
	FirstIP netip.Addr
	VMPort  uint16
	Places  []Place
	// Engines holds the timings of the engines; the zero value means engine.DefaultOptions.
	Engines engine.Options
	// WatchWait is how long a platform watch waits for a change. HistoryLimit is how many changes the platform
	// keeps.
	WatchWait    time.Duration
	HistoryLimit int
	// ListInterval is the interval at which the platform's VM list is updated with the VMs that are live or
	// leaving.
	ListInterval time.Duration
}

// Place describes a region and its failure domains.
type Place struct {
	Name           domain.Place
	FailureDomains []FailureDomain
}

// FailureDomain describes a failure domain of a place and its fabric domains.
type FailureDomain struct {
	Name          domain.FailureDomain
	FabricDomains []FabricDomain
}

// FabricDomain describes a fabric domain of a failure domain and the VMs in it.
type FabricDomain struct {
	Name domain.FabricDomain
	// VMs is the number of VMs for model engines; each has Accelerators accelerators.
	VMs          int
	Accelerators int
	// Plain lists the VMs dedicated to plain services, in addition to VMs.
	Plain []PlainVMs
}

// PlainVMs is a number of VMs dedicated to one plain service.
type PlainVMs struct {
	Service string
	VMs     int
}

// Defaults for Config.
const (
	DefaultListInterval = 200 * time.Millisecond
	loopback            = "127.0.16.1"
)

// DevConfig returns a small setup on free loopback ports: one place with two failure domains of one fabric
// domain each. Each fabric domain has room for a replica of four VMs, a spare VM, and one VM of the plain
// service.
func DevConfig(plainService string) Config {
	fabric := func(name domain.FabricDomain) []FabricDomain {
		return []FabricDomain{{Name: name, VMs: 5, Accelerators: 2, Plain: []PlainVMs{{Service: plainService, VMs: 1}}}}
	}
	return Config{
		PlatformAddress: "127.0.0.1:0",
		EnginesAddress:  "127.0.0.1:0",
		FirstIP:         netip.MustParseAddr(loopback),
		Places: []Place{{Name: "local", FailureDomains: []FailureDomain{
			{Name: "local-a", FabricDomains: fabric("local-a1")},
			{Name: "local-b", FabricDomains: fabric("local-b1")},
		}}},
	}
}

// Running holds the stand-ins that Start started. Platform and Engines are nil if this process does not run
// them.
type Running struct {
	Platform    *platform.Platform
	Engines     *engine.Host
	PlatformURL string
	EnginesURL  string
	VMs         []vm.VM
	group       *errgroup.Group
}

// Wait blocks until all stand-ins have stopped and returns the first error.
func (r *Running) Wait() error { return r.group.Wait() }

// Start starts the stand-ins that config selects; they run until ctx ends. If it starts engines, the platform
// has the initial VM list when Start returns.
func Start(ctx context.Context, config Config) (*Running, error) {
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	r := &Running{PlatformURL: config.PlatformURL, group: group}
	if err := r.start(ctx, config.withDefaults()); err != nil {
		cancel()
		_ = group.Wait()
		return nil, err
	}
	context.AfterFunc(ctx, cancel)
	return r, nil
}

func (c Config) withDefaults() Config {
	if c.ListInterval <= 0 {
		c.ListInterval = DefaultListInterval
	}
	if c.WatchWait <= 0 {
		c.WatchWait = platform.DefaultWatchWait
	}
	if c.Engines == (engine.Options{}) {
		c.Engines = engine.DefaultOptions
	}
	if !c.FirstIP.IsValid() {
		c.FirstIP = netip.MustParseAddr(loopback)
	}
	return c
}

func (r *Running) start(ctx context.Context, config Config) error {
	if config.PlatformAddress != "" {
		if err := r.startPlatform(ctx, config); err != nil {
			return err
		}
	}
	if config.EnginesAddress == "" {
		return nil
	}
	if err := r.startEngines(ctx, config); err != nil {
		return err
	}
	publisher := r.newPublisher()
	if err := publisher.publish(ctx); err != nil {
		return err
	}
	r.group.Go(func() error { return publisher.run(ctx, config.ListInterval) })
	return nil
}

func (r *Running) startPlatform(ctx context.Context, config Config) error {
	listener, err := net.Listen("tcp", config.PlatformAddress)
	if err != nil {
		return eris.Wrap(err, "stand-in platform")
	}
	r.Platform = platform.New(platform.WithWatchWait(config.WatchWait), platform.WithHistoryLimit(config.HistoryLimit))
	r.PlatformURL = "http://" + listener.Addr().String()
	r.group.Go(func() error { return r.Platform.Serve(ctx, listener) })
	return nil
}

func (r *Running) startEngines(ctx context.Context, config Config) error {
	listener, err := net.Listen("tcp", config.EnginesAddress)
	if err != nil {
		return eris.Wrap(err, "stand-in engines")
	}
	r.Engines = engine.NewHost(config.Engines)
	r.EnginesURL = "http://" + listener.Addr().String()
	r.group.Go(func() error { return r.Engines.Serve(ctx, listener) })
	for _, spec := range config.vms() {
		added, err := r.Engines.Add(spec)
		if err != nil {
			return err
		}
		r.VMs = append(r.VMs, added)
	}
	return nil
}

// vms returns the VMs of all fabric domains, with names and addresses assigned.
func (c Config) vms() []vm.VM {
	layout := &layout{nextIP: c.FirstIP, port: c.VMPort}
	for _, place := range c.Places {
		for _, failure := range place.FailureDomains {
			for _, fabric := range failure.FabricDomains {
				layout.add(domain.Position{
					Place:         place.Name,
					FailureDomain: failure.Name,
					FabricDomain:  fabric.Name,
				}, fabric)
			}
		}
	}
	return layout.vms
}

// layout assigns names and consecutive IP addresses to VMs.
type layout struct {
	nextIP netip.Addr
	port   uint16
	vms    []vm.VM
}

func (l *layout) add(position domain.Position, fabric FabricDomain) {
	for i := range fabric.VMs {
		l.addVM(position, "vm"+strconv.Itoa(i+1), "", fabric.Accelerators)
	}
	for _, plain := range fabric.Plain {
		for i := range plain.VMs {
			l.addVM(position, plain.Service+strconv.Itoa(i+1), plain.Service, 0)
		}
	}
}

func (l *layout) addVM(position domain.Position, name, service string, accelerators int) {
	l.vms = append(l.vms, vm.VM{
		Name:         vm.Name(string(position.FabricDomain) + "-" + name),
		Address:      netip.AddrPortFrom(l.nextIP, l.port).String(),
		Position:     position,
		Accelerators: accelerators,
		Service:      service,
	})
	l.nextIP = l.nextIP.Next()
}
