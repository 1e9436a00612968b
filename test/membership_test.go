package test

import (
	"net/http"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	standinengine "github.com/skylarkpond/skylarkpond/internal/standin/engine"
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
			answers := make(chan answer, 8)
			for range cap(answers) {
				go func() { answers <- caller{fresh}.stream("added", 20) }()
			}
			for range cap(answers) {
				var got answer
				Eventually(answers, generous).Should(Receive(&got))
				Expect(got.isWhole("added", 20)).To(BeTrue(), "%s: %d %s", fresh.name, got.status, got.body[max(0, len(got.body)-300):])
			}
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
			answers := make(chan answer, 8)
			for range cap(answers) {
				go func() { answers <- caller{again}.stream("again", 20) }()
			}
			for range cap(answers) {
				var got answer
				Eventually(answers, generous).Should(Receive(&got))
				Expect(got.isWhole("again", 20)).To(BeTrue(), "%s: %d %s %v", again.name, got.status, got.body[max(0, len(got.body)-300):], got.err)
			}
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
