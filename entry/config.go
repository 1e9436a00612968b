package entry

import (
	"encoding/hex"
	"net"
	"net/netip"
	"net/url"
	"regexp"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/internal/descriptors"
	"github.com/skylarkpond/skylarkpond/policy/connections"
	"github.com/skylarkpond/skylarkpond/policy/shift"
)

// Config holds the process-level configuration of one entry, given by flags or environment variables. Everything
// else is in the settings tree.
type Config struct {
	Name          string `arg:"--name,env:POND_NAME,required" help:"name of this entry, unique and stable over restarts"`
	Place         string `arg:"--place,env:POND_PLACE,required" help:"place (region) this entry is in"`
	FailureDomain string `arg:"--failure-domain,env:POND_FAILURE_DOMAIN,required" help:"failure domain this entry is in"`
	PublicAddress string `arg:"--public-address,env:POND_PUBLIC_ADDRESS,required" help:"IP:port for callers (HTTP)"`
	PeerAddress   string `arg:"--peer-address,env:POND_PEER_ADDRESS,required" help:"IP:port for other entries (HTTP/3 over UDP)"`
	// AdvertisedPeerAddress is set if packets reach this VM at an address other than its own PeerAddress.
	AdvertisedPeerAddress string `arg:"--advertised-peer-address,env:POND_ADVERTISED_PEER_ADDRESS" help:"IP:port at which other entries reach --peer-address, if it is another"`
	SourceAddress         string `arg:"--source-address,env:POND_SOURCE_ADDRESS" help:"IP from which connections to other entries, backend servers and the platform are made; empty: the system chooses"`
	AdminAddress          string `arg:"--admin-address,env:POND_ADMIN_ADDRESS,required" help:"IP:port for operators (HTTP)"`
	PlatformURL           string `arg:"--platform,env:POND_PLATFORM,required" help:"URL of the platform's object API, by IP number"`
	// PlatformRate limits the platform calls per second of one entry. The platform handles several hundred writes and about
	// two thousand reads a second from all entries together.
	PlatformRate   float64 `arg:"--platform-rate,env:POND_PLATFORM_RATE" default:"100" help:"calls a second this entry may make to the platform"`
	Timeline       string  `arg:"--timeline,env:POND_TIMELINE" help:"file to append time line events to; - for standard output; empty: only the recent ones are kept, in memory"`
	LogLevel       string  `arg:"--log-level,env:POND_LOG_LEVEL" default:"info" help:"panic, fatal, error, warn, info, debug or trace"`
	MemoryMB       int     `arg:"--memory-mb,env:POND_MEMORY_MB" default:"512" help:"memory of this VM, in MB; bounds what callers can make the process hold"`
	MaxDescriptors int     `arg:"--max-descriptors,env:POND_MAX_DESCRIPTORS" help:"descriptors that this process may open, files included (0: the limit of the system)"`
	// BootstrapKeyHash authorizes an operator as long as no settings tree exists.
	BootstrapKeyHash string `arg:"--bootstrap-key-hash,env:POND_BOOTSTRAP_KEY_HASH" help:"SHA-256, in hex, of the operator key accepted while the tree of settings does not exist"`
	// HomeHold and HomeHoldMax set how long an entry that has just joined, or that joins and leaves repeatedly, is
	// not eligible as a home (policy/shift).
	HomeHold    time.Duration `arg:"--home-hold,env:POND_HOME_HOLD" default:"5s" help:"how long an entry must be live before it is home to groups"`
	HomeHoldMax time.Duration `arg:"--home-hold-max,env:POND_HOME_HOLD_MAX" default:"2m" help:"the longest that --home-hold grows to for an entry that comes and goes"`
	// DrainMargin is added to the time for which callers may cache an address before a stopping entry closes its
	// listeners.
	DrainMargin time.Duration `arg:"--drain-margin,env:POND_DRAIN_MARGIN" default:"5s" help:"how much longer than callers may keep its address a stopping entry keeps serving; the news that it leaves take some 3s to 330 entries"`
}

