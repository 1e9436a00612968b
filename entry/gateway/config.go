// Package gateway assembles the gateway process, called an entry, which serves callers of a platform whose backend servers register
// themselves. An entry forwards requests unmodified and tells callers which entries to use. One of the entries is the leader: it
// grants the turns, the rights to send a request to a server, to all entries, and forms the groups of servers.
package gateway

import (
	"net/netip"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/internal/descriptors"
	"github.com/skylarkpond/skylarkpond/policy/connections"
	"github.com/skylarkpond/skylarkpond/policy/takeover"
)

// Config holds the process's settings, given at start by flag or environment variable.
type Config struct {
	Name             string  `arg:"--name,env:POND_NAME,required" help:"name of this entry, unique and stable over restarts"`
	Place            string  `arg:"--place,env:POND_PLACE,required" help:"place (region) this entry is in"`
	FailureDomain    string  `arg:"--failure-domain,env:POND_FAILURE_DOMAIN,required" help:"failure domain this entry is in"`
	CallerAddress    string  `arg:"--caller-address,env:POND_CALLER_ADDRESS,required" help:"IP:port for callers' requests"`
	ReadyAddress     string  `arg:"--ready-address,env:POND_READY_ADDRESS,required" help:"IP:port for readiness checks"`
	DirectoryAddress string  `arg:"--directory-address,env:POND_DIRECTORY_ADDRESS,required" help:"IP:port for callers that ask which entries to use"`
	PeerAddress      string  `arg:"--peer-address,env:POND_PEER_ADDRESS,required" help:"IP:port for other entries (UDP)"`
	MetricsAddress   string  `arg:"--metrics-address,env:POND_METRICS_ADDRESS,required" help:"IP:port for metrics, as text"`
	PlatformAddress  string  `arg:"--platform-address,env:POND_PLATFORM_ADDRESS,required" help:"IP:port of the platform's object API"`
	PlatformRate     float64 `arg:"--platform-rate,env:POND_PLATFORM_RATE" default:"40" help:"calls a second this entry may make to the platform"`
	FirstStart       bool    `arg:"--first-start,env:POND_FIRST_START" help:"the whole system starts for the first time, and no caller has come yet"`
	MemoryMB         int     `arg:"--memory-mb,env:POND_MEMORY_MB" default:"206" help:"memory of this VM, in MB"`
	MaxDescriptors   int     `arg:"--max-descriptors,env:POND_MAX_DESCRIPTORS" help:"descriptors that this process may open, files included (0: the limit of the system)"`
	LinkMbps         float64 `arg:"--link-mbps,env:POND_LINK_MBPS" help:"link of this VM in Mbit/s; VMs with more rather take charge of the groups (0: not known)"`
	Cores            float64 `arg:"--cores,env:POND_CORES" help:"processors that this VM may use, a share counting as such (0: not known)"`
	// Limits that operators promise to their callers.
	AddressTTL    float64 `arg:"--address-ttl,env:POND_ADDRESS_TTL" default:"5" help:"seconds for which callers may keep an answer of the directory, at most"`
	StopGrace     float64 `arg:"--stop-grace,env:POND_STOP_GRACE" default:"8" help:"seconds from a request to stop until the process is killed"`
	RetryRatio    float64 `arg:"--retry-ratio,env:POND_RETRY_RATIO" default:"0.2" help:"repeats that all entries may send to a service, as a share of its requests"`
	RetryExtra    float64 `arg:"--retry-extra,env:POND_RETRY_EXTRA" default:"280" help:"repeats that all entries may send to a service beside that, in some ten seconds"`
	SpareCapacity string  `arg:"--spare-capacity,env:POND_SPARE_CAPACITY" default:"kept" help:"VMs that the demand leaves over: kept by the models that have them, or shared among the models by their demand"`
	Returning     string  `arg:"--returning,env:POND_RETURNING" default:"queue" help:"callers that return after failed attempts: queue as other retries, or get the slots that new requests leave over (reserve)"`
	EvacuationMs  float64 `arg:"--evacuation-ms,env:POND_EVACUATION_MS" default:"0" help:"milliseconds within which servers get nothing any more once operators evacuate their failure domain; 0: evacuations are not followed"`
	CheckOnly     bool    `arg:"--check,env:POND_CHECK" help:"check these settings and whether the platform answers, and start nothing"`
	LogLevel      string  `arg:"--log-level,env:POND_LOG_LEVEL" default:"info" help:"error, warn, info or debug"`
	LogQueueSize  int     `arg:"--log-queue,env:POND_LOG_QUEUE" default:"1024" help:"log lines that wait for a slow reader before further ones are dropped and counted"`
}

