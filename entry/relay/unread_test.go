package relay_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

var _ = Describe("An answer before the body has been read", func() {
	// Guards against connections that are reset with most of a body unread, so that the answer is lost.
	It("reaches a caller that still sends", func() {
		r := newHarness(replica.Config{Slots: 8}, 1)
		for i := range 20 {
			request := r.request(http.MethodPost, "/book/x", fmt.Sprint("unread-", i))
			body := make([]byte, 6<<20)
			request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
			got := r.send(request)
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.status).To(Equal(http.StatusRequestEntityTooLarge))
		}
	})
})
