package test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/link/engine"
	"github.com/skylarkpond/skylarkpond/vm"
)

// measuring is set to take measurements, which run beside CI and assert nothing of time:
//
//	POND_MEASURE=1 go test ./test/ -v -ginkgo.label-filter measure
const measuring = "POND_MEASURE"

var _ = Describe("Measurements", Label("measure"), func() {
	BeforeEach(func() {
		if os.Getenv(measuring) == "" {
			Skip("set " + measuring + "=1 to measure")
		}
	})

	It("compares the way through front and home with the way straight to the engine", func() {
		c := startCluster(4)
		group := c.servingGroup("chat")
		// The front is not the home, so that every frame crosses between processes.
		front := c.entries[0]
		for _, e := range c.entries {
			if e.name != group.home {
				front = e
			}
		}
		through := func(tokens int) timing { return timedStream(front.public, nil, tokens) }
		straight := func(tokens int) timing {
			return timedStream("http://"+group.Head().Address, map[string]string{
				engine.HeaderRequest: fmt.Sprint("straight-", time.Now().UnixNano()),
				engine.HeaderGroup:   string(group.ID), engine.HeaderEpoch: fmt.Sprint(group.Epoch),
			}, tokens)
		}
		const requests, tokens = 200, 100
		time.Sleep(settled)
		sequence(through, 20, tokens)
		report("straight", sequence(straight, requests, tokens))
		cpu := newMeter(c.entries)
		cpu.begin()
		report("through front and home", sequence(through, requests, tokens))
		long := cpu.micros()
		cpu.begin()
		sequence(through, requests, 1)
		short := cpu.micros()
		GinkgoWriter.Printf("processor time of all entries beyond idle: %.0f us a request of 1 token, %.0f us a further token\n",
			short/requests, (long-short)/(requests*(tokens-1)))
		for _, e := range c.entries {
			GinkgoWriter.Printf("%s resident memory: %d MB\n", e.name, e.residentBytes()>>20)
		}
	})

	DescribeTable("control bytes, processor time and memory of idle entries", func(entries int) {
		c := startCluster(entries)
		c.reportIdle(fmt.Sprintf("%d entries, 4 groups", entries))
	}, Entry("4", 4), Entry("8", 8), Entry("16", 16), Entry("32", 32))
})

type servingGroup struct {
	vm.Group
	home string
}

func (c *cluster) servingGroup(service string) servingGroup {
	GinkgoHelper()
	status, err := c.entries[0].status()
	Expect(err).NotTo(HaveOccurred())
	for _, group := range status.Groups {
		if group.Service == service && group.State == vm.Serving {
			return servingGroup{Group: group.Group, home: group.Home}
		}
	}
	Fail("no group of " + service + " serves")
	return servingGroup{}
}

// timing is what a caller saw of a stream.
type timing struct {
	first time.Duration
	gap   time.Duration // mean between events
}

func timedStream(base string, header map[string]string, tokens int) timing {
	GinkgoHelper()
	request, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(completion("measure", tokens, true)))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer dev-team-key")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	start := time.Now()
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	Expect(response.StatusCode).To(Equal(http.StatusOK))
	var events []time.Time
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if strings.HasPrefix(scanner.Text(), "data:") {
			events = append(events, time.Now())
		}
	}
	_, _ = io.Copy(io.Discard, response.Body)
	Expect(len(events)).To(BeNumerically(">=", tokens))
	took := timing{first: events[0].Sub(start)}
	if tokens > 1 {
		took.gap = events[tokens-1].Sub(events[0]) / time.Duration(tokens-1)
	}
	return took
}

func sequence(send func(tokens int) timing, requests, tokens int) []timing {
	GinkgoHelper()
	var took []timing
	for range requests {
		took = append(took, send(tokens))
	}
	return took
}

func report(name string, took []timing) {
	at := func(part float64, of func(timing) time.Duration) time.Duration {
		sorted := make([]time.Duration, len(took))
		for i, t := range took {
			sorted[i] = of(t)
		}
		slices.Sort(sorted)
		return sorted[int(part*float64(len(sorted)-1))]
	}
	first := func(t timing) time.Duration { return t.first }
	gap := func(t timing) time.Duration { return t.gap }
	GinkgoWriter.Printf("%s: first token %v at 50, %v at 95 in 100; between tokens %v at 50, %v at 95 in 100\n",
		name, at(0.5, first), at(0.95, first), at(0.5, gap), at(0.95, gap))
}

// clockTick is the unit of processor times in /proc.
const clockTick = 10 * time.Millisecond

func (p *process) cpu() time.Duration {
	GinkgoHelper()
	fields := strings.Fields(p.proc("stat"))
	user, err := strconv.Atoi(fields[13])
	Expect(err).NotTo(HaveOccurred())
	system, err := strconv.Atoi(fields[14])
	Expect(err).NotTo(HaveOccurred())
	return time.Duration(user+system) * clockTick
}

func (p *process) residentBytes() int64 {
	GinkgoHelper()
	pages, err := strconv.ParseInt(strings.Fields(p.proc("statm"))[1], 10, 64)
	Expect(err).NotTo(HaveOccurred())
	return pages * int64(os.Getpagesize())
}

func (p *process) proc(file string) string {
	GinkgoHelper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", p.cmd.Process.Pid, file))
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}
