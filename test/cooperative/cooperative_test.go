// Package cooperative holds the failure tests of entries on the cooperative's platform: real processes before stand-ins, which are killed,
// stopped and signalled while callers are served. What ran is judged by the stand-in servers.
package cooperative

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
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

// gatewayProcess is one entry on the cooperative's platform, as a process.
type gatewayProcess struct {
	name      string
	callers   string
	ready     string
	directory string
	command   *exec.Cmd
	log       *lockedBuffer
	done      chan struct{}
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
	subnet  *loopback.Subnet
	api     *objects.API
	world   *replica.World
	engines []*replica.Server
	desks   []*replica.Server
	entries []*gatewayProcess
	version int
}

// pondNetwork is the loopback network of the entries.
const pondNetwork = 3

func newPond(entries, engines int) *pond {
	GinkgoHelper()
	subnet, err := loopback.Take(pondNetwork)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(subnet.Close)
	p := &pond{subnet: subnet, api: objects.New(), world: replica.NewWorld()}
	DeferCleanup(p.api.Close)
	for range engines {
		p.addEngine("large")
	}
	for i := range 2 {
		desk := p.world.Start(p.api, replica.Config{ID: fmt.Sprint("desk-", i), Service: "desk", Zone: "z", Slots: 6})
		DeferCleanup(desk.Close)
		p.desks = append(p.desks, desk)
	}
	p.configure()
	for i := range entries {
		p.entries = append(p.entries, p.startEntry(i))
	}
	return p
}

func (p *pond) addEngine(staged ...string) {
	engine := p.world.Start(p.api, replica.Config{
		ID: fmt.Sprintf("vm-%02d", len(p.engines)), Service: "chat", Zone: "z", Domain: "d", Slots: 8, Engine: true, Staged: staged,
		JoinTakes: 150 * time.Millisecond, OpenTakes: 100 * time.Millisecond, ReportLag: 100 * time.Millisecond,
		Events: 40, EventTakes: 25 * time.Millisecond,
	})
	DeferCleanup(engine.Close)
	p.engines = append(p.engines, engine)
}

// configure writes the next version of the operator's configuration.
func (p *pond) configure(extra ...string) {
	p.version++
	routes := []operator.Route{
		{
			Name: "chat", Host: "h.example", Prefix: "/chat/", Kind: operator.Streaming, Service: "chat", Timeout: 25000, FirstAnswer: 300,
			MaxPause: 300, MaxAttempts: 2, Resumable: true,
		},
		{
			Name: "book", Host: "h.example", Prefix: "/book/", Kind: operator.NonIdempotent, Service: "desk", Timeout: 2000, FirstAnswer: 150,
			MaxAttempts: 1,
		},
	}
	for _, prefix := range extra {
		routes = append(routes, operator.Route{
			Name: prefix, Host: "h.example", Prefix: prefix, Kind: operator.Idempotent, Service: "desk", Timeout: 2000, MaxAttempts: 2,
		})
	}
	operator.Write(p.api, operator.Config{
		Version: p.version, Routes: routes,
		Services: []operator.Service{
			{Name: "desk"},
			{Name: "chat", Engine: &operator.Engine{
				Slots: 8, LoadsPerSecond: 20, LoadsAtOnce: 6, OpenTime: 100, ReportLag: 100,
				Models: []operator.Model{{Name: "large", Size: 3, Share: 1, Pace: 1, Load: 1, Warm: 0.2}},
			}},
		},
		Limits: operator.Limits{Body: 1 << 20},
		Teams:  []operator.Team{{Name: "one", Keys: []string{"key"}}},
	})
}

func (p *pond) startEntry(number int) *gatewayProcess {
	GinkgoHelper()
	name := fmt.Sprint("entry-", number)
	address := func(port int) string { return fmt.Sprintf("%s:%d", p.subnet.IP(number+1), port) }
	e := &gatewayProcess{
		name: name, callers: address(8080), ready: address(8081), directory: address(8082),
		log: &lockedBuffer{}, done: make(chan struct{}),
	}
	e.command = exec.Command(skylarkpond, "gateway")
	e.command.Env = append(os.Environ(),
		"POND_NAME="+name, "POND_PLACE=r", "POND_FAILURE_DOMAIN=z", "POND_CALLER_ADDRESS="+e.callers, "POND_READY_ADDRESS="+e.ready,
		"POND_DIRECTORY_ADDRESS="+e.directory, "POND_PEER_ADDRESS="+address(8083), "POND_METRICS_ADDRESS="+address(8084),
		"POND_PLATFORM_ADDRESS="+p.api.Address(), "POND_STOP_GRACE=20")
	e.command.Stdout, e.command.Stderr = e.log, e.log
	Expect(e.command.Start()).To(Succeed())
	go func() {
		defer close(e.done)
		_ = e.command.Wait() // an entry that was killed says so by its end
	}()
	DeferCleanup(func() {
		_ = e.command.Process.Kill()
		<-e.done
		AddReportEntry(name, ReportEntryVisibilityFailureOrVerbose, e.log.String())
	})
	return e
}

