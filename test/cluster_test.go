package test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing/fstest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/contract/admin"
	"github.com/skylarkpond/skylarkpond/contract/settings"
	"github.com/skylarkpond/skylarkpond/examples"
	"github.com/skylarkpond/skylarkpond/internal/loopback"
	standinengine "github.com/skylarkpond/skylarkpond/internal/standin/engine"
	standinplatform "github.com/skylarkpond/skylarkpond/internal/standin/platform"
)

// generous bounds every wait on a condition. Nothing is asserted of how long things take.
const generous = 90 * time.Second

// clusterNetwork is the loopback network of these specs' clusters.
const clusterNetwork = 1

// takeSubnet gives the cluster loopback addresses of its own, until the end of the spec.
func takeSubnet() int {
	GinkgoHelper()
	subnet, err := loopback.Acquire(clusterNetwork)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(subnet.Close)
	return subnet.Number
}

// cluster is a system of separate processes.
type cluster struct {
	subnet   int
	dir      string
	standins *process
	platform string
	engines  string
	entries  []*entryProcess
	cuts     *cuts
	desk     desk
	// read is what was read of the growing logs.
	read logs
	// peerBytes counts what passed between entries.
	peerBytes atomic.Int64
}

// startCluster starts stand-ins, applies the dev declarations, and starts n entries.
func startCluster(n int) *cluster {
	GinkgoHelper()
	return startClusterWith(n, devWorld, nil)
}

// startClusterWith is startCluster with another world, and with some files of the declarations replaced or
// added.
func startClusterWith(n int, world string, files map[string]string) *cluster {
	GinkgoHelper()
	c := &cluster{subnet: takeSubnet(), dir: GinkgoT().TempDir(), cuts: &cuts{cut: make(map[link]bool)}}
	DeferCleanup(c.stop)
	c.startStandins(world)
	c.applyTree(files)
	for range n {
		c.startEntry()
	}
	c.waitServing(c.entries[0])
	return c
}

func (c *cluster) startStandins(world string) {
	GinkgoHelper()
	c.platform = fmt.Sprintf("http://127.1.%d.1:9000", c.subnet)
	c.engines = fmt.Sprintf("http://127.1.%d.1:9001", c.subnet)
	path := filepath.Join(c.dir, "world.json")
	Expect(os.WriteFile(path, fmt.Appendf(nil, world, c.subnet), 0o600)).To(Succeed())
	c.standins = start(c.dir, "standins", "dev", "--role", "standins", "--world", path,
		"--platform-address", c.platform[len("http://"):], "--engines-address", c.engines[len("http://"):])
	Eventually(func() error {
		_, err := http.Get(c.engines + "/standin/vms")
		return err
	}, generous).Should(Succeed())
}

// devWorld has two failure domains with a fabric domain each: room for a replica of four VMs, a spare, and
// a VM of the plain service in each.
const devWorld = `{"FirstIP":"127.2.%d.1","VMPort":9000,"Places":[{"Name":"local","FailureDomains":[
 {"Name":"local-a","FabricDomains":[{"Name":"local-a1","VMs":5,"Accelerators":2,"Plain":[{"Service":"desk","VMs":1}]}]},
 {"Name":"local-b","FabricDomains":[{"Name":"local-b1","VMs":5,"Accelerators":2,"Plain":[{"Service":"desk","VMs":1}]}]}]}]}`

// applyTree writes the dev declarations straight to the platform, as the first apply does.
func (c *cluster) applyTree(files map[string]string) {
	GinkgoHelper()
	declared := make(fstest.MapFS)
	Expect(fs.WalkDir(examples.Dev(), ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		text, err := fs.ReadFile(examples.Dev(), path)
		declared[path] = &fstest.MapFile{Data: text}
		return err
	})).To(Succeed())
	for path, text := range files {
		declared[path] = &fstest.MapFile{Data: []byte(text)}
	}
	declarations, err := settings.LoadFS(declared, "examples/dev")
	Expect(err).NotTo(HaveOccurred())
	value, err := json.Marshal(declarations.Tree("test"))
	Expect(err).NotTo(HaveOccurred())
	request, err := http.NewRequest(http.MethodPut, c.platform+"/v1/objects/settings/tree?version=0", bytes.NewReader(value))
	Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	Expect(response.StatusCode).To(Equal(http.StatusOK))
}

// startEntry starts one more entry, at the next address, behind relays which can be cut.
func (c *cluster) startEntry() *entryProcess {
	GinkgoHelper()
	name := fmt.Sprintf("entry-%d", len(c.entries)+1)
	host := firstHost + len(c.entries)
	ip := fmt.Sprintf("127.1.%d.%d", c.subnet, host)
	address := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	e := &entryProcess{name: name, public: "http://" + address(8080), admin: "http://" + address(8081)}
	startUDPRelay(c.cuts, name, address(8083), address(8082), c.nameOf, &c.peerBytes)
	var err error
	e.toPlatform, err = loopback.NewProxy(address(8084), c.platform[len("http://"):])
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(e.toPlatform.Close)
	e.args = []string{
		"serve", "--name", name, "--place", "local",
		"--failure-domain", []string{"local-a", "local-b"}[host%2],
		"--public-address", address(8080), "--admin-address", address(8081), "--peer-address", address(8082),
		"--advertised-peer-address", address(8083), "--source-address", ip, "--platform", "http://" + address(8084),
		"--timeline", filepath.Join(c.dir, name+".timeline"), "--drain-margin", "1s", "--home-hold-max", "5s",
	}
	c.run(e)
	c.entries = append(c.entries, e)
	return e
}

// restart starts an entry that has ended again, under its name and at its addresses.
func (c *cluster) restart(e *entryProcess) {
	GinkgoHelper()
	Expect(e.done).To(BeClosed())
	c.run(e)
}

