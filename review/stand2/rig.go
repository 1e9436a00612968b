package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/skylarkpond/skylarkpond/internal/loopback"
	"github.com/skylarkpond/skylarkpond/platform"
	"github.com/skylarkpond/skylarkpond/platform/standin/objects"
	"github.com/skylarkpond/skylarkpond/platform/standin/operator"
	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

// network is the loopback network of the entries, as in 127.<network>.<number>.<host>.
const network = 9

// Ports of an entry, on an address of its own.
const (
	callersPort = 8080 + iota
	readyPort
	directoryPort
	peerPort
	metricsPort
)

// rig is a small deployment: entries as separate processes, and stand-ins for the platform's store and the plain backend servers of one service.
type rig struct {
	subnet  *loopback.Subnet
	api     *objects.API
	world   *replica.Cluster
	servers []*replica.Server
	// zones holds the zone of each plain server, by id.
	zones map[string]string
	began time.Time
	logs  string

	// sent and answered count requests of callers and those that were answered with 200.
	sent, answered atomic.Int64

	entries []*entry

	mu     sync.Mutex // guards record
	record *os.File
}

// entry is one process of the system on a machine of its own, which has one address.
type entry struct {
	name, callers, ready, directory string
	command                         *exec.Cmd
	startedAt                       time.Time
	// endedAt is when the machine was lost; zero while it runs.
	endedAt time.Time
	ended   chan struct{}
}

// unable ends the program: the case couldn't run.
type unable struct{ error }

func must(err error) {
	if err != nil {
		panic(unable{err})
	}
}

func newRig(recordPath string, plainServers int) *rig {
	subnet, err := loopback.Acquire(network)
	must(err)
	record, err := os.Create(recordPath)
	must(err)
	logs, err := os.MkdirTemp("", "review")
	must(err)
	r := &rig{
		subnet: subnet, api: objects.New(), world: replica.NewCluster(), zones: make(map[string]string), began: time.Now(), record: record, logs: logs,
	}
	r.addServers(plainServers)
	operator.Write(r.api, r.config(1))
	return r
}

// addServers adds plain servers, in three zones, until there are as many.
func (r *rig) addServers(count int) {
	for i := len(r.servers); i < count; i++ {
		id, zone := fmt.Sprint("desk-", i), fmt.Sprint("z", i%3)
		r.zones[id] = zone
		r.servers = append(r.servers, r.world.Start(r.api, replica.Config{ID: id, Service: "desk", Zone: zone, Slots: 6}))
	}
}

// tenantKey is the key of the only tenant.
const tenantKey = "key"

// config returns a version of the configuration: one route that needs a key, and one tenant.
func (r *rig) config(version int) operator.Config {
	return operator.Config{
		Version: version,
		Routes: []operator.Route{{
			Name: "look", Host: "h.example", PathPrefix: "/look/", Kind: operator.Idempotent, Service: "desk", Timeout: 1200, LatencyTarget: 150, MaxAttempts: 2,
		}},
		Services: []operator.Service{{Name: "desk"}},
		Limits:   operator.Limits{BodyBytes: 4 << 20},
		Teams:    []operator.Team{{Name: "one", Keys: []string{tenantKey}}},
	}
}

// close ends everything that the rig started.
func (r *rig) close() {
	for _, e := range r.entries {
		if e.endedAt.IsZero() {
			_ = e.command.Process.Kill()
			<-e.ended
		}
	}
	for _, server := range r.servers {
		server.Close()
	}
	r.api.Close()
	_ = r.record.Close()
	_ = r.subnet.Close()
	_ = os.RemoveAll(r.logs)
}

