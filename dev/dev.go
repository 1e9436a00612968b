// Package dev runs the whole system on loopback addresses: stand-ins for the platform and the backend
// servers, and entries in front of them, so that a developer can serve a request with one command. Tests
// use it to run the stand-ins alone, in a separate process.
package dev

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkpond/skylarkpond/contract/settings"
	"github.com/skylarkpond/skylarkpond/entry"
	"github.com/skylarkpond/skylarkpond/examples"
	"github.com/skylarkpond/skylarkpond/internal/standin"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/policy/shift"
)

// Role selects the parts of the system to run.
type Role string

// The roles.
const (
	All      Role = "all"
	StandIns Role = "standins"
)

// Config holds the settings of dev, from flags and environment variables.
type Config struct {
	Role    Role   `arg:"--role,env:POND_DEV_ROLE" default:"all" help:"all, or standins alone"`
	Entries int    `arg:"--entries,env:POND_DEV_ENTRIES" default:"3" help:"how many entries to run, 1 to 9"`
	Port    uint16 `arg:"--port,env:POND_DEV_PORT" default:"8080" help:"the first entry's port for callers; the following hundred are used too"`
	// The fields below are for the role standins.
	Platform      string `arg:"--platform-address,env:POND_DEV_PLATFORM" default:"127.0.0.1:0" help:"IP:port of the stand-in platform"`
	Engines       string `arg:"--engines-address,env:POND_DEV_ENGINES" default:"127.0.0.1:0" help:"IP:port of the switches of the stand-in backend servers"`
	StandInConfig string `arg:"--world,env:POND_DEV_WORLD" help:"JSON file with a stand-in configuration in place of the small one"`
}

// Check returns an error if a setting is invalid.
func (c *Config) Check() error {
	if c.Role != All && c.Role != StandIns {
		return eris.Errorf("--role: must be %s or %s, not %q", All, StandIns, c.Role)
	}
	if c.Entries < 1 || c.Entries > 9 {
		return eris.Errorf("--entries: must be 1 to 9, not %d", c.Entries)
	}
	for setting, value := range map[string]string{"--platform-address": c.Platform, "--engines-address": c.Engines} {
		if _, err := netip.ParseAddrPort(value); err != nil {
			return eris.Errorf("%s: must be IP:port by number, not %q", setting, value)
		}
	}
	return nil
}

// Run runs the system until ctx ends. It prints example requests to out.
func Run(ctx context.Context, config Config, out io.Writer) error {
	standIns, err := config.standInConfig()
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	// The stand-ins must outlive the entries, which drain before they stop.
	standInCtx, stopStandIns := context.WithCancel(context.WithoutCancel(ctx))
	defer stopStandIns()
	running, err := standin.Start(standInCtx, standIns)
	if err != nil {
		return eris.Wrap(err, "starting the stand-ins")
	}
	if config.Role == StandIns {
		printAddresses(out, running)
		<-ctx.Done()
		return nil
	}
	if err := applyExamples(ctx, running.PlatformURL); err != nil {
		return err
	}
	for i := range config.Entries {
		group.Go(func() error { return entry.Serve(ctx, config.entryConfig(i, running.PlatformURL)) })
	}
	group.Go(func() error { return config.printExamplesWhenServing(ctx, out) })
	return group.Wait()
}

func (c *Config) standInConfig() (standin.Config, error) {
	standIns := standin.DevConfig("desk")
	if c.StandInConfig != "" {
		text, err := os.ReadFile(c.StandInConfig)
		if err != nil {
			return standIns, eris.Wrap(err, "--world")
		}
		standIns = standin.Config{}
		if err := json.Unmarshal(text, &standIns); err != nil {
			return standIns, eris.Wrap(err, "--world")
		}
	}
	standIns.PlatformAddress = c.Platform
	standIns.EnginesAddress = c.Engines
	return standIns, nil
}

// addresses is the line of JSON that the role standins prints once it is ready.
type addresses struct {
	Platform string `json:"platform"`
	Engines  string `json:"engines"`
}

func printAddresses(out io.Writer, running *standin.Running) {
	_ = json.NewEncoder(out).Encode(addresses{Platform: running.PlatformURL, Engines: running.EnginesURL})
}

// applyExamples writes the settings in examples/dev to the platform, as pondctl apply would.
func applyExamples(ctx context.Context, platformURL string) error {
	declarations, err := settings.LoadFS(examples.Dev(), "examples/dev")
	if err != nil {
		return err
	}
	tree := declarations.Tree(uuid.NewString())
	value, err := json.Marshal(tree)
	if err != nil {
		return err
	}
	store := platform.NewClient(platformURL)
	_, err = platform.PutConfirmed(ctx, store, platform.KindSettings, platform.SettingsName, 0, value, tree.Nonce)
	return err
}

// The offsets of an entry's admin and peer ports from its port for callers, and the distance between the
// ports of successive entries.
const (
	adminOffset = 1
	peerOffset  = 2
	entryStride = 10
)

func (c *Config) address(i, offset int) string {
	return fmt.Sprintf("127.0.0.1:%d", int(c.Port)+i*entryStride+offset)
}

func (c *Config) entryConfig(i int, platformURL string) entry.Config {
	const place = "local"
	domains := []string{"local-a", "local-b"}
	return entry.Config{
		Name: fmt.Sprintf("entry-%d", i+1), Place: place, FailureDomain: domains[i%len(domains)],
		PublicAddress: c.address(i, 0), AdminAddress: c.address(i, adminOffset), PeerAddress: c.address(i, peerOffset),
		PlatformURL: platformURL, PlatformRate: 100, MemoryMB: memoryMB, LogLevel: "warn", DrainMargin: time.Second,
		HomeHold: shift.DefaultHold, HomeHoldMax: shift.DefaultMaxHold,
	}
}

// memoryMB is the memory setting of each entry.
const memoryMB = 512

var errNoGroups = errors.New("no group serves yet")
