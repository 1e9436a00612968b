package test

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	standinplatform "github.com/skylarkpond/skylarkpond/internal/standin/platform"
)

// The slopes of docs/CAPACITY.md: what one more token, request, group and entry costs.
var _ = Describe("Measurements of slopes", Label("measure"), func() {
	BeforeEach(func() {
		if os.Getenv(measuring) == "" {
			Skip("set " + measuring + "=1 to measure")
		}
	})

	// With few streams a process goes to sleep and is woken for each token, which costs more than the token.
	DescribeTable("a token of many streams at once, at its front and at its home", func(streams int) {
		c := startClusterWith(4, devWorld, map[string]string{
			"places/local/services/chat.yaml": "kind: language\nmodel: chat-small\nmodel_version: v1\n" +
				"group_size: 4\nreplicas: 2\nmax_concurrency: 64\n",
		})
		c.setTokenGap(7)
		time.Sleep(settled)
		fronts, homes := c.frontsAndHomes("chat")
		wave := func(tokens int) {
			var callers sync.WaitGroup
			for i := range streams {
				callers.Go(func() { caller{fronts[i%len(fronts)]}.stream(fmt.Sprint("stream ", i), tokens) })
			}
			callers.Wait()
		}
		const waves, tokens = 4, 200
		wave(tokens)
		atFronts, atHomes := newMeter(fronts), newMeter(homes)
		wave(tokens)
		resident := residentMeans(fronts, homes)
		bytes, begun := c.peerBytes.Load(), time.Now()
		atFronts.begin()
		atHomes.begin()
		for range waves {
			wave(tokens)
		}
		all := float64(waves * tokens * streams)
		_, still := c.frontsAndHomes("chat")
		GinkgoWriter.Printf("%d streams, %.0f tokens a second: %.0f us a token at %d fronts, %.0f us at %d homes (moved: %v), %.0f bytes between them; %s\n",
			streams, all/time.Since(begun).Seconds(), atFronts.micros()/all, len(fronts), atHomes.micros()/all, len(homes),
			len(homes) != len(still), float64(c.peerBytes.Load()-bytes)/all, resident)
	}, Entry("1", 1), Entry("16", 16), Entry("60", 60))

	It("a request of a plain service, with and without a claim", func() {
		c := startCluster(4)
		const requests = 2000
		run := func(send func(through caller, i int) answer) {
			var callers sync.WaitGroup
			for worker := range 8 {
				callers.Go(func() {
					for i := worker; i < requests; i += 8 {
						send(caller{c.entries[i%len(c.entries)]}, i)
					}
				})
			}
			callers.Wait()
		}
		time.Sleep(settled)
		cpu := newMeter(c.entries)
		report := func(what string, send func(through caller, i int) answer) {
			calls, bytes, begun := c.platformCalls(), c.peerBytes.Load(), time.Now()
			cpu.begin()
			run(send)
			GinkgoWriter.Printf("%s: %.0f us of all entries, %.0f bytes between entries, %.0f a second, platform calls: %s\n",
				what, cpu.micros()/requests, float64(c.peerBytes.Load()-bytes)/requests, requests/time.Since(begun).Seconds(),
				perRequest(calls, c.platformCalls(), requests))
		}
		stock := func(through caller, i int) answer {
			return through.send(http.MethodGet, fmt.Sprint("/v1/services/desk/stock/", i), nil, "")
		}
		run(stock)
		report("a call that may be repeated", stock)
		report("a call that may not, with a key of its caller", func(through caller, i int) answer { return through.book(fmt.Sprint("lot-", i), 1) })
		report("the same key again", func(through caller, i int) answer { return through.book(fmt.Sprint("lot-", i), 1) })
	})

	DescribeTable("idle entries before more groups of four VMs", func(groups int) {
		const entries = 4
		c := startClusterWith(entries, sizedWorld(groups), map[string]string{
			"places/local/services/chat.yaml": fmt.Sprintf(
				"kind: language\nmodel: chat-small\nmodel_version: v1\ngroup_size: 4\nreplicas: %d\nloads_per_minute: 6000\n", groups),
		})
		c.reportIdle(fmt.Sprintf("%d groups, %d entries", groups, entries))
	}, Entry("2", 2), Entry("16", 16), Entry("48", 48))
})

// groupsPerFabric is how many groups the fabric domains of sizedWorld have room for.
const groupsPerFabric = 8