// Values of Config.SpareCapacity.
const (
	spareKept   = "kept"
	spareShared = "shared"
)

// ErrConfig is wrapped by every error that Config.Check returns.
var ErrConfig = eris.New("invalid setting")

// Check reports all invalid settings in one error, each with the flag's name and the valid range.
func (c *Config) Check() error {
	var problems []string
	check := func(ok bool, setting, valid string) {
		if !ok {
			problems = append(problems, setting+": "+valid)
		}
	}
	for _, address := range []struct{ setting, value string }{
		{"--caller-address", c.CallerAddress},
		{"--ready-address", c.ReadyAddress},
		{"--directory-address", c.DirectoryAddress},
		{"--peer-address", c.PeerAddress},
		{"--metrics-address", c.MetricsAddress},
		{"--platform-address", c.PlatformAddress},
	} {
		_, err := netip.ParseAddrPort(address.value)
		check(err == nil, address.setting, "must be IP:port by number, such as 10.0.0.7:8080, not \""+address.value+"\"")
	}
	check(c.Name != "", "--name", "must not be empty")
	check(c.PlatformRate >= 1 && c.PlatformRate <= 10_000, "--platform-rate", "must be between 1 and 10000 calls a second")
	check(c.AddressTTL >= 1 && c.AddressTTL <= 3600, "--address-ttl", "must be between 1 and 3600 seconds")
	check(c.StopGrace >= 1 && c.StopGrace <= 3600, "--stop-grace", "must be between 1 and 3600 seconds")
	check(c.RetryRatio >= 0 && c.RetryRatio <= 1, "--retry-ratio", "must be between 0 and 1")
	check(c.RetryExtra >= 0 && c.RetryExtra <= 1e6, "--retry-extra", "must be between 0 and 1000000")
	check(c.SpareCapacity == spareKept || c.SpareCapacity == spareShared, "--spare-capacity", "must be "+spareKept+" or "+spareShared)
	check(c.Returning == returningQueue || c.Returning == returningReserve, "--returning", "must be "+returningQueue+" or "+returningReserve)
	check(c.EvacuationMs == 0 || c.EvacuationMs >= 1000 && c.EvacuationMs <= 600_000, "--evacuation-ms", "must be 0 or between 1000 and 600000")
	check(c.MemoryMB >= 32, "--memory-mb", "must be 32 or more")
	check(c.MaxDescriptors == 0 || c.MaxDescriptors >= 128, "--max-descriptors", "must be 0, or 128 or more")
	check(c.LinkMbps >= 0, "--link-mbps", "must be 0 or more")
	check(c.Cores >= 0, "--cores", "must be 0 or more")
	check(c.LogQueueSize >= 1, "--log-queue", "must be 1 or more")
	if len(problems) == 0 {
		return nil
	}
	return eris.Wrap(ErrConfig, strings.Join(problems, "; "))
}

func (c *Config) capacity() takeover.Capacity {
	return takeover.Capacity{LinkMbps: c.LinkMbps, Cores: c.Cores}
}

func (c *Config) evacuationTime() time.Duration {
	return time.Duration(c.EvacuationMs * float64(time.Millisecond))
}

func (c *Config) addressTTL() time.Duration {
	return time.Duration(c.AddressTTL * float64(time.Second))
}

// memory returns the memory of this VM in bytes.
func (c *Config) memory() int64 { return int64(c.MemoryMB) << 20 }

// limits returns what bounds the connections of callers.
func (c *Config) limits() connections.Limits {
	return connections.Limits{Memory: c.memory(), Descriptors: descriptors.Limit(c.MaxDescriptors)}
}

func (c *Config) stopGrace() time.Duration { return time.Duration(c.StopGrace * float64(time.Second)) }
