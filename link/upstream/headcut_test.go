package upstream_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/internal/standin/headcut"
	"github.com/skylarkpond/skylarkpond/link/upstream"
)

// Guards against a success that the server has not sent whole, because its process ended while it sent the head.
var _ = Describe("An answer that is cut at any byte of its head", func() {
	for _, c := range headcut.Cases() {
		It("is an error, "+c.String(), func() {
			head := c.Head("X-Id: a1\r\n")
			server, err := headcut.Start(c, func(*http.Request) string { return head }, nil)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(server.Close)
			pool := upstream.NewPool()
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			DeferCleanup(cancel)
			for cut := range len(head) + 1 {
				request := newRequest("a1")
				request.Header.Set(headcut.HeaderCut, strconv.Itoa(cut))
				response, err := pool.Send(ctx, upstream.Endpoint{ID: "i-1", Address: server.Address()}, request)
				if cut < len(head) {
					Expect(err).To(MatchError(upstream.ErrOutcomeUnknown), "%q", head[:cut])
					continue
				}
				if err != nil {
					continue // reset before the head was read
				}
				body, err := io.ReadAll(response.Body)
				Expect(body).To(BeEmpty())
				Expect(err != nil || c.CanBeWhole(head, cut)).To(BeTrue(), "%q", head)
				Expect(response.Body.Close()).To(Succeed())
			}
		})
	}
})