// ErrConfig is wrapped by every error about a Config.
var ErrConfig = eris.New("invalid setting")

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// Check validates the configuration. The error lists every fault with the flag's name and the accepted values.
func (c *Config) Check() error {
	var faults []string
	check := func(ok bool, setting, right string) {
		if !ok {
			faults = append(faults, setting+": "+right)
		}
	}
	check(namePattern.MatchString(c.Name), "--name", "must be 1 to 63 of a-z, 0-9, '-' and '.'")
	check(namePattern.MatchString(c.Place), "--place", "must be 1 to 63 of a-z, 0-9, '-' and '.'")
	check(namePattern.MatchString(c.FailureDomain), "--failure-domain", "must be 1 to 63 of a-z, 0-9, '-' and '.'")
	for _, address := range []struct{ setting, value string }{
		{"--public-address", c.PublicAddress},
		{"--peer-address", c.PeerAddress},
		{"--admin-address", c.AdminAddress},
	} {
		_, err := netip.ParseAddrPort(address.value)
		check(err == nil, address.setting, "must be IP:port by number, such as 10.0.0.7:8080, not "+quoted(address.value))
	}
	if c.AdvertisedPeerAddress != "" {
		_, err := netip.ParseAddrPort(c.AdvertisedPeerAddress)
		check(err == nil, "--advertised-peer-address", "must be IP:port by number, not "+quoted(c.AdvertisedPeerAddress))
	}
	if c.SourceAddress != "" {
		_, err := netip.ParseAddr(c.SourceAddress)
		check(err == nil, "--source-address", "must be an IP by number, not "+quoted(c.SourceAddress))
	}
	check(validPlatform(c.PlatformURL), "--platform", "must be http://IP:port or https://IP:port by number, not "+quoted(c.PlatformURL))
	check(c.PlatformRate >= 1 && c.PlatformRate <= 10_000, "--platform-rate", "must be between 1 and 10000 calls a second")
	check(c.MaxDescriptors == 0 || c.MaxDescriptors >= 128, "--max-descriptors", "must be 0, or 128 or more")
	check(c.MemoryMB >= 32, "--memory-mb", "must be 32 or more")
	check(c.BootstrapKeyHash == "" || validHash(c.BootstrapKeyHash), "--bootstrap-key-hash", "must be 64 hex digits (pondctl hash-key makes one)")
	check(c.homeHold().Check() == nil, "--home-hold, --home-hold-max", "must be 0s to 1m, and from there to 1h")
	check(c.DrainMargin >= 0 && c.DrainMargin <= 10*time.Minute, "--drain-margin", "must be between 0s and 10m")
	if len(faults) == 0 {
		return nil
	}
	return eris.Wrap(ErrConfig, strings.Join(faults, "; "))
}

// homeHold returns the policy that decides when an entry may be a home. Departures of an entry are forgotten after
// ten times HomeHoldMax, or after ten minutes if that is longer.
func (c *Config) homeHold() shift.HoldConfig {
	return shift.HoldConfig{Hold: c.HomeHold, MaxHold: c.HomeHoldMax, ForgetAfter: max(shift.DefaultForgetAfter, 10*c.HomeHoldMax)}
}

// memory returns the memory of this VM in bytes.
func (c *Config) memory() int64 { return int64(c.MemoryMB) << 20 }

// limits returns what bounds the connections of callers.
func (c *Config) limits() connections.Limits {
	return connections.Limits{Memory: c.memory(), Descriptors: descriptors.Limit(c.MaxDescriptors)}
}

// sourceIP returns the local address of outgoing connections, or nil if the system chooses it.
func (c *Config) sourceIP() net.IP { return net.ParseIP(c.SourceAddress) }

// advertisedPeerAddress returns the peer address that is published to the other entries.
func (c *Config) advertisedPeerAddress() string {
	if c.AdvertisedPeerAddress != "" {
		return c.AdvertisedPeerAddress
	}
	return c.PeerAddress
}

func quoted(s string) string { return `"` + s + `"` }

func validPlatform(raw string) bool {
	u, err := url.Parse(raw)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		return false
	}
	_, err = netip.ParseAddrPort(u.Host)
	return err == nil
}

func validHash(s string) bool {
	raw, err := hex.DecodeString(s)
	return err == nil && len(raw) == 32
}