// note adds a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// start starts an entry on a new machine, with the command and the settings of deploy/system.toml.
func (r *rig) start(first bool) *entry {
	number := len(r.entries) + 1
	address := func(port int) string { return net.JoinHostPort(r.subnet.IP(number), fmt.Sprint(port)) }
	e := &entry{
		name: fmt.Sprint("edge-", number), callers: address(callersPort), ready: address(readyPort), directory: address(directoryPort),
		startedAt: time.Now(), ended: make(chan struct{}),
	}
	log, err := os.Create(filepath.Join(r.logs, e.name))
	must(err)
	e.command = exec.Command("target/skylarkpond", "gateway")
	e.command.Stdout, e.command.Stderr = log, log
	e.command.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"),
		"POND_NAME=" + e.name, "POND_PLACE=r", fmt.Sprint("POND_FAILURE_DOMAIN=z", number%3), "POND_CALLER_ADDRESS=" + e.callers,
		"POND_READY_ADDRESS=" + e.ready, "POND_DIRECTORY_ADDRESS=" + e.directory, "POND_PEER_ADDRESS=" + address(peerPort),
		"POND_METRICS_ADDRESS=" + address(metricsPort), "POND_PLATFORM_ADDRESS=" + r.api.Address(), fmt.Sprint("POND_FIRST_START=", first),
		"POND_MEMORY_MB=206", "POND_MAX_DESCRIPTORS=2940", "POND_LINK_MBPS=700", "POND_CORES=0.272", "POND_ADDRESS_TTL=5", "POND_STOP_GRACE=8",
		"POND_RETRY_RATIO=0.2", "POND_RETRY_EXTRA=512", "POND_EVACUATION_MS=5000", "POND_SPARE_CAPACITY=kept", "POND_RETURNING=queue",
	}
	must(e.command.Start())
	go func() {
		_ = e.command.Wait()
		_ = log.Close()
		close(e.ended)
	}()
	r.entries = append(r.entries, e)
	r.note("machine %s starts, callers at %s", e.name, e.callers)
	return e
}

// remove takes a machine away for good.
func (r *rig) remove(e *entry) {
	must(e.command.Process.Signal(syscall.SIGKILL))
	<-e.ended
	e.endedAt = time.Now()
	r.note("machine %s is lost for good (SIGKILL, never started again)", e.name)
}

// running returns the entries whose machines run.
func (r *rig) running() []*entry {
	var running []*entry
	for _, e := range r.entries {
		if e.endedAt.IsZero() {
			running = append(running, e)
		}
	}
	return running
}

var shortClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func get(url string) (int, []byte, error) {
	response, err := shortClient.Get(url)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

func (e *entry) isReady() bool {
	status, _, err := get("http://" + e.ready + platform.PathReady)
	return err == nil && status == http.StatusOK
}

// named returns the addresses that an entry tells callers to use.
func (e *entry) named() ([]string, error) {
	status, body, err := get("http://" + e.directory + platform.PathLookup + "?name=h.example&region=r&zone=z0")
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, fmt.Errorf("status %d", status)
	}
	var answer platform.LookupAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return nil, err
	}
	slices.Sort(answer.Addresses)
	return answer.Addresses, nil
}

// send sends one request of a caller to an entry.
func (r *rig) send(address, id string) error {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/look/x", nil)
	must(err)
	request.Host = "h.example"
	request.Header.Set(platform.HeaderRequestID, id)
	request.Header.Set(platform.HeaderKey, tenantKey)
	request.Header.Set(platform.HeaderDeadline, "2500")
	response, err := shortClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.ReadAll(response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// await waits until a condition holds.
func await(d time.Duration, what string, holds func() bool) {
	for ends := time.Now().Add(d); !holds(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(ends) {
			panic(unable{fmt.Errorf("waited in vain: %s", what)})
		}
	}
}

// nameOf returns the machine that has an address.
func (r *rig) nameOf(address string) *entry {
	i := slices.IndexFunc(r.entries, func(e *entry) bool { return e.callers == address })
	if i < 0 {
		return nil
	}
	return r.entries[i]
}

func names(entries []*entry) string {
	var all []string
	for _, e := range entries {
		all = append(all, e.name)
	}
	return strings.Join(all, " ")
}
