package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"time"

	"github.com/skylarkpond/skylarkpond/internal/loopback"
	"github.com/skylarkpond/skylarkpond/platform/standin/objects"
	"github.com/skylarkpond/skylarkpond/platform/standin/operator"
)

// network is the loopback network of the processes that a case starts.
const network = 61

// Ports of an entry, on an address of its own.
const (
	callersPort = 8080 + iota
	readyPort
	directoryPort
	peerPort
	metricsPort
	platformPort
)

// rig is a small deployment: stand-ins for the store and the servers in this process, and entries as processes of their own.
type rig struct {
	record  *record
	subnet  *loopback.Subnet
	api     *objects.API
	entries []*entry
	servers []*server
	// settings replace those of the deploy file for entries that are added.
	settings []string
	// running holds the server that has begun to work on each request, by the request's id.
	running sync.Map
}

func newRig(r *record) (*rig, error) {
	subnet, err := loopback.Acquire(network)
	if err != nil {
		return nil, err
	}
	return &rig{record: r, subnet: subnet, api: objects.New()}, nil
}

// close ends all processes that the rig started.
func (g *rig) close() {
	for _, e := range g.entries {
		e.kill()
		_ = e.toStore.Close()
	}
	for _, s := range g.servers {
		_ = s.listener.Close()
	}
	g.api.Close()
	_ = g.subnet.Close()
}

// entry is one entry of the deployment, as one process after the other.
type entry struct {
	name           string
	callers, ready string
	// toStore is the entry's path to the store.
	toStore *loopback.Proxy
	env     []string
	log     *os.File
	// served and lost count what clients with kept connections got.
	served, lost atomic.Int64

	mu      sync.Mutex // guards what follows
	command *exec.Cmd
	done    chan struct{}
}

// addEntry prepares an entry and starts its first process.
func (g *rig) addEntry(logDir string) (*entry, error) {
	number := len(g.entries) + 1
	address := func(port int) string { return fmt.Sprintf("%s:%d", g.subnet.IP(number), port) }
	e := &entry{
		name: fmt.Sprint("entry-", number), callers: address(callersPort), ready: address(readyPort),
	}
	var err error
	if e.toStore, err = loopback.NewProxy(address(platformPort), g.api.Address()); err != nil {
		return nil, err
	}
	if e.log, err = os.Create(logDir + "/" + e.name + ".log"); err != nil {
		return nil, err
	}
	e.env = append([]string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"),
		"POND_NAME=" + e.name, "POND_PLACE=r", "POND_FAILURE_DOMAIN=z", "POND_CALLER_ADDRESS=" + e.callers, "POND_READY_ADDRESS=" + e.ready,
		"POND_DIRECTORY_ADDRESS=" + address(directoryPort), "POND_PEER_ADDRESS=" + address(peerPort), "POND_METRICS_ADDRESS=" + address(metricsPort),
		"POND_PLATFORM_ADDRESS=" + e.toStore.Address(), "POND_FIRST_START=false", "POND_MEMORY_MB=206", "POND_LINK_MBPS=700", "POND_CORES=0.272",
		"POND_ADDRESS_TTL=5", "POND_STOP_GRACE=8", "POND_RETRY_RATIO=0.2", "POND_RETRY_EXTRA=317", "POND_EVACUATION_MS=0",
		"POND_SPARE_CAPACITY=kept", "POND_RETURNING=queue",
	}, g.settings...)
	g.entries = append(g.entries, e)
	return e, e.start()
}

// start starts the entry's next process.
func (e *entry) start() error {
	command := exec.Command("target/skylarkpond", "gateway")
	command.Env = e.env
	command.Stdout, command.Stderr = e.log, e.log
	done := make(chan struct{})
	if err := command.Start(); err != nil {
		return err
	}
	go func() {
		_ = command.Wait()
		close(done)
	}()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.command, e.done = command, done
	return nil
}

func (e *entry) process() (*os.Process, chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.command == nil {
		return nil, nil
	}
	return e.command.Process, e.done
}

// kill ends the entry's process and waits for its end.
func (e *entry) kill() {
	p, done := e.process()
	if p == nil {
		return
	}
	_ = p.Kill()
	<-done
}

func (e *entry) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + e.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// deploy writes the first configuration and starts entries, and waits until they are ready.
func (g *rig) deploy(logDir string, entries int, routes ...operator.Route) error {
	operator.Write(g.api, operator.Config{
		Version: 1, Routes: routes, Services: []operator.Service{{Name: serviceName}}, Limits: operator.Limits{BodyBytes: maxBodyBytes},
		Teams: []operator.Team{{Name: "one", Keys: []string{"key-one"}}},
	})
	return g.startEntries(logDir, entries)
}

// startEntries starts entries and waits until they are ready.
func (g *rig) startEntries(logDir string, entries int) error {
	for range entries {
		if _, err := g.addEntry(logDir); err != nil {
			return err
		}
	}
	for _, e := range g.entries {
		if err := await(e.name+" is ready", 15*time.Second, e.isReady); err != nil {
			return err
		}
	}
	time.Sleep(listTime)
	return nil
}

const (
	serviceName = "desk"
	// maxBodyBytes is the limit of request bodies in the users' configurations.
	maxBodyBytes = 4 << 20
	// listTime is how long after its start an entry may take to list the servers.
	listTime = 2 * time.Second
)

// await waits until a condition holds.
func await(what string, timeout time.Duration, holds func() bool) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("%s: not within %v", what, timeout)
}
