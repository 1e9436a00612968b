package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/internal/standin/headcut"
	"github.com/skylarkpond/skylarkpond/platform"
	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

// headWorkers is the number of requests at a time.
const headWorkers = 8

// headOf returns the head of the answer to a request.
func headOf(c headcut.Case) func(*http.Request) string {
	return func(request *http.Request) string {
		return c.Head(platform.HeaderRequestID + ": " + request.Header.Get(platform.HeaderRequestID) + "\r\n" +
			platform.HeaderSignature + ": s\r\nContent-Type: text/event-stream\r\n")
	}
}

// requestID returns an ID whose length is the same for each cut.
func requestID(cut int) string { return fmt.Sprintf("a%03d", cut) }

// startCut starts a server whose answers are cut, as the first one of r.
func startCut(r *harness, c headcut.Case, begin func(net.Conn, *http.Request) bool) *headcut.Server {
	server, err := headcut.Start(c, headOf(c), begin)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	r.turns.servers = append([]*backend.Server{{ID: "i-cut", Address: server.Address(), Slots: 8}}, r.turns.servers...)
	return server
}

// sendCut sends a request for each length of what is sent of a head, and passes the answers to check. Each of the requests must reach server.
func sendCut(r *harness, server *headcut.Server, c headcut.Case, path string, check func(head string, cut int, got answer)) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: headWorkers}}
	DeferCleanup(client.CloseIdleConnections)
	sample := r.request(http.MethodPost, path, requestID(0))
	head := headOf(c)(sample)
	cuts := make(chan int, len(head)+1)
	for cut := range len(head) + 1 {
		cuts <- cut
	}
	close(cuts)
	var running sync.WaitGroup
	for range headWorkers {
		running.Go(func() {
			defer GinkgoRecover()
			for cut := range cuts {
				for range 2 {
					r.retries.FirstTry("s") // a budget that is spent would keep requests from being sent again
				}
				request := r.request(http.MethodPost, path, requestID(cut))
				request.Header.Set(headcut.HeaderCut, strconv.Itoa(cut))
				check(head, cut, do(client, request))
			}
		})
	}
	running.Wait()
	Expect(server.Answers()).To(BeNumerically(">=", len(head)+1))
}

func do(client *http.Client, request *http.Request) answer {
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), length: response.ContentLength, encoding: response.TransferEncoding, err: err}
}

// expectNoSuccess expects that a caller can't take an answer for a whole success, except one that the server has sent whole as far as anybody can tell.
func expectNoSuccess(c headcut.Case) func(string, int, answer) {
	return func(head string, cut int, got answer) {
		if got.err != nil || got.status >= http.StatusMultipleChoices {
			return
		}
		Expect(c.CanBeWhole(head, cut) && endsWithConnection(got) && got.body == "").To(BeTrue(),
			"status %d, body %q, length %d after %q", got.status, got.body, got.length, head[:cut])
	}
}

// Guards against a success that the server has not sent whole, because its process ended while it sent the head.
var _ = Describe("Relay, if an answer is cut at any byte of its head,", func() {
	for _, c := range headcut.Cases() {
		for _, path := range []string{"/look/x", "/book/x", "/chat/x", "/once/x"} {
			It("passes no success on: "+path+", "+c.String(), func() {
				r := newHarness(replica.Config{}, 0)
				server := startCut(r, c, nil)
				sendCut(r, server, c, path, expectNoSuccess(c))
			})

			It("passes no success of another entry on: "+path+", "+c.String(), func() {
				r := newHarness(replica.Config{}, 0)
				r.isolation.isolated.Store(true)
				server := startCut(r, c, nil)
				r.turns.servers = nil
				r.peers = []*harness{{gateway: &httptest.Server{URL: "http://" + server.Address()}}}
				sendCut(r, server, c, path, expectNoSuccess(c))
			})
		}

		It("answers what may be repeated with another server's answer, "+c.String(), func() {
			r := newHarness(replica.Config{}, 1)
			server := startCut(r, c, nil)
			sendCut(r, server, c, "/look/x", func(head string, cut int, got answer) {
				if c.CanBeWhole(head, cut) {
					return
				}
				Expect(got.err).NotTo(HaveOccurred())
				Expect(got.status).To(Equal(http.StatusOK), "%q", head[:cut])
				Expect(got.body).To(Equal("answer to " + requestID(cut)))
			})
		})

		It("does not end a stream in order that is resumed there, "+c.String(), func() {
			r := newHarness(replica.Config{}, 0)
			begin := func(conn net.Conn, request *http.Request) bool {
				if request.Header.Get("Last-Event-Id") != "" {
					return false
				}
				id := request.Header.Get(platform.HeaderRequestID)
				events := replica.Event(1, id) + replica.Event(2, id)
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n",
					platform.HeaderRequestID, id, platform.HeaderSignature, len(events), events)
				return true
			}
			server := startCut(r, c, begin)
			r.turns.servers = append(r.turns.servers, &backend.Server{ID: "i-cut-2", Address: server.Address(), Slots: 8})
			sendCut(r, server, c, "/chat/x", func(head string, cut int, got answer) {
				Expect(got.status).To(Equal(http.StatusOK))
				Expect(got.body).To(Equal(replica.Event(1, requestID(cut)) + replica.Event(2, requestID(cut))))
				Expect(got.err).To(HaveOccurred(), "%q", head[:cut])
			})
		})
	}
})
