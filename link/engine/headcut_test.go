package engine_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/internal/standin/headcut"
	"github.com/skylarkpond/skylarkpond/link/engine"
)

// Guards against a success that the engine or service has not sent whole, because its process ended while it sent the head.
var _ = Describe("An answer that is cut at any byte of its head", func() {
	for _, c := range headcut.Cases() {
		It("is interrupted, "+c.String(), func() {
			head := c.Head("Content-Type: text/event-stream\r\n")
			var cut atomic.Int64 // a completion carries none of the test's headers
			start := func(request *http.Request) string {
				request.Header.Set(headcut.HeaderCut, strconv.FormatInt(cut.Load(), 10))
				return head
			}
			server, err := headcut.Start(c, start, nil)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(server.Close)
			client := engine.NewHTTPClient(nil)
			target := engine.Target{Address: server.Address(), RequestID: "r1", Service: "s"}
			for n := range len(head) + 1 {
				cut.Store(int64(n))
				stream, err := client.Complete(ctx, target, []byte(prompt))
				if err == nil {
					Expect(n).To(Equal(len(head)))
					var events []engine.Event
					events, err = readEvents(stream)
					Expect(events).To(BeEmpty())
					_ = stream.Close()
				}
				Expect(err).To(MatchError(engine.ErrInterrupted), "%q", head[:n])

				response, err := client.Call(ctx, target, http.MethodPost, "/x", http.Header{}, strings.NewReader("body"))
				if err != nil {
					Expect(err).To(MatchError(engine.ErrInterrupted))
					continue
				}
				Expect(n).To(Equal(len(head)), "%q", head[:n])
				_, err = io.ReadAll(response.Body)
				Expect(err != nil || c.CanBeWhole(head, n)).To(BeTrue())
				_ = response.Body.Close()
			}
		})
	}
})
