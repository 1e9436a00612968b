package cooperative

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/skylarkpond/skylarkpond/internal/loopback"
	"github.com/skylarkpond/skylarkpond/platform"
	"github.com/skylarkpond/skylarkpond/platform/standin/objects"
	"github.com/skylarkpond/skylarkpond/platform/standin/operator"
	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

// generous bounds every wait on a condition. Nothing is asserted of how long things take.
const generous = 60 * time.Second

// stoodStill is above the time that an entry gives callers to send a header.
const stoodStill = 6 * time.Second

// skylarkpond is the binary, which the suite builds.
var skylarkpond string

func TestCooperative(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Entries on the cooperative's platform, over separate processes")
}

var _ = BeforeSuite(func() {
	var err error
	skylarkpond, err = gexec.Build("github.com/skylarkpond/skylarkpond/cmd/skylarkpond")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gexec.CleanupBuildArtifacts)
})

// gatewayProcess is one entry on the cooperative's platform, as one process after the other.
type gatewayProcess struct {
	name      string
	callers   string
	ready     string
	directory string
	metrics   string
	// toPlatform is its way to the platform.
	toPlatform  *loopback.Proxy
	environment []string
	log         *lockedBuffer

	mu sync.Mutex // guards what follows; a leaf lock
	// life counts its processes; the last one has ended once done is closed.
	life    int
	command *exec.Cmd
	done    chan struct{}
}

// start starts its next process.
func (e *gatewayProcess) start() {
	command := exec.Command(skylarkpond, "gateway")
	command.Env = e.environment
	command.Stdout, command.Stderr = e.log, e.log
	done := make(chan struct{})
	e.mu.Lock()
	e.life++
	e.command, e.done = command, done
	err := command.Start()
	e.mu.Unlock()
	if err != nil {
		close(done)
		return // whoever waits for it to serve sees the spec fail
	}
	go func() {
		defer close(done)
		_ = command.Wait() // an entry that was killed says so by its end
	}()
}

// process is its present process.
func (e *gatewayProcess) process() *os.Process {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.command.Process
}

// ended is closed once its present process has ended.
func (e *gatewayProcess) ended() chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.done
}

// lifeNumber counts its processes.
func (e *gatewayProcess) lifeNumber() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life
}

// configVersion is the version of the configuration that it says to work by, or -1 if it does not answer.
func (e *gatewayProcess) configVersion() int {
	response, err := (&http.Client{Timeout: time.Second}).Get("http://" + e.metrics)
	if err != nil {
		return -1
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return -1
	}
	_, after, found := strings.Cut(string(text), "gauge config.version\n  value:")
	if !found {
		return -1
	}
	var version int
	if _, err := fmt.Sscan(after, &version); err != nil {
		return -1
	}
	return version
}

// lockedBuffer collects what a process writes.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// pond is some entries before a stand-in platform and stand-in backend servers.
type pond struct {
	subnet *loopback.Subnet

	mu sync.Mutex // guards engines, proxies and version while troubles change them; a leaf lock
	// proxies are the ways to the backend servers, by id.
	proxies map[string]*loopback.Proxy
	api     *objects.API
	world   *replica.Cluster
	engines []*replica.Server
	desks   []*replica.Server
	entries []*gatewayProcess
	version int
	// coldTime and coldRate are in the configuration of the model service, from the next configure on.
	coldTime time.Duration
	coldRate float64
	// bookTimeout is the time that requests to the plain service may take, in ms, from the next configure on.
	bookTimeout int
	// settings are added to the environment of entries that are started.
	settings []string
}

// groupSize is how many VMs a group of the model takes.
const groupSize = 3

// pondNetwork is the loopback network of the entries.
const pondNetwork = 3

func newPond(entries, engines int) *pond {
	GinkgoHelper()
	subnet, err := loopback.Acquire(pondNetwork)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(subnet.Close)
	p := &pond{bookTimeout: 2000, subnet: subnet, api: objects.New(), world: replica.NewCluster(), proxies: make(map[string]*loopback.Proxy)}
	DeferCleanup(p.api.Close)
	for range engines {
		p.addEngine("large")
	}
	for range 2 {
		p.addDesk()
	}
	p.configure()
	for i := range entries {
		p.entries = append(p.entries, p.startEntry(i))
	}
	return p
}

