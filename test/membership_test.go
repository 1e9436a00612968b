package test

import (
	"net/http"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	standinengine "github.com/skylarkpond/skylarkpond/internal/standin/engine"
	standinplatform "github.com/skylarkpond/skylarkpond/internal/standin/platform"
)

var _ = Describe("Membership", func() {
	// The links between one entry and all others are cut, then mended; then the one entry is cut off from the
	// platform alone. A caller that was told of the cut-off entry would wait on homes that it can't reach.
	It("drops an entry that the others can't reach, takes it back, and doesn't need the platform for it", func() {
		c := startCluster(4)
		load := c.startLoad(c.entries[:1])
		lost := c.entries[3]
		c.isolate(lost, true)
		c.waitLive(c.entries[0], c.entries[:3]...)
		load.expectProgress()
		c.isolate(lost, false)
		c.waitLive(c.entries[0], c.entries...)
		c.waitLive(lost, c.entries...)

		cutOff(lost.toPlatform, true)
		load.expectProgress()
		Consistently(c.entries[0].live, "3s", "500ms").Should(HaveLen(4))
		streamed := caller{lost}.stream("cut off from the platform", 5)
		Expect(streamed.isWhole("cut off from the platform", 5)).To(BeTrue(), streamed.body)
		cutOff(lost.toPlatform, false)

		load.stop()
		c.judgeBookings()
		c.judgePlacements()
	})

	It("starts an entry that is given to callers and takes homes, and stops one whose requests all end whole", func() {
		c := startCluster(3)
		fresh := c.startEntry()
		c.waitLive(c.entries[0], c.entries...)
		Eventually(func() int {
			return caller{fresh}.send(http.MethodGet, "/v1/entries", nil, "").status
		}, generous).Should(Equal(http.StatusOK))

		const long = 200 // tokens, at a gap that makes them last some seconds: the stop comes while they stream
		gap := int64(30)
		c.switchDomain("local-a1", standinengine.Switches{TokenGapMillis: &gap})
		c.switchDomain("local-b1", standinengine.Switches{TokenGapMillis: &gap})
		answers := make(chan answer, 8)
		for range cap(answers) {
			go func() { answers <- caller{fresh}.stream("stop me", long) }()
		}
		Eventually(func() int { return len(c.runs()) }, generous).Should(BeNumerically(">=", cap(answers)))
		fresh.terminate()
		for range cap(answers) {
			var got answer
			Eventually(answers, generous).Should(Receive(&got))
			Expect(got.isWhole("stop me", long)).To(BeTrue(), got.body[max(0, len(got.body)-300):])
		}
		Eventually(fresh.done, generous).Should(BeClosed())
		c.waitLive(c.entries[0], c.entries[:3]...)
	})

	// Entries are added one after the other, and callers use each as soon as the directory names it. The others learn of it some time apart:
	// a front that asks an entry which is not the home by its own view would refuse its callers.
	It("serves callers through each entry from when the directory names it, while entries are added", func() {
		c := startCluster(3)
		for range 6 {
			fresh := c.startEntry()
			Eventually(func() string {
				return caller{c.entries[0]}.send(http.MethodGet, "/v1/entries?count=32", nil, "").body
			}, generous, "20ms").Should(ContainSubstring(strings.TrimPrefix(fresh.public, "http://")))
			expectStreams("added", 8, fresh)
		}
	})

	// An entry is killed and started again under its name, and callers that still have its address use it as soon as it listens.
	It("serves callers of an entry that was killed from when it listens again", func() {
		c := startCluster(4)
		for i := range 4 {
			again := c.entries[i]
			again.kill()
			c.restart(again)
			Eventually(func() int { return caller{again}.send(http.MethodGet, "/v1/entries", nil, "").status }, generous, "5ms").Should(Equal(http.StatusOK))
			expectStreams("again", 8, again)
		}
	})

	// The VM of an entry stands still while the entry starts. When it goes on it has missed what the others did meanwhile, and callers
	// use it at once.
	DescribeTable("serves callers of an entry that stood still while it started", func(after, still time.Duration) {
		c := startCluster(3)
		load := c.startLoad(c.entries[:3])
		fresh := c.startEntry()
		time.Sleep(after)
		fresh.freeze()
		time.Sleep(still)
		fresh.wake()
		Eventually(func() int { return caller{fresh}.send(http.MethodGet, "/v1/entries", nil, "").status }, generous, "5ms").Should(Equal(http.StatusOK))
		expectStreams("late", 8, fresh)
		load.expectProgress()
		load.stop()
		c.judgeBookings()
	},
		Entry("before it is known, for a moment", 30*time.Millisecond, 2500*time.Millisecond),
		Entry("once it is known, for a moment", 400*time.Millisecond, 2500*time.Millisecond),
		Entry("before it is known, until it is held dead", 30*time.Millisecond, 8*time.Second),
		Entry("once it is known, until it is held dead", 400*time.Millisecond, 8*time.Second),
	)

	// The platform is out when entries are stopped, so that none of them can write that it leaves.
	It("stops entries during an outage of the platform without a request being cut", func() {
		c := startCluster(4)
		c.waitAgreed(c.entries...)
		const long = 150
		gap := int64(30)
		c.switchDomain("local-a1", standinengine.Switches{TokenGapMillis: &gap})
		c.switchDomain("local-b1", standinengine.Switches{TokenGapMillis: &gap})
		c.outage(standinplatform.OutageHang)
		for i := range 2 {
			leaving := c.entries[i]
			answers := make(chan answer, 8)
			for j := range cap(answers) {
				through := caller{c.entries[i+j%2]}
				go func() { answers <- through.stream("outage", long) }()
			}
			Eventually(func() int { return len(c.startsByRequest()) }, generous).Should(BeNumerically(">=", (i+1)*cap(answers)))
			leaving.terminate()
			for range cap(answers) {
				var got answer
				Eventually(answers, generous).Should(Receive(&got))
				Expect(got.isWhole("outage", long)).To(BeTrue(), got.body[max(0, len(got.body)-300):])
			}
			Eventually(leaving.done, generous).Should(BeClosed())
		}
		for request, starts := range c.startsByRequest() {
			Expect(starts).To(Equal(1), request)
		}
		c.outage(standinplatform.OutageNone)
		c.waitLive(c.entries[3], c.entries[2:]...)
	})

	// The links between one entry and all others are cut, then mended. Each entry learns at its own moment that the others are back, and callers
	// use all of them meanwhile.
	It("serves callers through all entries while a cut between one and the others is mended", func() {
		c := startCluster(4)
		c.waitAgreed(c.entries...)
		for i := range 3 {
			lost := c.entries[i]
			c.isolate(lost, true)
			c.waitLive(lost, lost)
			c.waitLive(c.entries[3], slices.DeleteFunc(slices.Clone(c.entries), func(e *entryProcess) bool { return e == lost })...)
			c.isolate(lost, false)
			answers := make(chan answer, 32)
			for j := range cap(answers) {
				through := caller{c.entries[j%4]}
				go func() {
					time.Sleep(time.Duration(j/4) * 100 * time.Millisecond)
					answers <- through.stream("mended", 10)
				}()
			}
			for range cap(answers) {
				var got answer
				Eventually(answers, generous).Should(Receive(&got))
				Expect(got.isWhole("mended", 10)).To(BeTrue(), "%d %s %v", got.status, got.body[max(0, len(got.body)-300):], got.err)
			}
			c.waitAgreed(c.entries...)
		}
	})

	// All entries are replaced one after the other for an update, while callers stream through the others and
	// those that are stopped are home to the groups. A cut request would show as a run that was broken off or
	// begun twice, even where a retry hid it from its caller.
	It("replaces every entry without a request being cut or begun twice", func() {
		c := startCluster(3)
		const long = 150
		gap := int64(30)
		c.switchDomain("local-a1", standinengine.Switches{TokenGapMillis: &gap})
		c.switchDomain("local-b1", standinengine.Switches{TokenGapMillis: &gap})
		asked := 0
		for i := range 3 {
			leaving := c.entries[i]
			live := append(slices.Clone(c.entries[i:]), c.startEntry())
			c.waitAgreed(live...)
			answers := make(chan answer, 2*len(live))
			for j := range cap(answers) {
				through := caller{live[1+j%(len(live)-1)]}
				go func() { answers <- through.stream("rolling", long) }()
			}
			asked += cap(answers)
			Eventually(func() int { return len(c.startsByRequest()) }, generous).Should(Equal(asked))
			leaving.terminate()
			for range cap(answers) {
				var got answer
				Eventually(answers, generous).Should(Receive(&got))
				Expect(got.isWhole("rolling", long)).To(BeTrue(), got.body[max(0, len(got.body)-300):])
			}
			Eventually(leaving.done, generous).Should(BeClosed())
		}
		for request, starts := range c.startsByRequest() {
			Expect(starts).To(Equal(1), request)
		}
		for _, run := range c.runs() {
			Expect(run.Phase).To(Or(Equal(standinengine.Started), Equal(standinengine.Finished)))
		}
	})
})

// expectStreams sends streams through an entry, all at once, and expects that each is whole.
func expectStreams(prompt string, count int, through *entryProcess) {
	GinkgoHelper()
	const tokens = 20
	answers := make(chan answer, count)
	for range count {
		go func() { answers <- caller{through}.stream(prompt, tokens) }()
	}
	for range count {
		var got answer
		Eventually(answers, generous).Should(Receive(&got))
		Expect(got.isWhole(prompt, tokens)).To(BeTrue(), "%s: %d %s %v", through.name, got.status, got.body[max(0, len(got.body)-300):], got.err)
	}
}
