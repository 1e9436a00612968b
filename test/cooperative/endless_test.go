package cooperative

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/internal/loopback"
	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

// stalledPlatform is a platform that answers nothing.
var stalledPlatform = loopback.Faults{StallAll: true}

// smallestMachine is the memory of the smallest machine that entries run on, in MB.
const smallestMachine = 136

// peakMemory returns the most memory that an entry's process has taken, in MB.
func (e *gatewayProcess) peakMemory() int {
	GinkgoHelper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.process().Pid))
	Expect(err).NotTo(HaveOccurred())
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kilobytes, err := strconv.Atoi(fields[1])
			Expect(err).NotTo(HaveOccurred())
			return kilobytes >> 10
		}
	}
	Fail("no peak of memory")
	return 0
}

var _ = Describe("Answers that never end", func() {
	// Each answer was held whole until its end, and an entry's process was killed for its memory.
	DescribeTable("take little memory, and other requests are served beside them", func(path string, part replica.Endless) {
		p := newPond(1, 2*groupSize)
		p.awaitServing(2)
		p.addDesks(2)
		servers := p.desks[:1]
		if path == "/chat/x" {
			servers = p.openHeads()[:1]
		}
		for _, server := range servers {
			server.SetFaults(replica.Faults{Endless: part})
		}
		var sending sync.WaitGroup
		for i := range 20 {
			sending.Go(func() { p.entries[0].send(path, fmt.Sprint("endless-", i)) })
			time.Sleep(100 * time.Millisecond)
		}
		answers := p.loadPlain(50*time.Millisecond, time.Second, "beside")
		sending.Wait()
		GinkgoWriter.Printf("%d MB, %d bytes written\n", p.entries[0].peakMemory(), servers[0].EndlessBytes())
		Expect(p.entries[0].peakMemory()).To(BeNumerically("<", smallestMachine))
		if path == "/chat/x" {
			expectAllServed(answers, time.Time{})
		}
	},
		Entry("an event", "/chat/x", replica.EndlessEvent),
		Entry("the head of a stream", "/chat/x", replica.EndlessHead),
		Entry("a status line", "/book/x", replica.EndlessStatus),
		Entry("a field", "/book/x", replica.EndlessField),
		Entry("a body", "/book/x", replica.EndlessBody),
	)
})

// The kernel closes the connections of a process that is killed, and a part of an answer that ends with its connection was taken for the whole.
var _ = Describe("An answer that ends with its connection", func() {
	It("does not look complete when its entry is killed midway", func() {
		p := newPond(1, groupSize)
		p.awaitServing(1)
		for _, desk := range p.desks {
			desk.SetFaults(replica.Faults{Endless: replica.EndlessEvent})
		}
		answers := make(chan sent, 8)
		for i := range cap(answers) {
			go func() { answers <- p.entries[0].send("/book/x", fmt.Sprint("killed-", i)) }()
		}
		Eventually(func() int64 { return p.desks[0].EndlessBytes() + p.desks[1].EndlessBytes() }, generous).Should(BeNumerically(">", 160<<20))
		p.entries[0].signal(syscall.SIGKILL)
		for range cap(answers) {
			got := <-answers
			Expect(got.err).To(HaveOccurred(), "%s: %d, %d bytes", got.id, got.status, len(got.body))
		}
	})
})
