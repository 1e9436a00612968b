package fairqueue

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A deadline", func() {
	// Every caller of a service sends the highest bound on the answer's length that the client library
	// offers. Held against their deadlines before anything was measured, the bound would have every request
	// refused, and since none runs, nothing would ever be measured: the service stays down for good.
	It("is not called too near for a bound that the answer rarely reaches", func() {
		item := Item{ID: "1", Team: "a", Share: 1, Work: 100_000, Deadline: 30 * time.Second}
		q := New(Config{})
		q.SetLimit(1)
		Expect(q.Offer(0, item).Decision).To(Equal(Refused))
		item.MinWork = 20
		Expect(q.Offer(0, item).Decision).To(Equal(Admitted))
	})
})
