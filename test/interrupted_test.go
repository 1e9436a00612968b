package test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	standinengine "github.com/skylarkpond/skylarkpond/internal/standin/engine"
)

var _ = Describe("Starts and stops that are interrupted", func() {
	// Guards against what a half-done start leaves behind: a registration that nobody answers at, homes that the others wait for, a name that
	// can't be used again.
	DescribeTable("go on elsewhere and begin again when an entry is killed while it starts", func(after time.Duration) {
		c := startCluster(3)
		c.waitAgreed(c.entries...)
		load := c.startLoad(c.entries[:3])
		fresh := c.startEntry()
		time.Sleep(after)
		fresh.kill()
		load.expectProgress()
		c.restart(fresh)
		Eventually(func() int { return caller{fresh}.send(http.MethodGet, "/v1/entries", nil, "").status }, generous, "5ms").Should(Equal(http.StatusOK))
		expectStreams("again", 8, fresh)
		load.expectProgress()
		load.stop()
		c.judgeBookings()
		c.judgePlacements()
	},
		Entry("before it is registered", 10*time.Millisecond),
		Entry("while it compares its settings", 150*time.Millisecond),
		Entry("when it has just begun to serve", 600*time.Millisecond),
	)

	// Guards against requests that are lost or run twice because their home had handed over only a part of its groups. The entry that stops is
	// home to groups whose streams and bookings come through the others.
	DescribeTable("cut nothing short in silence when an entry is lost while it leaves", func(after time.Duration, lose func(*entryProcess)) {
		c := startCluster(4)
		c.waitAgreed(c.entries...)
		gap := int64(20) // tokens last some seconds, so that the entry is still leaving
		c.switchDomain("local-a1", standinengine.Switches{TokenGapMillis: &gap})
		c.switchDomain("local-b1", standinengine.Switches{TokenGapMillis: &gap})
		load := c.startLoad(c.entries[:2])
		load.expectProgress()
		for _, leaving := range c.entries[2:] {
			leaving.terminate()
			time.Sleep(after)
			lose(leaving)
			load.expectProgress()
		}
		c.waitLive(c.entries[0], c.entries[:2]...)
		load.stop()
		c.judgeBookings()
		c.judgePlacements()
	},
		Entry("killed at once", 30*time.Millisecond, (*entryProcess).kill),
		Entry("killed while it waits for callers to learn of it", 700*time.Millisecond, (*entryProcess).kill),
		Entry("standing still for some seconds", 300*time.Millisecond, func(e *entryProcess) {
			e.freeze()
			time.Sleep(4 * time.Second)
			e.wake()
			Eventually(e.done, generous).Should(BeClosed())
		}),
	)
})
