package cooperative

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/platform"
	"github.com/skylarkpond/skylarkpond/platform/standin/operator"
	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

const (
	// stoppedCallers is how many callers stop reading in the middle of their answers.
	stoppedCallers = 2000
	// slowReadBuffer is the receive buffer of callers that read slowly, in bytes. A small one keeps the kernel from reporting what is read in steps of
	// 64 KB, which is the segment size of the loopback interface.
	slowReadBuffer = 8 << 10
	// anyStatus counts all answers.
	anyStatus = -1
)

// newPondOfSmallEntry returns one entry on the smallest machine before a plain server with faults, and one that is sound.
func newPondOfSmallEntry(faults replica.Faults) (p *pond, endless *replica.Server) {
	GinkgoHelper()
	p = newPond(0, 0)
	endless = p.world.Start(p.api, replica.Config{ID: "endless", Service: "endless", Zone: "z", Slots: 2 * stoppedCallers})
	DeferCleanup(endless.Close)
	sound := p.world.Start(p.api, replica.Config{ID: "sound", Service: "sound", Zone: "z", Slots: 2 * stoppedCallers})
	DeferCleanup(sound.Close)
	endless.SetFaults(faults)
	kind := operator.NonIdempotent
	if faults.Endless == replica.EndlessStream {
		kind = operator.Streaming
	}
	p.version++
	operator.Write(p.api, operator.Config{
		Version: p.version,
		Routes: []operator.Route{
			{Name: "endless", Host: "h.example", PathPrefix: "/endless/", Kind: kind, Service: "endless", Timeout: 25000, LatencyTarget: 500, EventGapTarget: 300, MaxAttempts: 1},
			{Name: "sound", Host: "h.example", PathPrefix: "/sound/", Kind: operator.NonIdempotent, Service: "sound", Timeout: 2000, LatencyTarget: 500, MaxAttempts: 1},
		},
		Services: []operator.Service{{Name: "endless"}, {Name: "sound"}},
		Limits:   operator.Limits{BodyBytes: 1 << 20},
		Teams:    []operator.Team{{Name: "one", Keys: []string{"key"}}},
	})
	p.settings = []string{fmt.Sprint("POND_MEMORY_MB=", smallestMachine)}
	p.entries = append(p.entries, p.startEntry(0))
	Eventually(func() int { return p.entries[0].send("/sound/x", "ready").status }, generous).Should(Equal(http.StatusOK))
	return p, endless
}

// sendAndStop sends a request and returns the connection without reading from it.
func (e *gatewayProcess) sendAndStop(path, id string, body []byte) (*net.TCPConn, error) {
	conn, err := net.Dial("tcp", e.callers)
	if err != nil {
		return nil, err
	}
	tcp := conn.(*net.TCPConn)
	if err := tcp.SetReadBuffer(slowReadBuffer); err != nil {
		return tcp, err
	}
	if err := tcp.SetWriteDeadline(time.Now().Add(stoodStill)); err != nil {
		return tcp, err
	}
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: key\r\nContent-Length: %d\r\n\r\n",
		path, platform.HeaderRequestID, id, platform.HeaderKey, len(body))
	if err == nil {
		_, err = conn.Write(body)
	}
	return tcp, err
}

// sendFromMany sends a request of each of many callers, none of which reads, and returns their connections.
func (e *gatewayProcess) sendFromMany(body []byte) []*net.TCPConn {
	GinkgoHelper()
	var sending sync.WaitGroup
	conns := make([]*net.TCPConn, stoppedCallers)
	for i := range conns {
		sending.Go(func() { conns[i], _ = e.sendAndStop("/endless/x", fmt.Sprint("stopped-", i), body) }) // a refused caller can't send all of its body
		if i%50 == 0 {
			time.Sleep(10 * time.Millisecond)
		}
	}
	sending.Wait()
	for _, conn := range conns {
		Expect(conn).NotTo(BeNil(), "a caller could not connect")
	}
	return conns
}

