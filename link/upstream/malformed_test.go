package upstream_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/internal/standin/malformed"
	"github.com/skylarkpond/skylarkpond/link/upstream"
)

// Guards against bytes that are no answer, or another body than the server's, that are taken for the answer.
var _ = Describe("An answer with a malformed head", func() {
	for _, c := range malformed.Cases() {
		It("is an error, "+c.String(), func() {
			server, err := malformed.Start(c, func(*http.Request) string { return "X-Id: a1\r\n" }, "the body")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(server.Close)
			body, err := sendAndRead(upstream.NewPool(), upstream.Endpoint{ID: "i-1", Address: server.Address()}, newRequest("a1"))
			Expect(err).To(MatchError(upstream.ErrOutcomeUnknown), "%q", body)
		})
	}
})