func (c *cluster) run(e *entryProcess) {
	GinkgoHelper()
	e.started = append(e.started, time.Now())
	e.process = start(c.dir, e.name, e.args...)
}

// firstHost is the last number of the first entry's address.
const firstHost = 10

// nameOf returns the entry at an address.
func (c *cluster) nameOf(ip string) string {
	var subnet, host int
	if _, err := fmt.Sscanf(ip, "127.1.%d.%d", &subnet, &host); err != nil {
		return ""
	}
	return fmt.Sprintf("entry-%d", host-firstHost+1)
}

// cut cuts or mends the links between two entries, both ways.
func (c *cluster) cut(a, b *entryProcess, cut bool) {
	c.cuts.set(a.name, b.name, cut)
	c.cuts.set(b.name, a.name, cut)
}

// isolate cuts an entry off from all others, or mends it.
func (c *cluster) isolate(e *entryProcess, cut bool) {
	for _, other := range c.entries {
		if other != e {
			c.cut(e, other, cut)
		}
	}
}

// stop ends everything, and shows the logs of a spec that failed.
func (c *cluster) stop() {
	for _, e := range c.entries {
		e.kill()
	}
	c.standins.kill()
	if !CurrentSpecReport().Failed() {
		return
	}
	if kept := os.Getenv("POND_KEEP"); kept != "" { // a directory for what the processes of a failed spec wrote
		_ = os.CopyFS(filepath.Join(kept, fmt.Sprint(c.subnet)), os.DirFS(c.dir))
	}
	logs, _ := filepath.Glob(filepath.Join(c.dir, "*.log"))
	for _, path := range logs {
		text, _ := os.ReadFile(path)
		AddReportEntry(filepath.Base(path), string(text[max(0, len(text)-4000):]))
	}
}

// waitServing waits until an entry sees every service with all the groups that are wanted.
func (c *cluster) waitServing(e *entryProcess) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		status, err := e.status()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status.Services).NotTo(BeEmpty())
		for _, service := range status.Services {
			g.Expect(service.Serving).To(BeNumerically(">=", service.Wanted), service.Name)
		}
	}, generous, "200ms").Should(Succeed())
}

// waitLive waits until an entry sees just the given ones live.
func (c *cluster) waitLive(e *entryProcess, live ...*entryProcess) {
	GinkgoHelper()
	var names []string
	for _, other := range live {
		names = append(names, other.name)
	}
	Eventually(e.live, generous, "200ms").Should(ConsistOf(names))
}

// waitAgreed waits until the given entries see just each other live, and name the same home for each group, all whole. An entry that has
// just joined becomes home of some groups; a request that another entry sends by an older view is refused as not run, with when to come back.
func (c *cluster) waitAgreed(entries ...*entryProcess) {
	GinkgoHelper()
	for _, e := range entries {
		c.waitLive(e, entries...)
	}
	Eventually(func(g Gomega) { agreed(g, entries) }, generous, "100ms").Should(Succeed())
}

// agreed expects that the given entries name the same home for each group, all whole, and returns the groups.
func agreed(g Gomega, entries []*entryProcess) []admin.GroupStatus {
	var first []admin.GroupStatus
	for _, e := range entries {
		status, err := e.status()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status.Groups).To(HaveEach(HaveField("Whole", true)), e.name)
		if first == nil {
			first = status.Groups
		}
		g.Expect(status.Groups).To(ConsistOf(first), e.name)
	}
	return first
}

func (c *cluster) switchPlatform(s standinplatform.Switches) {
	GinkgoHelper()
	post(c.platform+"/standin/switches", s)
}

func (c *cluster) outage(o standinplatform.Outage) {
	GinkgoHelper()
	c.switchPlatform(standinplatform.Switches{Outage: &o})
}

func (c *cluster) switchDomain(fabric string, s standinengine.Switches) {
	GinkgoHelper()
	post(c.engines+"/standin/domains/"+fabric+"/switches", s)
}

func (c *cluster) switchVM(vm string, s standinengine.Switches) {
	GinkgoHelper()
	post(c.engines+"/standin/vms/"+vm+"/switches", s)
}

func post(url string, body any) {
	GinkgoHelper()
	encoded, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	response, err := http.Post(url, "application/json", bytes.NewReader(encoded))
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	Expect(response.StatusCode).To(Equal(http.StatusOK))
}

// lines reads JSON lines from a stand-in.
func lines[T any](url string) []T {
	GinkgoHelper()
	response, err := http.Get(url)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	var all []T
	decoder := json.NewDecoder(response.Body)
	for decoder.More() {
		var line T
		Expect(decoder.Decode(&line)).To(Succeed())
		all = append(all, line)
	}
	return all
}

func (c *cluster) runs() []standinengine.Run {
	GinkgoHelper()
	return c.runsFrom(0)
}

// runsFrom returns the runs behind the first from.
func (c *cluster) runsFrom(from int) []standinengine.Run {
	GinkgoHelper()
	return c.read.runs.more(from, func(known int) []standinengine.Run {
		return lines[standinengine.Run](fmt.Sprintf("%s/standin/runs?skip=%d", c.engines, known))
	})
}

func (c *cluster) history() []standinplatform.Change {
	GinkgoHelper()
	return c.historyFrom(0)
}

// historyFrom returns the changes behind the first from.
func (c *cluster) historyFrom(from int) []standinplatform.Change {
	GinkgoHelper()
	return c.read.history.more(from, func(known int) []standinplatform.Change {
		return lines[standinplatform.Change](fmt.Sprintf("%s/standin/history?skip=%d", c.platform, known))
	})
}