// sendBeside sends requests of other callers for a time, and returns how many of them were answered with each status.
func (e *gatewayProcess) sendBeside(length time.Duration) map[int]int {
	GinkgoHelper()
	answers := make(map[int]int)
	most := 0
	for until := time.Now().Add(length); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		began := time.Now()
		got := e.send("/sound/x", fmt.Sprint("beside-", began.UnixNano()))
		answers[got.status]++
		answers[anyStatus]++
		if got.status == http.StatusServiceUnavailable {
			Expect(got.retry).NotTo(BeEmpty())
		}
		most = max(most, socketMemory())
	}
	fmt.Fprintf(GinkgoWriter, "peak %d MB; sockets of all processes %d MB; beside %v; in progress %d; cut %d, refused %d\n",
		e.peakMemory(), most, answers, e.metric("requests.in_progress"), e.metric("callers.cut"), e.metric("callers.refused"))
	return answers
}

// metric returns the value or count of a metric of an entry, or 0 if there is none.
func (e *gatewayProcess) metric(name string) int {
	GinkgoHelper()
	response, err := http.Get("http://" + e.metrics)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	_, after, found := strings.Cut(string(text), " "+name+"\n")
	if !found {
		return 0
	}
	line, _, _ := strings.Cut(after, "\n")
	value, err := strconv.Atoi(strings.TrimSpace(line[strings.Index(line, ":")+1:]))
	Expect(err).NotTo(HaveOccurred())
	return value
}

// socketMemory returns the memory that the kernel holds for all TCP sockets of this machine, those of callers and servers included, in MB.
func socketMemory() int {
	GinkgoHelper()
	text, err := os.ReadFile("/proc/net/sockstat")
	Expect(err).NotTo(HaveOccurred())
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) > 2 && fields[0] == "TCP:" {
			pages, err := strconv.Atoi(fields[len(fields)-1])
			Expect(err).NotTo(HaveOccurred())
			return pages * os.Getpagesize() >> 20
		}
	}
	return 0
}

var _ = Describe("Callers that stop reading", func() {
	// An entry's process was killed for the memory that it held for them, with the requests of all other callers.
	DescribeTable("are cut, and other callers are served beside them", func(part replica.Endless) {
		p, endless := newPondOfSmallEntry(replica.Faults{Endless: part})
		entry := p.entries[0]
		fmt.Fprintf(GinkgoWriter, "%d MB without load\n", entry.peakMemory())
		conns := entry.sendFromMany(make([]byte, 16<<10))
		answers := entry.sendBeside(8 * time.Second)
		Expect(entry.peakMemory()).To(BeNumerically("<", smallestMachine))
		Expect(answers[http.StatusOK]).To(BeNumerically(">", answers[http.StatusServiceUnavailable]))
		Expect(answers[http.StatusOK]+answers[http.StatusServiceUnavailable]).To(Equal(answers[anyStatus]), "%v", answers)
		Expect(entry.metric("requests.in_progress")).To(BeNumerically("<", 10))
		Expect(endless.UnreadCuts()).To(BeZero())
		for _, conn := range conns {
			_ = conn.SetReadDeadline(time.Now().Add(time.Second))
			reader := bufio.NewReader(conn)
			response, err := http.ReadResponse(reader, nil)
			if err == nil && response.StatusCode == http.StatusOK {
				_, err = io.Copy(io.Discard, response.Body)
				Expect(err).To(HaveOccurred(), "an answer that was cut looks complete")
			}
			_ = conn.Close()
		}
	},
		Entry("from streams", replica.EndlessStream),
		Entry("from bodies", replica.EndlessBody),
	)

	// Each body was held whole until its server had read it.
	It("from servers that answer nothing are refused once their requests fill the memory", func() {
		p, _ := newPondOfSmallEntry(replica.Faults{Unresponsive: true})
		entry := p.entries[0]
		conns := entry.sendFromMany(make([]byte, 512<<10))
		answers := entry.sendBeside(2 * time.Second)
		for _, conn := range conns {
			_ = conn.Close()
		}
		Expect(entry.peakMemory()).To(BeNumerically("<", smallestMachine))
		Expect(answers[http.StatusOK]+answers[http.StatusServiceUnavailable]).To(Equal(answers[anyStatus]), "%v", answers)
		Eventually(func() int { return entry.metric("callers.requests") }, generous).Should(BeZero())
		Expect(entry.metric("callers.held_bytes")).To(BeZero())
		Expect(entry.send("/sound/x", "after").status).To(Equal(http.StatusOK))
	})
})
