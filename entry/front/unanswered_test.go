package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/contract"
)

const (
	bookPath     = "/v1/services/desk/book"
	otherPath    = "/v1/services/desk/other"
	completePath = "/v1/chat/completions"
)

// rawCaller is a connection on which a test sends the bytes of one request.
type rawCaller struct{ *net.TCPConn }

func (f *fleet) connect() rawCaller {
	GinkgoHelper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.fronts[len(f.fronts)-1].URL, "http://"))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	return rawCaller{conn.(*net.TCPConn)}
}

// send sends a request under the key "lot-7". length is the length of its body as its header states it.
func (c rawCaller) send(method, path, key, body string, length int) {
	GinkgoHelper()
	_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n%s: lot-7\r\nContent-Length: %d\r\n\r\n%s",
		method, path, key, contract.HeaderIdempotencyKey, length, body)
	Expect(err).NotTo(HaveOccurred())
}

// receive reads the answer. Its connection is aborted if err is set.
func (c rawCaller) receive() (got answer) {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode, outcome: contract.Outcome(response.Header.Get(contract.HeaderOutcome)), body: string(body),
		key: response.Header.Get(contract.HeaderIdempotencyKey), header: response.Header, err: err,
	}
}

var _ = Describe("A request that ends without a backend server's answer", func() {
	var f *fleet
	BeforeEach(func() { f = newFleet("desk-1", "chat-1") })

	// Guards against the empty success that net/http sends for a handler that returns without an answer.
	DescribeTable("gets no success when its caller closes its sending side",
		func(method, path, body string, prepare func(), status int, want contract.Outcome) {
			prepare()
			caller := f.connect()
			caller.send(method, path, teamKey, body, len(body))
			time.Sleep(100 * time.Millisecond)
			Expect(caller.CloseWrite()).To(Succeed())
			got := caller.receive()
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.status).To(Equal(status))
			Expect(got.outcome).To(Equal(want))
			Expect(got.header.Get(contract.HeaderRetryAfter)).NotTo(BeEmpty())
			if path == bookPath {
				Expect(got.key).To(Equal("lot-7"))
			}
		},
		Entry("a booking at its server", "POST", bookPath, "lot-7", func() { f.holdServer() }, http.StatusBadGateway, unknown),
		Entry("a call at its server", "GET", otherPath, "", func() { f.holdServer() }, http.StatusBadGateway, unknown),
		Entry("a completion at its server", "POST", completePath, `{"model":"small"}`, func() { f.holdServer() }, http.StatusBadGateway, unknown),
		Entry("a stream before its first event", "POST", completePath, `{"model":"small","stream":true}`, func() { f.holdServer() }, http.StatusBadGateway, unknown),
		Entry("a booking without a home", "POST", bookPath, "lot-7", func() { f.homelessUntil = time.Now().Add(time.Minute) }, http.StatusBadGateway, unknown),
		Entry("a call without a home", "GET", otherPath, "", func() { f.staleUntil = time.Now().Add(time.Minute) }, http.StatusServiceUnavailable, notRun),
	)

	// Guards against a seal for a caller whose connection broke: it sends the same attempt again, and that would not run.
	It("runs under the same key and attempt after its caller closed its sending side inside the body", func() {
		caller := f.connect()
		caller.send("POST", bookPath, teamKey, "lo", 5)
		Expect(caller.CloseWrite()).To(Succeed())
		got := caller.receive()
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(http.StatusBadGateway))
		Expect(got.outcome).To(Equal(unknown))
		Expect(f.backend.count("lo")).To(BeZero())
		Expect(book(f.fronts[0], "lot-7", 1).outcome).To(Equal(answered))
	})

	// Guards against an answer that the HTTP server holds back until the rest of the body has arrived.
	DescribeTable("is answered although its body is late",
		func(path, key string, status int) {
			caller := f.connect()
			caller.send("POST", path, key, "lo", 5)
			got := caller.receive()
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.status).To(Equal(status))
			Expect(got.outcome).To(Equal(notRun))
		},
		Entry("a booking", bookPath, teamKey, http.StatusRequestTimeout),
		Entry("a completion", completePath, teamKey, http.StatusRequestTimeout),
		Entry("that is rejected by its header", bookPath, "none", http.StatusUnauthorized),
	)

	// Guards against a read deadline that outlasts the body: it would end the request as if its caller had left.
	It("runs for longer than the time for its body", func() {
		release := f.holdServer()
		time.AfterFunc(testBodyTimeout+500*time.Millisecond, release)
		Expect(book(f.fronts[0], "lot-7", 1).outcome).To(Equal(answered))
	})

	// Guards against requests that end with the process and get no answer.
	DescribeTable("is answered when the process ends",
		func(path, body string, length int, prepare func(), status int, want contract.Outcome) {
			prepare()
			caller := f.connect()
			caller.send("POST", path, teamKey, body, length)
			time.Sleep(100 * time.Millisecond)
			f.front.EndRequests()
			got := caller.receive()
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.status).To(Equal(status))
			Expect(got.outcome).To(Equal(want))
			Expect(got.header.Get(contract.HeaderRetryAfter)).NotTo(BeEmpty())
		},
		Entry("while its body is read", bookPath, "lo", 5, func() {}, http.StatusServiceUnavailable, notRun),
		Entry("while it waits for a home", bookPath, "lot-7", 5, func() { f.homelessUntil = time.Now().Add(time.Minute) }, http.StatusServiceUnavailable, notRun),
		Entry("at its server", bookPath, "lot-7", 5, func() { f.holdServer() }, http.StatusConflict, inProgress),
		Entry("at its server, if it may be repeated", completePath, `{"model":"small"}`, 17, func() { f.holdServer() }, http.StatusServiceUnavailable, unknown),
	)
})

// holdServer makes the next send to the backend server wait until release is called.
func (f *fleet) holdServer() (release func()) {
	hold := make(chan struct{})
	f.backend.behaviours = []sendBehaviour{{hold: hold}}
	return func() { close(hold) }
}
