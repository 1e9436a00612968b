package controller_test

import (
	"context"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// tries is enough for some hundred rounds: a try while a round is under way does nothing.
const tries = 20_000

var _ = Describe("Rounds over one domain", func() {
	// A round that takes long is still under way when the next is due, in another worker. Only the race
	// detector notices when one reads what belongs to the other.
	It("exclude each other, up to what they return", func() {
		w := newWorld(3)
		c := w.entry("a")
		var group sync.WaitGroup
		for range 4 {
			group.Go(func() {
				for range tries {
					_ = c.Reconcile(context.Background(), fabric)
				}
			})
		}
		group.Wait()
		Expect(c.Status()).To(HaveLen(1))
	})
})
