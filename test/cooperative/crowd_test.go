package cooperative

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/internal/crowd"
	"github.com/skylarkpond/skylarkpond/platform"
)

// The limits of the entries in these specs.
const (
	crowdMemoryMB    = 96
	crowdDescriptors = 1024
	fewDescriptors   = 300
)

// legalBody is the largest body that the configuration allows.
const legalBody = 1 << 20

// crowdSize is the number of clients in a crowd, largeCrowdSize that of crowds whose clients can make an entry hold little each.
const (
	crowdSize      = 300
	largeCrowdSize = 900
)

// crowdHead returns the head of a proper request without the framing of its body.
func crowdHead(path string, number int64) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\n%s: crowd-%d\r\n%s: key\r\n%s: large\r\n%s: 100,100\r\n",
		path, platform.HeaderRequestID, number, platform.HeaderKey, platform.HeaderModel, platform.HeaderTokens)
}

// post sends a proper request with a body, each with an id of its own.
func post(body crowd.Body) crowd.Play {
	var count atomic.Int64
	return func(conn net.Conn) error { return crowd.Post(crowdHead(chatPath, count.Add(1)), body)(conn) }
}

// chunksOf describes a chunked body without its last chunk.
func chunksOf(piece, count int, pause time.Duration) crowd.Body {
	return crowd.Body{Sent: piece * count, Piece: piece, Pause: pause}
}

// newCrowdedPond returns one entry before open groups, with limits of its own.
func newCrowdedPond(descriptors int) (*pond, *gatewayProcess) {
	GinkgoHelper()
	p := newPond(0, 2*groupSize)
	p.settings = []string{fmt.Sprint("POND_MEMORY_MB=", crowdMemoryMB), fmt.Sprint("POND_MAX_DESCRIPTORS=", descriptors)}
	p.entries = append(p.entries, p.startEntry(0))
	p.awaitServing(2)
	return p, p.entries[0]
}

// watch measures what an entry holds.
func (p *pond) watch(e *gatewayProcess, number int) *crowd.Watch {
	return crowd.NewWatch(e.process().Pid, p.subnet.IP(number+1), platformPort)
}

// expectWithin checks that an entry lives, that what it held stayed within its limits, and that it answers one ordinary request.
func (e *gatewayProcess) expectWithin(watch *crowd.Watch, descriptors int) {
	GinkgoHelper()
	peak, err := watch.Stop()
	GinkgoWriter.Println(e.name, "at its peak:", peak)
	AddReportEntry("peak", peak.String())
	Expect(err).NotTo(HaveOccurred())
	Expect(e.ended()).NotTo(BeClosed())
	Expect(peak.Memory()).To(BeNumerically("<=", crowdMemoryMB<<20), peak.String())
	Expect(peak.Descriptors).To(BeNumerically("<=", descriptors), peak.String())
	Eventually(func() int { return e.send(bookPath, "ordinary").status }, generous).Should(Equal(http.StatusOK))
}

// crowdStay is how long a crowd keeps its connections open after all is sent.
const crowdStay = 3 * time.Second

var _ = Describe("A crowd at the gateway", func() {
	// Guards against an entry that is killed for the bodies that it holds, or the bytes that lie unread at its sockets.
	DescribeTable("does not exceed the memory of an entry:", func(clients int, play crowd.Play) {
		p, e := newCrowdedPond(crowdDescriptors)
		watch := p.watch(e, 0)
		clientsOpen := crowd.Open(clients, e.callers, play)
		defer clientsOpen.Close()
		clientsOpen.Wait(generous)
		time.Sleep(crowdStay)
		clientsOpen.Close()
		e.expectWithin(watch, crowdDescriptors)
	},
		Entry("whole bodies at once", crowdSize, post(crowd.Body{Announced: legalBody, Sent: legalBody, Whole: true})),
		Entry("bodies that stop a byte short", crowdSize, post(crowd.Body{Announced: legalBody, Sent: legalBody - 1})),
		Entry("bodies in pieces that stop a byte short", crowdSize,
			post(crowd.Body{Announced: legalBody, Sent: legalBody - 1, Piece: 64 << 10, Pause: 100 * time.Millisecond})),
		Entry("large chunks without a last one", crowdSize, post(chunksOf(64<<10, 15, 0))),
		Entry("chunks of a byte without a last one", crowdSize, post(chunksOf(1, 409_600, 0))),
		Entry("announced bodies over the limit", largeCrowdSize, post(crowd.Body{Announced: 1 << 30, Sent: 16 << 20})),
		Entry("chunked bodies over the limit", crowdSize, post(chunksOf(64<<10, 256, 0))),
		Entry("requests behind requests", largeCrowdSize, func(conn net.Conn) error {
			request := crowdHead(chatPath, 0) + "Content-Length: 4\r\n\r\nbody"
			return crowd.Post(request+crowdHead(chatPath, 1), crowd.Body{Announced: legalBody, Sent: legalBody - 1})(conn)
		}),
	)

	// Guards against bodies that nobody reads at the listeners that need none.
	DescribeTable("does not exceed the memory of an entry:", func(address func(*gatewayProcess) string, path string) {
		p, e := newCrowdedPond(crowdDescriptors)
		watch := p.watch(e, 0)
		clientsOpen := crowd.Open(largeCrowdSize, address(e), crowd.Post("GET "+path+" HTTP/1.1\r\nHost: h.example\r\n", crowd.Body{Announced: 1 << 20, Sent: 1<<20 - 1}))
		defer clientsOpen.Close()
		clientsOpen.Wait(generous)
		time.Sleep(crowdStay)
		clientsOpen.Close()
		e.expectWithin(watch, crowdDescriptors)
	},
		Entry("bodies at the directory", func(e *gatewayProcess) string { return e.directory }, platform.PathLookup+"?name=h.example&region=r&zone=z"),
		Entry("bodies at the readiness check", func(e *gatewayProcess) string { return e.ready }, platform.PathReady),
		Entry("bodies at the metrics", func(e *gatewayProcess) string { return e.metrics }, "/"),
	)

	// Guards against connections that leave an entry no descriptors for its own.
	DescribeTable("leaves an entry descriptors of its own:", func(address func(*gatewayProcess) string, play crowd.Play) {
		p, e := newCrowdedPond(fewDescriptors)
		watch := p.watch(e, 0)
		clientsOpen := crowd.OpenAgain(2*fewDescriptors, address(e), play)
		defer clientsOpen.Close()
		clientsOpen.Wait(crowdStay)
		time.Sleep(crowdStay)
		clientsOpen.Close()
		e.expectWithin(watch, fewDescriptors)
	},
		Entry("connections without a byte", (*gatewayProcess).callersAddress, crowd.Silent),
		Entry("unfinished headers", (*gatewayProcess).callersAddress, crowd.Text("POST /chat/x HTTP/1.1\r\nHost: h.example\r\n")),
		Entry("silent connections at the directory", func(e *gatewayProcess) string { return e.directory }, crowd.Silent),
	)
})

func (e *gatewayProcess) callersAddress() string { return e.callers }
