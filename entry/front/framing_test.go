package front_test

import (
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/contract"
)

var _ = Describe("Front, if a plain answer ends with the backend server's connection,", func() {
	// The booking ran and the backend server sent its confirmation. The caller was told that nobody knows whether it ran.
	It("passes it on without framing it as complete, also to a later copy with the same key", func() {
		f := newFleet("desk-1")
		f.backend.behaviours = []sendBehaviour{{unframed: true}}
		for _, server := range f.fronts {
			got := book(server, "lot-7", 1)
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.status).To(Equal(http.StatusOK))
			Expect(got.outcome).To(Equal(contract.OutcomeAnswered))
			Expect(got.body).To(Equal("ran POST /book"))
			Expect(got.endsWithConnection).To(BeTrue())
		}
		Expect(f.backend.count("lot-7")).To(Equal(1))
	})

	// The answer is too long to be buffered, so that a part of it was sent before the server's connection broke.
	DescribeTable("does not let a long answer look complete", func(breakAfter int) {
		f := newFleet("desk-1")
		body := strings.Repeat("x", 1<<20)
		f.backend.behaviours = []sendBehaviour{{unframed: true, body: body, breakAfter: breakAfter}}
		got := book(f.fronts[0], "lot-7", 1)
		Expect(got.endsWithConnection).To(BeTrue())
		if breakAfter == 0 {
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.body).To(HaveLen(len(body)))
			return
		}
		Expect(got.err).To(HaveOccurred())
	},
		Entry("that may be whole", 0),
		Entry("that broke off", 1<<19),
	)
})