// sizedWorld has room for so many groups of four VMs, in fabric domains of eight groups at most.
func sizedWorld(groups int) string {
	var fabrics []string
	for first := 0; first < groups; first += groupsPerFabric {
		fabrics = append(fabrics, fmt.Sprintf(`{"Name":"local-a%d","VMs":%d,"Accelerators":2}`, first, 4*min(groupsPerFabric, groups-first)))
	}
	fabrics = append(fabrics, `{"Name":"local-desk","VMs":0,"Plain":[{"Service":"desk","VMs":2}]}`)
	return `{"FirstIP":"127.2.%d.1","VMPort":9000,"Places":[{"Name":"local","FailureDomains":[{"Name":"local-a","FabricDomains":[` +
		strings.Join(fabrics, ",") + `]}]}]}`
}

// reportIdle prints what the entries cost while no caller asks.
func (c *cluster) reportIdle(what string) {
	GinkgoHelper()
	c.waitLive(c.entries[0], c.entries...)
	time.Sleep(settled)
	const seconds = 30
	cpu := &meter{entries: c.entries}
	cpu.begin()
	bytes, calls := c.peerBytes.Load(), c.platformCalls()
	time.Sleep(seconds * time.Second)
	perEntry := float64(seconds * len(c.entries))
	GinkgoWriter.Printf("%s: %.0f bytes a second and entry between entries, %.3f%% of a core an entry, %s; platform calls a second of all entries: %s\n",
		what, float64(c.peerBytes.Load()-bytes)/perEntry, 100e-6*cpu.micros()/perEntry, residentMeans(c.entries, nil),
		perRequest(calls, c.platformCalls(), seconds))
}

// frontsAndHomes tells the entries that are home to a group of the service from the others.
func (c *cluster) frontsAndHomes(service string) (fronts, homes []*entryProcess) {
	GinkgoHelper()
	named := make(map[string]bool)
	for _, home := range c.entries[0].homesOf(service) {
		named[home] = true
	}
	for _, e := range c.entries {
		if named[e.name] {
			homes = append(homes, e)
		} else {
			fronts = append(fronts, e)
		}
	}
	Expect(fronts).NotTo(BeEmpty())
	return fronts, homes
}

// settled is how long after the start homes have stopped moving, and what the start itself cost is over.
const settled = 20 * time.Second

// meter measures the processor time that entries use beyond what they use when idle. Without that, whatever
// takes long would seem dear.
type meter struct {
	entries []*entryProcess
	idle    float64 // of a core
	begun   time.Time
	before  time.Duration
}

// newMeter returns a meter of entries that are idle now.
func newMeter(entries []*entryProcess) *meter {
	GinkgoHelper()
	m := &meter{entries: entries}
	m.begin()
	time.Sleep(10 * time.Second)
	m.idle = (m.cpu() - m.before).Seconds() / time.Since(m.begun).Seconds()
	return m
}

func (m *meter) begin() {
	GinkgoHelper()
	m.before, m.begun = m.cpu(), time.Now()
}

func (m *meter) micros() float64 {
	GinkgoHelper()
	used := (m.cpu() - m.before).Seconds() - m.idle*time.Since(m.begun).Seconds()
	return 1e6 * used
}

func (m *meter) cpu() time.Duration {
	GinkgoHelper()
	sum := time.Duration(0)
	for _, e := range m.entries {
		sum += e.cpu()
	}
	return sum
}

// residentMeans says how much memory the entries of each kind take on average.
func residentMeans(fronts, homes []*entryProcess) string {
	GinkgoHelper()
	mean := func(entries []*entryProcess) float64 {
		sum := int64(0)
		for _, e := range entries {
			sum += e.residentBytes()
		}
		return float64(sum) / float64(max(1, len(entries))) / (1 << 20)
	}
	if homes == nil {
		return fmt.Sprintf("%.1f MB resident", mean(fronts))
	}
	return fmt.Sprintf("%.1f MB resident at fronts, %.1f MB at homes", mean(fronts), mean(homes))
}

// platformCalls are the calls so far, by kind and verb.
func (c *cluster) platformCalls() map[string]int {
	GinkgoHelper()
	response, err := http.Get(c.platform + "/standin/calls")
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	var counts []standinplatform.CallCount
	Expect(json.NewDecoder(response.Body).Decode(&counts)).To(Succeed())
	calls := make(map[string]int)
	for _, call := range counts {
		calls[string(call.Kind)+" "+string(call.Verb)] = call.Count
	}
	return calls
}

// perRequest lists the calls between two looks, divided.
func perRequest(before, after map[string]int, by float64) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(after)) {
		if more := after[name] - before[name]; more > 0 {
			parts = append(parts, fmt.Sprintf("%s %.2f", name, float64(more)/by))
		}
	}
	return strings.Join(parts, ", ")
}