func (e *gatewayProcess) signal(s syscall.Signal) {
	GinkgoHelper()
	Expect(e.command.Process.Signal(s)).To(Succeed())
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

// sent is what a caller got.
type sent struct {
	id     string
	status int
	body   string
	retry  string
	err    error
}

func (e *gatewayProcess) send(path, id string) sent { return e.sendBody(path, id, "body") }

func (e *gatewayProcess) sendBody(path, id, body string) sent {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callers+path, strings.NewReader(body))
	if err != nil {
		return sent{id: id, err: err}
	}
	request.Host = "h.example"
	request.Header.Set(platform.HeaderRequestID, id)
	request.Header.Set(platform.HeaderKey, "key")
	if strings.HasPrefix(path, "/chat/") {
		request.Header.Set(platform.HeaderModel, "large")
		request.Header.Set(platform.HeaderTokens, "100,100")
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return sent{id: id, err: err}
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return sent{id: id, status: response.StatusCode, body: string(answer), retry: response.Header.Get("Retry-After"), err: err}
}

// wholeStream is the answer to a prompt.
func wholeStream() string {
	text := ""
	for i := 1; i <= 40; i++ {
		text += fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
	}
	return text
}

func (s sent) whole() bool {
	return s.err == nil && s.status == http.StatusOK && s.body == wholeStream()
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

// openGroups counts the groups whose heads serve.
func (p *pond) openGroups() int {
	n := 0
	for _, engine := range p.engines {
		if group := engine.Group(); group != nil && group.State == "open" {
			n++
		}
	}
	return n
}

func (p *pond) awaitServing(groups int) {
	GinkgoHelper()
	Eventually(p.openGroups, generous).Should(Equal(groups))
	for _, e := range p.entries {
		Eventually(e.isReady, generous).Should(BeTrue())
		Eventually(func() bool { return e.send("/chat/x", "probe-"+e.name).whole() }, generous).Should(BeTrue(), e.name)
	}
}

var _ = Describe("Entries on the cooperative's platform", func() {
	It("serve streams whole and run bookings once, and are all named to callers", func() {
		p := newPond(3, 7)
		p.awaitServing(2)
		for _, got := range streams(p.entries, 12, "calm") {
			Expect(got.whole()).To(BeTrue(), "%+v", got)
		}
		for i := range 9 {
			id := fmt.Sprint("booking-", i)
			Expect(p.entries[i%3].send("/book/x", id).status).To(Equal(http.StatusOK))
			Expect(p.world.Runs(id)).To(Equal(1))
		}
		Eventually(p.entries[0].named, generous).Should(HaveLen(3))
		Expect(p.world.Broken()).To(BeEmpty())
	})

	// The entry in charge is killed while streams run, and a member of a group dies before another entry has taken over. Callers of the
	// other entries would wait in a group that stands still, which nobody is there to mend.
	It("go on and mend a group after the entry in charge was killed", func() {
		p := newPond(4, 7)
		p.awaitServing(2)
		leader := p.leader()
		Expect(leader).NotTo(BeNil())
		rest := slices.DeleteFunc(slices.Clone(p.entries), func(e *gatewayProcess) bool { return e == leader })
		results := make(chan []sent, 1)
		go func() { results <- streams(rest, 6, "killed") }()
		time.Sleep(200 * time.Millisecond)
		leader.signal(syscall.SIGKILL)
		for _, engine := range p.engines {
			if group := engine.Group(); group != nil && group.State == "ready" && group.Rank == 1 {
				engine.Die()
				break
			}
		}
		for _, got := range <-results {
			Expect(got.status).To(BeElementOf(http.StatusOK, http.StatusServiceUnavailable, http.StatusBadGateway), "%+v", got)
		}
		p.entries = rest
		Eventually(p.leader, generous).ShouldNot(BeNil())
		p.awaitServing(2)
		Expect(p.world.Broken()).To(BeEmpty())
	})

	// An entry is stopped for an upgrade while callers read their answers from it.
	It("cut no stream when one of them is stopped, and no longer name it", func() {
		p := newPond(3, 7)
		p.awaitServing(2)
		Eventually(p.entries[1].named, generous).Should(HaveLen(3))
		stopped := p.entries[0]
		results := make(chan []sent, 1)
		go func() { results <- streams([]*gatewayProcess{stopped}, 5, "stopped") }()
		time.Sleep(200 * time.Millisecond)
		stopped.signal(syscall.SIGTERM)
		Eventually(stopped.isReady, generous).Should(BeFalse())
		for _, got := range <-results {
			Expect(got.whole()).To(BeTrue(), "%+v", got)
		}
		Eventually(stopped.done, generous).Should(BeClosed())
		Eventually(p.entries[1].named, generous).ShouldNot(ContainElement(stopped.callers))
	})

	// An entry is stopped while callers who hold its address keep coming. What it takes late does not end inside the grace, and the caller
	// gets a part of an answer, where another entry would have given the whole.
	It("take nothing so late that it would be cut when the grace is over", func() {
		p := newPond(2, 4)
		for _, engine := range p.engines {
			engine.SetStream(120, 100*time.Millisecond)
		}
		Eventually(p.openGroups, generous).Should(Equal(1))
		stopped := p.entries[0]
		Eventually(func() int { return stopped.send("/book/x", "probe").status }, generous).Should(Equal(http.StatusOK))
		stopped.signal(syscall.SIGTERM)
		results := make(chan sent, 100)
		var asked sync.WaitGroup
		for i := 0; ; i++ {
			if _, err := net.DialTimeout("tcp", stopped.callers, time.Second); err != nil {
				break // it takes nothing any more
			}
			asked.Go(func() { results <- stopped.send("/chat/x", fmt.Sprint("late-", i)) })
			time.Sleep(1200 * time.Millisecond)
		}
		asked.Wait()
		close(results)
		for got := range results {
			Expect(got.status == http.StatusOK && got.err != nil).To(BeFalse(), "%s was cut after %d bytes: %v", got.id, len(got.body), got.err)
		}
	})

	// An entry stands still for longer than callers may take to send a request, as a suspended VM does. A caller had connected before and
	// sends its request meanwhile. When the entry goes on, it would reset the connection with the request unread.
	It("answer what arrived while one of them stood still", func() {
		p := newPond(2, 4)
		p.awaitServing(1)
		frozen := p.entries[1]
		var conns []net.Conn
		for range 40 {
			conn, err := net.Dial("tcp", frozen.callers)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
			_, err = conn.Write([]byte("GET /nowhere/ HTTP/1.1\r\n")) // the entry has begun to read: what it waits for is timed
			Expect(err).NotTo(HaveOccurred())
			conns = append(conns, conn)
		}
		time.Sleep(300 * time.Millisecond)
		frozen.signal(syscall.SIGSTOP)
		for _, conn := range conns {
			_, err := conn.Write([]byte("Host: h.example\r\n\r\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		time.Sleep(stoodStill)
		frozen.signal(syscall.SIGCONT)
		for _, conn := range conns {
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.StatusCode).To(Equal(http.StatusNotFound))
		}
	})

	// A booking crashes each server that begins to run it, and its caller sends it again and again, to one entry after the other. All servers
	// would be gone after some seconds, with the bookings of everyone else.
	It("hold back a request that crashes servers, and serve the others", func() {
		p := newPond(3, 4)
		p.awaitServing(1)
		const poison = "poison"
		for i := range 6 {
			desk := p.world.Start(p.api, replica.Config{ID: fmt.Sprint("spare-desk-", i), Service: "desk", Zone: "z", Slots: 6})
			DeferCleanup(desk.Close)
			p.desks = append(p.desks, desk)
		}
		for _, desk := range p.desks {
			desk.Set(replica.Faults{CrashOn: poison})
		}
		refused := 0
		Eventually(func() int {
			got := p.entries[refused%3].sendBody("/book/x", "poison", poison)
			if got.status == http.StatusServiceUnavailable && got.retry == "60.000" {
				refused++
			}
			return refused
		}, generous, "300ms").Should(Equal(6))
		Expect(p.world.Runs("poison")).To(BeNumerically("<=", 5))
		for i := range 6 {
			Expect(p.entries[i%3].send("/book/x", fmt.Sprint("after-", i)).status).To(Equal(http.StatusOK))
		}
	})

	It("keep working after a signal to read the settings anew", func() {
		p := newPond(2, 4)
		p.awaitServing(1)
		for _, e := range p.entries {
			e.signal(syscall.SIGHUP)
		}
		for _, got := range streams(p.entries, 4, "reload") {
			Expect(got.whole()).To(BeTrue(), "%+v", got)
		}
		for _, e := range p.entries {
			Expect(e.log.String()).To(ContainSubstring("reload"))
		}
	})

	// The platform is away for some seconds. Nothing that callers get hangs on it, and a configuration that was accepted right after its return
	// is in force everywhere soon.
	It("serve on while the platform is away, and take the next configuration when it is back", func() {
		p := newPond(3, 7)
		p.awaitServing(2)
		p.api.Set(objects.Faults{Silent: true})
		for round := range 3 {
			for _, got := range streams(p.entries, 6, fmt.Sprint("away", round)) {
				Expect(got.whole()).To(BeTrue(), "%+v", got)
			}
		}
		p.api.Set(objects.Faults{})
		p.configure("/added/")
		for _, e := range p.entries {
			Eventually(func() int { return e.send("/added/x", "added-"+e.name).status }, generous).Should(Equal(http.StatusOK))
		}
		Expect(p.world.Broken()).To(BeEmpty())
	})
})
