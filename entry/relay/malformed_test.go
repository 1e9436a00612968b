package relay_test

import (
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/internal/standin/malformed"
	"github.com/skylarkpond/skylarkpond/platform"
	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

// Guards against an answer to a caller that no server gave: a status that doesn't exist, a body framed by a line that was not understood.
var _ = Describe("Relay, if an answer has a malformed head,", func() {
	fields := func(request *http.Request) string {
		return platform.HeaderRequestID + ": " + request.Header.Get(platform.HeaderRequestID) + "\r\n" + platform.HeaderSignature + ": s\r\n"
	}
	for _, c := range malformed.Cases() {
		for _, path := range []string{"/look/x", "/book/x", "/chat/x", "/once/x"} {
			start := func() *malformed.Server {
				server, err := malformed.Start(c, fields, replica.Event(1, "a1"))
				Expect(err).NotTo(HaveOccurred())
				DeferCleanup(server.Close)
				return server
			}

			It("passes nothing of it on: "+path+", "+c.String(), func() {
				r := newHarness(replica.Config{}, 0)
				r.turns.servers = []*backend.Server{{ID: "i-odd", Address: start().Address(), Slots: 8}}
				got := r.send(r.request(http.MethodPost, path, "a1"))
				Expect(got.err).NotTo(HaveOccurred())
				Expect(got.status).To(Equal(http.StatusBadGateway), "%q", got.body)
				Expect(got.header).NotTo(HaveKey(platform.HeaderSignature))
			})

			It("passes nothing on if another entry sent it: "+path+", "+c.String(), func() {
				r := newHarness(replica.Config{}, 0)
				r.isolation.isolated.Store(true)
				r.peers = []*harness{{gateway: &httptest.Server{URL: "http://" + start().Address()}}}
				got := r.send(r.request(http.MethodPost, path, "a1"))
				Expect(got.err).NotTo(HaveOccurred())
				Expect(got.status).To(BeNumerically(">=", http.StatusBadGateway), "%q", got.body)
				Expect(got.header).NotTo(HaveKey(platform.HeaderSignature))
			})
		}

		It("answers what may be repeated with another server's answer, "+c.String(), func() {
			r := newHarness(replica.Config{}, 1)
			server, err := malformed.Start(c, fields, "body")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(server.Close)
			r.turns.servers = append([]*backend.Server{{ID: "i-odd", Address: server.Address(), Slots: 8}}, r.turns.servers...)
			got := r.send(r.request(http.MethodPost, "/look/x", "a1"))
			Expect(got.status).To(Equal(http.StatusOK), "%q", got.body)
			Expect(got.body).To(Equal("answer to a1"))
		})
	}
})
