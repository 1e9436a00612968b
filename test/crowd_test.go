package test

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/contract/admin"
	"github.com/skylarkpond/skylarkpond/examples"
	"github.com/skylarkpond/skylarkpond/internal/crowd"
)

// The limits of the entries in these specs.
const (
	crowdMemoryMB    = 128
	crowdDescriptors = 1024
	fewDescriptors   = 300
)

const (
	// legalBody is the largest body that the services of examples/dev allow, largestBody the largest that any service can.
	legalBody   = 1 << 20
	largestBody = 7 << 20
)

// crowdSize is the number of clients in a crowd, smallCrowdSize that of crowds with the largest bodies, largeCrowdSize that of crowds whose clients
// can make an entry hold little each.
const (
	crowdSize      = 300
	smallCrowdSize = 60
	largeCrowdSize = 900
)

const (
	completionsPath = "/v1/chat/completions"
	bookingsPath    = "/v1/services/desk/bookings"
)

// crowdHead returns the head of a proper request without the framing of its body.
func crowdHead(path string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nAuthorization: Bearer " + examples.DevTeamKey + "\r\n"
}

// chunksOf describes a chunked body without its last chunk.
func chunksOf(piece, count int, pause time.Duration) crowd.Body {
	return crowd.Body{Sent: piece * count, Piece: piece, Pause: pause}
}

// startCrowdedEntry starts one entry with limits of its own.
func startCrowdedEntry(descriptors int) *entryProcess {
	GinkgoHelper()
	GinkgoT().Setenv("POND_MEMORY_MB", fmt.Sprint(crowdMemoryMB))
	GinkgoT().Setenv("POND_MAX_DESCRIPTORS", fmt.Sprint(descriptors))
	return startCluster(1).entries[0]
}

// Ports at an entry's address that other processes listen on.
var othersPorts = []uint16{8083, 8084}

func (e *entryProcess) watch() *crowd.Watch {
	return crowd.NewWatch(e.cmd.Process.Pid, e.ip().String(), othersPorts...)
}

// expectWithin checks that an entry lives, that what it held stayed within its limits, and that it answers one ordinary request.
func (e *entryProcess) expectWithin(watch *crowd.Watch, descriptors int) {
	GinkgoHelper()
	peak, err := watch.Stop()
	GinkgoWriter.Println(e.name, "at its peak:", peak)
	AddReportEntry("peak", peak.String())
	Expect(err).NotTo(HaveOccurred())
	Expect(e.done).NotTo(BeClosed())
	Expect(peak.Memory()).To(BeNumerically("<=", crowdMemoryMB<<20), peak.String())
	Expect(peak.Descriptors).To(BeNumerically("<=", descriptors), peak.String())
	Eventually(func() int { return caller{e}.complete("ordinary", 3).status }, generous).Should(Equal(http.StatusOK))
}

// crowdStay is how long a crowd keeps its connections open after all is sent.
const crowdStay = 3 * time.Second

var _ = Describe("A crowd at serve", func() {
	// Guards against an entry that is killed for the bodies that it holds, or the bytes that lie unread at its sockets.
	DescribeTable("does not exceed the memory of an entry:", func(clients int, head string, body crowd.Body) {
		e := startCrowdedEntry(crowdDescriptors)
		watch := e.watch()
		clientsOpen := crowd.Open(clients, e.public[len("http://"):], crowd.Post(head, body))
		defer clientsOpen.Close()
		clientsOpen.Wait(generous)
		time.Sleep(crowdStay)
		clientsOpen.Close()
		e.expectWithin(watch, crowdDescriptors)
	},
		Entry("whole bodies at once", crowdSize, crowdHead(bookingsPath), crowd.Body{Announced: legalBody, Sent: legalBody, Whole: true}),
		Entry("whole completions at once", crowdSize, crowdHead(completionsPath), crowd.Body{Announced: legalBody, Sent: legalBody, Whole: true}),
		Entry("bodies that stop a byte short", crowdSize, crowdHead(bookingsPath), crowd.Body{Announced: legalBody, Sent: legalBody - 1}),
		Entry("large bodies that stop a byte short", smallCrowdSize, crowdHead(completionsPath), crowd.Body{Announced: largestBody, Sent: largestBody - 1}),
		Entry("bodies in pieces that stop a byte short", crowdSize, crowdHead(completionsPath),
			crowd.Body{Announced: legalBody, Sent: legalBody - 1, Piece: 64 << 10, Pause: 100 * time.Millisecond}),
		Entry("large chunks without a last one", smallCrowdSize, crowdHead(completionsPath), chunksOf(64<<10, 100, 0)),
		Entry("chunks of a byte without a last one", crowdSize, crowdHead(completionsPath), chunksOf(1, 409_600, 0)),
		Entry("announced bodies over the limit", smallCrowdSize, crowdHead(completionsPath), crowd.Body{Announced: 1 << 30, Sent: 16 << 20}),
		Entry("chunked bodies over the limit", smallCrowdSize, crowdHead(completionsPath), chunksOf(64<<10, 256, 0)),
		Entry("requests behind requests", largeCrowdSize,
			crowdHead(completionsPath)+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(pipelined))+pipelined+crowdHead(completionsPath),
			crowd.Body{Announced: legalBody, Sent: legalBody - 1}),
	)

	// Guards against bodies that nobody reads where operators are served.
	It("does not exceed the memory of an entry: bodies at the operators' address", func() {
		e := startCrowdedEntry(crowdDescriptors)
		watch := e.watch()
		head := "GET " + admin.StatusPath + " HTTP/1.1\r\nHost: h\r\n"
		clientsOpen := crowd.Open(largeCrowdSize, e.admin[len("http://"):], crowd.Post(head, crowd.Body{Announced: legalBody, Sent: legalBody - 1}))
		defer clientsOpen.Close()
		clientsOpen.Wait(generous)
		time.Sleep(crowdStay)
		clientsOpen.Close()
		e.expectWithin(watch, crowdDescriptors)
	})

	// Guards against connections that leave an entry no descriptors for its own.
	DescribeTable("leaves an entry descriptors of its own:", func(address func(*entryProcess) string, play crowd.Play) {
		e := startCrowdedEntry(fewDescriptors)
		watch := e.watch()
		clientsOpen := crowd.OpenAgain(2*fewDescriptors, strings.TrimPrefix(address(e), "http://"), play)
		defer clientsOpen.Close()
		clientsOpen.Wait(crowdStay)
		time.Sleep(crowdStay)
		clientsOpen.Close()
		e.expectWithin(watch, fewDescriptors)
	},
		Entry("connections without a byte", func(e *entryProcess) string { return e.public }, crowd.Silent),
		Entry("unfinished headers", func(e *entryProcess) string { return e.public }, crowd.Text("POST "+completionsPath+" HTTP/1.1\r\nHost: h\r\n")),
		Entry("silent connections at the operators' address", func(e *entryProcess) string { return e.admin }, crowd.Silent),
	)
})

// pipelined is the body of a request that another one follows.
const pipelined = `{"model":"chat-small","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"x"}]}`