// addDesk adds a plain server, which is reached through a proxy.
func (p *pond) addDesk() {
	GinkgoHelper()
	id := fmt.Sprint("desk-", len(p.desks))
	desk := p.world.Start(p.api, replica.Config{
		ID: id, Service: "desk", Zone: "z", Slots: 6, ProxyAddress: func(address string) string { return p.proxyTo(id, address) },
	})
	DeferCleanup(desk.Close)
	p.desks = append(p.desks, desk)
}

func (p *pond) addEngine(staged ...string) {
	GinkgoHelper()
	id := fmt.Sprintf("vm-%02d", len(p.engines))
	engine := p.newEngine(id, staged...)
	DeferCleanup(engine.Close)
	p.engines = append(p.engines, engine)
}

// newEngine starts a model server, which is reached through a proxy.
func (p *pond) newEngine(id string, staged ...string) *replica.Server {
	config := engineConfig(id, staged...)
	config.ProxyAddress = func(address string) string { return p.proxyTo(id, address) }
	return p.world.Start(p.api, config)
}

func engineConfig(id string, staged ...string) replica.Config {
	return replica.Config{
		ID: id, Service: "chat", Zone: "z", Domain: "d", Slots: 8, Engine: true, Staged: staged,
		JoinTime: 150 * time.Millisecond, OpenTime: 100 * time.Millisecond, ReportLag: 100 * time.Millisecond,
		Events: streamEvents, EventInterval: 25 * time.Millisecond,
	}
}

// proxyTo returns the address of a proxy before a backend server, or the server's own where there is none.
func (p *pond) proxyTo(id, address string) string {
	proxy, err := loopback.NewProxy("127.0.0.1:0", address)
	if err != nil {
		return address
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.proxies[id] = proxy
	return proxy.Address()
}

func (p *pond) proxyOf(engine *replica.Server) *loopback.Proxy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.proxies[engine.ID()]
}

// engineAt returns the model server that draw draws.
func (p *pond) engineAt(draw func(int) int) *replica.Server {
	drawn := draw(len(p.engines))
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.engines[drawn]
}

// replaceEngine puts a new model server in the place of one that is gone.
func (p *pond) replaceEngine(gone *replica.Server, staged ...string) {
	id := gone.ID() + "x"
	engine := p.newEngine(id, staged...)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engines[slices.Index(p.engines, gone)] = engine
}

// configure writes the next version of the operator's configuration.
func (p *pond) configure(extra ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	routes := []operator.Route{
		{
			Name: "chat", Host: "h.example", PathPrefix: "/chat/", Kind: operator.Streaming, Service: "chat", Timeout: 25000, LatencyTarget: 300,
			EventGapTarget: 300, MaxAttempts: 2, Resumable: true,
		},
		{
			Name: "book", Host: "h.example", PathPrefix: "/book/", Kind: operator.NonIdempotent, Service: "desk", Timeout: p.bookTimeout, LatencyTarget: 150,
			MaxAttempts: 1,
		},
		{
			Name: "look", Host: "h.example", PathPrefix: "/look/", Kind: operator.Idempotent, Service: "desk", Timeout: 2000, LatencyTarget: 150,
			MaxAttempts: 2,
		},
	}
	for _, prefix := range extra {
		routes = append(routes, operator.Route{
			Name: prefix, Host: "h.example", PathPrefix: prefix, Kind: operator.Idempotent, Service: "desk", Timeout: 2000, MaxAttempts: 2,
		})
	}
	operator.Write(p.api, operator.Config{
		Version: p.version, Routes: routes,
		Services: []operator.Service{
			{Name: "desk"},
			{Name: "chat", ColdTime: p.coldTime.Seconds(), ColdPerSecond: p.coldRate, Engine: &operator.Engine{
				Slots: 8, LoadsPerSecond: 20, LoadsAtOnce: 6, OpenTime: 100, ReportLag: 100,
				Models: []operator.Model{{Name: "large", Size: groupSize, DemandShare: 1, TimeFactor: 1, LoadTime: 1, WarmLoadTime: 0.2}},
			}},
		},
		Limits: operator.Limits{BodyBytes: 1 << 20},
		Teams:  []operator.Team{{Name: "one", Keys: []string{"key"}}},
	})
}

// Ports of an entry, on an address of its own.
const (
	callersPort = 8080 + iota
	readyPort
	directoryPort
	peerPort
	metricsPort
	platformPort
)

// weakCores is less than the leader of many entries needs.
const weakCores = "POND_CORES=0.1"

