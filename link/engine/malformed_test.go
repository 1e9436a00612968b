package engine_test

import (
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/internal/standin/malformed"
	"github.com/skylarkpond/skylarkpond/link/engine"
)

// Guards against bytes that are no answer, or another body than the engine's or service's, that are taken for the answer.
var _ = Describe("An answer with a malformed head", func() {
	for _, c := range malformed.Cases() {
		It("is an error, "+c.String(), func() {
			server, err := malformed.Start(c, func(*http.Request) string { return "Content-Type: application/json\r\n" }, `{"boot_id":"b"}`)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(server.Close)
			client := engine.NewHTTPClient(nil)
			target := engine.Target{Address: server.Address(), RequestID: "r1", Service: "s"}
			response, err := client.Call(ctx, target, http.MethodPost, "/x", http.Header{}, strings.NewReader("body"))
			if err == nil {
				body, _ := io.ReadAll(response.Body)
				Fail("status " + response.Status + ", " + string(body))
			}
			Expect(err).To(MatchError(engine.ErrInterrupted))
			_, err = client.Complete(ctx, target, []byte(prompt))
			Expect(err).To(MatchError(engine.ErrInterrupted))
			_, err = client.Probe(ctx, server.Address())
			Expect(err).To(MatchError(engine.ErrInterrupted))
			_, err = client.Order(ctx, server.Address(), engine.Order{Kind: engine.OrderLoad})
			Expect(err).To(MatchError(engine.ErrInterrupted))
		})
	}
})
