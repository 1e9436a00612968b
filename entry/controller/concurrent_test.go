package controller_test

import (
	"context"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// reconcileCalls results in some hundred rounds, because a call during a round returns at once.
const reconcileCalls = 20_000

var _ = Describe("Rounds over one domain", func() {
	// A slow round is still in progress when another worker starts the next one. Only the race detector notices if
	// one of them reads data that belongs to the other.
	It("exclude each other, including their return values", func() {
		w := newWorld(3)
		c := w.entry("a")
		var group sync.WaitGroup
		for range 4 {
			group.Go(func() {
				for range reconcileCalls {
					_ = c.Reconcile(context.Background(), fabric)
				}
			})
		}
		group.Wait()
		Expect(c.Status()).To(HaveLen(1))
	})
})