func (p *pond) startEntry(number int) *gatewayProcess {
	GinkgoHelper()
	name := fmt.Sprint("entry-", number)
	address := func(port int) string { return fmt.Sprintf("%s:%d", p.subnet.IP(number+1), port) }
	e := &gatewayProcess{
		name: name, callers: address(callersPort), ready: address(readyPort), directory: address(directoryPort), metrics: address(metricsPort),
		log: &lockedBuffer{},
	}
	var err error
	e.toPlatform, err = loopback.NewProxy(address(platformPort), p.api.Address())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(e.toPlatform.Close)
	e.environment = append(os.Environ(),
		"POND_NAME="+name, "POND_PLACE=r", "POND_FAILURE_DOMAIN=z", "POND_CALLER_ADDRESS="+e.callers, "POND_READY_ADDRESS="+e.ready,
		"POND_DIRECTORY_ADDRESS="+e.directory, "POND_PEER_ADDRESS="+address(peerPort), "POND_METRICS_ADDRESS="+e.metrics,
		"POND_PLATFORM_ADDRESS="+e.toPlatform.Address(), "POND_STOP_GRACE=20")
	e.environment = append(e.environment, p.settings...)
	if number%2 == 1 {
		e.environment = append(e.environment, weakCores) // it holds only the servers that requests go to
	}
	e.start()
	DeferCleanup(func() {
		_ = e.process().Kill()
		<-e.ended()
		AddReportEntry(name, ReportEntryVisibilityFailureOrVerbose, e.log.String())
	})
	return e
}

func (e *gatewayProcess) signal(s syscall.Signal) {
	GinkgoHelper()
	Expect(e.process().Signal(s)).To(Succeed())
}

func (e *gatewayProcess) isReady() bool {
	response, err := http.Get("http://" + e.ready + platform.PathReady)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// named returns the addresses that an entry tells callers to use.
func (e *gatewayProcess) named() []string {
	response, err := http.Get("http://" + e.directory + platform.PathLookup + "?name=h.example&region=r&zone=z")
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var answer platform.LookupAnswer
	if json.NewDecoder(response.Body).Decode(&answer) != nil {
		return nil
	}
	slices.Sort(answer.Addresses)
	return answer.Addresses
}

// streamEvents is how many events the answer to a prompt has.
const streamEvents = 40

// wholeStream is the answer to the prompt of one request.
func wholeStream(id string) string {
	text := ""
	for i := 1; i <= streamEvents; i++ {
		text += replica.Event(i, id)
	}
	return text
}

func (s sent) whole() bool {
	return s.err == nil && s.status == http.StatusOK && s.body == wholeStream(s.id)
}

// streams sends requests at the same time, one to each entry in turn, and returns what came.
func streams(entries []*gatewayProcess, count int, name string) []sent {
	results := make([]sent, count)
	var asked sync.WaitGroup
	for i := range count {
		asked.Go(func() { results[i] = entries[i%len(entries)].send("/chat/x", fmt.Sprint(name, "-", i)) })
	}
	asked.Wait()
	return results
}

// leader returns the entry that holds the lease.
func (p *pond) leader() *gatewayProcess {
	spec, ok := p.api.Get("leases", "grouping")
	if !ok {
		return nil
	}
	var holder struct {
		Entry string `json:"entry"`
	}
	if json.Unmarshal(spec, &holder) != nil {
		return nil
	}
	for _, e := range p.entries {
		if e.name == holder.Entry {
			return e
		}
	}
	return nil
}

// leaderAndRest returns the entry that holds the lease, and the others.
func (p *pond) leaderAndRest() (leader *gatewayProcess, rest []*gatewayProcess) {
	GinkgoHelper()
	leader = p.leader()
	Expect(leader).NotTo(BeNil())
	return leader, slices.DeleteFunc(slices.Clone(p.entries), func(e *gatewayProcess) bool { return e == leader })
}

// openHeads returns the heads that serve.
func (p *pond) openHeads() []*replica.Server {
	p.mu.Lock()
	engines := slices.Clone(p.engines)
	p.mu.Unlock()
	var heads []*replica.Server
	for _, engine := range engines {
		if group := engine.Group(); group != nil && group.State == "open" {
			heads = append(heads, engine)
		}
	}
	return heads
}

// openGroups counts the groups whose heads serve.
func (p *pond) openGroups() int { return len(p.openHeads()) }

func (p *pond) awaitServing(groups int) {
	GinkgoHelper()
	Eventually(p.openGroups, generous).Should(Equal(groups))
	for _, e := range p.entries {
		Eventually(e.isReady, generous).Should(BeTrue())
		Eventually(func() bool { return e.send("/chat/x", "probe-"+e.name).whole() }, generous).Should(BeTrue(), e.name)
	}
}
