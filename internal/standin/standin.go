// Package standin starts the stand-ins of the platform and of the backend servers, for `skylarkpond dev`
// and for tests.
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

// Config says what to start.
type Config struct {
	// PlatformAddress is where the platform listens, IP:port. Empty: it runs elsewhere, at PlatformURL.
	PlatformAddress string
	PlatformURL     string
	// EnginesAddress is where the tests reach the switches and the log of the engines, IP:port. Empty: no
	// engines here.
	EnginesAddress string
	// FirstIP is the address of the first VM; each further VM has the next one. VMPort is the port of all;
	// 0 lets each have any free one.
	FirstIP netip.Addr
	VMPort  uint16
	Places  []Place
	// Engines are the times of the engines, DefaultOptions where it is the zero value.
	Engines engine.Options
	// WatchWait is how long a watch of the platform waits, HistoryLimit how many changes it keeps.
	WatchWait    time.Duration
	HistoryLimit int
	// ListInterval is how often the platform's list of VMs takes in which are live and leaving.
	ListInterval time.Duration
}

// Place is a region.
type Place struct {
	Name           domain.Place
	FailureDomains []FailureDomain
}

// FailureDomain is a part of a place.
type FailureDomain struct {
	Name          domain.FailureDomain
	FabricDomains []FabricDomain
}

// FabricDomain is a part of a failure domain.
type FabricDomain struct {
	Name domain.FabricDomain
	// VMs is the number of VMs for model engines, each with Accelerators.
	VMs          int
	Accelerators int
	// Plain are VMs dedicated to plain services, on top of VMs.
	Plain []PlainVMs
}

// PlainVMs are VMs dedicated to a plain service.
type PlainVMs struct {
	Service string
	VMs     int
}

// Defaults of a Config.
const (
	DefaultListInterval = 200 * time.Millisecond
	loopback            = "127.0.16.1"
)

// DevConfig returns a small world on any free ports of loopback: a place with two failure domains of one
// fabric domain each, in which a replica of four VMs and one VM of the plain service have room, and a spare.
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

// Running is what Start started. Platform and Engines are nil if they run elsewhere.
type Running struct {
	Platform    *platform.Platform
	Engines     *engine.Host
	PlatformURL string
	EnginesURL  string
	VMs         []vm.VM
	group       *errgroup.Group
}

// Wait returns once everything has ended, with the first error.
func (r *Running) Wait() error { return r.group.Wait() }

// Start starts what config says; it runs until ctx ends. The first list of VMs is at the platform when it
// returns.
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

// vms lays the VMs out.
func (c Config) vms() []vm.VM {
	layout := &layout{next: c.FirstIP, port: c.VMPort}
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

// layout gives VMs their names and addresses.
type layout struct {
	next netip.Addr
	port uint16
	vms  []vm.VM
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
		Address:      netip.AddrPortFrom(l.next, l.port).String(),
		Position:     position,
		Accelerators: accelerators,
		Service:      service,
	})
	l.next = l.next.Next()
}
