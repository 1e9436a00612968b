package fairqueue

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A deadline", func() {
	// Every caller of a service sends the largest bound on the answer length that the client library
	// offers. If that bound were compared with the deadline before anything was measured, every request
	// would be refused, none would run, nothing would ever be measured, and the service would stay down.
	It("is not called too near for a bound that the answer rarely reaches", func() {
		item := Item{ID: "1", Team: "a", Share: 1, Work: 100_000, Deadline: 30 * time.Second}
		q := New(Config{})
		q.SetLimit(1)
		Expect(q.Offer(0, item).Decision).To(Equal(Refused))
		item.MinWork = 20
		Expect(q.Offer(0, item).Decision).To(Equal(Admitted))
	})
})
