package relay_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/entry/intake"
	"github.com/skylarkpond/skylarkpond/entry/limits"
	"github.com/skylarkpond/skylarkpond/entry/relay"
	"github.com/skylarkpond/skylarkpond/entry/suspects"
	"github.com/skylarkpond/skylarkpond/entry/turn"
	"github.com/skylarkpond/skylarkpond/internal/lateread"
	"github.com/skylarkpond/skylarkpond/link/framing"
	"github.com/skylarkpond/skylarkpond/link/upstream"
	"github.com/skylarkpond/skylarkpond/platform"
	"github.com/skylarkpond/skylarkpond/platform/standin/objects"
	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "forwarding")
}

// bodyCapacity is the memory for bodies.
const bodyCapacity = 4 << 20

// inOrder grants turns at the servers in their order, each once per request.
type inOrder struct {
	mu      sync.Mutex
	servers []*backend.Server
	results []turn.Result
	stalls  int
	// expired is the number of turns, from the first on, that have expired when they are granted.
	expired int
	// waiting makes requests wait for a turn for as long as they can.
	waiting bool
}

func (t *inOrder) Acquire(ctx context.Context, ask turn.Request) (*turn.Turn, *turn.Refusal) {
	if t.waiting {
		<-ctx.Done()
		return nil, &turn.Refusal{Reason: turn.Full, RetryAfter: 700 * time.Millisecond, Detail: "test"}
	}
	for _, server := range t.servers {
		if slices.Contains(ask.Tried, server.ID) {
			continue
		}
		var expires time.Time
		if t.expired > 0 {
			t.expired--
			expires = time.Now().Add(-time.Millisecond)
		}
		return &turn.Turn{
			Accepted: func() {},
			Server:   server, Expires: expires,
			ReportLoad: func(int, int, int) {},
			ReportStall: func() {
				t.mu.Lock()
				defer t.mu.Unlock()
				t.stalls++
			},
			Done: func(result turn.Result) {
				t.mu.Lock()
				defer t.mu.Unlock()
				t.results = append(t.results, result)
			},
		}, nil
	}
	return nil, &turn.Refusal{Reason: turn.Full, RetryAfter: 700 * time.Millisecond, Detail: "test"}
}

func (t *inOrder) ended() []turn.Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.results)
}

type harness struct {
	world   *replica.Cluster
	api     *objects.API
	servers []*replica.Server
	turns   *inOrder
	gateway *httptest.Server
	relay   *relay.Relay
	mu      sync.Mutex
	reports []relay.Report
	table   atomic.Pointer[route.Table]
	retries *relay.Retries
	bodies  *intake.Bodies
	// firstRequests counts the calls of FirstRequest.
	firstRequests atomic.Int32
	suspects      *fakeSuspects
	isolation     *fakeIsolation
	limits        *fakeLimits
	// peers are the other entries that requests can be passed on to, in this order.
	peers []*harness
}

// peer returns the first of the peers that was not tried.
func (r *harness) peer(tried []string) (relay.Peer, bool) {
	for i, peer := range r.peers {
		name := fmt.Sprintf("peer-%d", i)
		if !slices.Contains(tried, name) {
			return relay.Peer{Name: name, Address: strings.TrimPrefix(peer.gateway.URL, "http://")}, true
		}
	}
	return relay.Peer{}, false
}

// fakeIsolation reports what a spec sets, and counts the suspicions.
type fakeIsolation struct {
	isolated   atomic.Bool
	suspicions atomic.Int32
}

func (i *fakeIsolation) Isolated(string) bool { return i.isolated.Load() }

func (i *fakeIsolation) Suspect(string) { i.suspicions.Add(1) }

// fakeLimits records the calls it receives.
type fakeLimits struct {
	mu      sync.Mutex
	sent    []backend.ID
	answers []limits.Answer
}

func (l *fakeLimits) Sending(server *backend.Server) limits.Knowledge {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, server.ID)
	return limits.Knowledge{}
}

func (l *fakeLimits) Answered(answer limits.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, answer)
}

// named returns the servers that answered, with the limit that each answer named; -1 for none.
func (l *fakeLimits) named() map[backend.ID]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	named := make(map[backend.ID]float64)
	for _, answer := range l.answers {
		named[answer.Server.ID] = -1
		if answer.PerSecond != nil {
			named[answer.Server.ID] = *answer.PerSecond
		}
	}
	return named
}

// fakeSuspects holds requests back if a spec sets it to, and records the calls it receives.
type fakeSuspects struct {
	mu       sync.Mutex
	finished int
	lost     []backend.ID
	// progressed are the servers that were lost past the beginning of an answer.
	progressed []backend.ID
	// traits are those of the last request.
	traits []string

	// What a spec sets: whether requests are held, from which call on, whether one of them may be sent, and whether they are suspected.
	held          bool
	heldFromCall  int
	calledForHeld int
	trial         bool
	suspected     bool
}

func (s *fakeSuspects) Held(request suspects.Request) (suspects.Hold, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.traits = request.Traits
	s.calledForHeld++
	return suspects.Hold{Traits: []string{"part bad"}, Crashes: 3}, s.held && s.calledForHeld > s.heldFromCall
}

func (s *fakeSuspects) TakeTrial(suspects.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.trial
	s.trial = false
	return taken
}

func (s *fakeSuspects) Suspected(suspects.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspected
}

func (s *fakeSuspects) Finished(suspects.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished++
}

func (s *fakeSuspects) ServerLost(_ context.Context, _ suspects.Request, server *backend.Server, _ time.Time, progressed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if progressed {
		s.progressed = append(s.progressed, server.ID)
	}
	s.lost = append(s.lost, server.ID)
}

func (s *fakeSuspects) calls() (finished int, lost []backend.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.finished, slices.Clone(s.lost)
}

func newHarness(config replica.Config, count int) *harness {
	r := &harness{world: replica.NewCluster(), api: objects.New(), turns: &inOrder{}, suspects: &fakeSuspects{}, isolation: &fakeIsolation{}, limits: &fakeLimits{}}
	DeferCleanup(r.api.Close)
	for i := range count {
		config.ID = fmt.Sprintf("i-%d", i)
		config.Service = "s"
		server := r.world.Start(r.api, config)
		DeferCleanup(server.Close)
		r.servers = append(r.servers, server)
		r.turns.servers = append(r.turns.servers, &backend.Server{ID: backend.ID(config.ID), Address: server.Address(), Slots: 8})
	}
	targets := []route.Target{{Service: "s", Weight: 1}}
	r.table.Store(route.NewTable(3, []route.Route{
		{Name: "free", Host: "h.example", PathPrefix: "/free/", Kind: route.Idempotent, Timeout: 2 * time.Second, MaxAttempts: 2, Public: true, Targets: targets},
		{Name: "look", Host: "h.example", PathPrefix: "/look/", Kind: route.Idempotent, Timeout: 2 * time.Second, MaxAttempts: 2, Targets: targets},
		{Name: "book", Host: "h.example", PathPrefix: "/book/", Kind: route.NonIdempotent, Timeout: 2 * time.Second, MaxAttempts: 2, Targets: targets},
		{Name: "chat", Host: "h.example", PathPrefix: "/chat/", Kind: route.Streaming, Timeout: 8 * time.Second, MaxAttempts: 2, Resumable: true, Targets: targets},
		{Name: "once", Host: "h.example", PathPrefix: "/once/", Kind: route.Streaming, Timeout: 2 * time.Second, MaxAttempts: 2, Targets: targets},
	}, nil, []route.Team{{Name: "one", Keys: []string{"key"}}}, route.Limits{BodyBytes: 1 << 20}))
	r.retries = relay.NewRetries(relay.Allowance{Ratio: 1, Extra: 20}, 1)
	r.bodies = intake.New(intake.Deps{Capacity: bodyCapacity, Metrics: metrics.NewRegistry()})
	handler := relay.New(relay.Deps{
		Rejected: func(relay.Rejection) {}, Unreachable: func(string, *backend.Server, error) {},
		Table: r.table.Load, Turns: r.turns, Pool: upstream.NewPool(), Bodies: r.bodies, Retries: r.retries, Suspects: r.suspects,
		Limits: r.limits, Pauses: noPauses{}, Isolation: r.isolation, Peer: r.peer, PeerPool: upstream.NewPool(),
		Random: func() float64 { return 0.5 }, FirstRequest: func() { r.firstRequests.Add(1) },
		Report: func(report relay.Report) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.reports = append(r.reports, report)
		},
	})
	r.relay = handler
	r.gateway = httptest.NewUnstartedServer(handler)
	r.gateway.Listener = lateread.Listen(r.gateway.Listener)
	r.gateway.Config.ConnContext = framing.WithConn
	r.gateway.Start()
	DeferCleanup(r.gateway.Close)
	return r
}

func (r *harness) request(method, path, id string) *http.Request {
	request, err := http.NewRequest(method, r.gateway.URL+path, strings.NewReader("body"))
	Expect(err).NotTo(HaveOccurred())
	if method == http.MethodGet {
		request.Body = nil
		request.ContentLength = 0
	}
	request.Host = "h.example"
	request.Header.Set(platform.HeaderRequestID, id)
	request.Header.Set(platform.HeaderKey, "key")
	request.Header.Set(platform.HeaderDeadline, "5000")
	return request
}

type answer struct {
	status int
	header http.Header
	body   string
	// length is -1 if the header states none; encoding holds its transfer encodings.
	length   int64
	encoding []string
	err      error
}

func (r *harness) send(request *http.Request) answer {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode, header: response.Header, body: string(body), length: response.ContentLength,
		encoding: response.TransferEncoding, err: err,
	}
}

// last returns the last report. A caller whose connection is reset may notice before the first report is there.
func (r *harness) last() relay.Report {
	GinkgoHelper()
	Eventually(r.reportCount).Should(BeNumerically(">", 0))
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reports[len(r.reports)-1]
}

func (r *harness) reportCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.reports)
}

func (r *harness) set(i int, faults replica.Faults) { r.servers[i].SetFaults(faults) }

var _ = Describe("Retries", func() {
	take := func(r *relay.Retries, most int) int {
		n := 0
		for n < most && r.Take("s", time.Second) {
			n++
		}
		return n
	}

	// Groups break for all entries at once. If the budget of an entry did not depend on the number of entries, many entries together
	// would send more retries than the remaining servers can bear.
	It("stay within the total allowance of all entries, however many there are", func() {
		for _, entries := range []int{1, 13, 142, 330} {
			total := 0
			for range entries {
				r := relay.NewRetries(relay.Allowance{Ratio: 0.2, Extra: 491}, entries)
				total += take(r, 1000)
			}
			Expect(total).To(BeNumerically("<=", 491), "%d entries", entries)
			Expect(total).To(BeNumerically(">=", 140), "%d entries", entries)
		}
	})

	It("grow with the first tries, and shrink when entries join", func() {
		r := relay.NewRetries(relay.Allowance{Ratio: 0.2, Extra: 100}, 10)
		Expect(take(r, 1000)).To(Equal(6))
		for range 20 {
			r.FirstTry("s")
		}
		Expect(take(r, 1000)).To(Equal(3))
		fresh := relay.NewRetries(relay.Allowance{Ratio: 0.2, Extra: 100}, 1)
		Expect(fresh.Take("s", time.Second)).To(BeTrue())
		fresh.Resize(65)
		Expect(take(fresh, 1000)).To(Equal(1))
	})
})

var _ = Describe("Relay", func() {
	It("forwards a request unmodified with the team's name, and returns the answer unchanged", func() {
		r := newHarness(replica.Config{}, 1)
		got := r.send(r.request(http.MethodPost, "/book/x?q=1", "a1"))
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.body).To(Equal("answer to a1"))
		Expect(got.header.Get(platform.HeaderSignature)).To(Equal("signed.i-0"))
		Expect(r.servers[0].Runs()).To(ConsistOf(And(
			HaveField("ID", "a1"), HaveField("Team", "one"), HaveField("Key", ""), HaveField("Body", "body"),
			HaveField("Deadline", BeNumerically("<=", 2000)),
		)))
	})

	DescribeTable("answers requests that must not reach a server itself",
		func(change func(*harness, *http.Request), status int) {
			r := newHarness(replica.Config{}, 1)
			request := r.request(http.MethodGet, "/look/x", "a1")
			change(r, request)
			got := r.send(request)
			Expect(got.status).To(Equal(status))
			Expect(got.header.Get(platform.HeaderSignature)).To(BeEmpty())
			Expect(r.servers[0].Runs()).To(BeEmpty())
		},
		// An entry that has just started has no configuration. Answering 404 would be wrong, and callers don't retry after it.
		Entry("before the first configuration", func(r *harness, _ *http.Request) { r.table.Store(nil) }, http.StatusServiceUnavailable),
		Entry("no route", func(_ *harness, q *http.Request) { q.URL.Path = "/none/" }, http.StatusNotFound),
		Entry("another host", func(_ *harness, q *http.Request) { q.Host = "other.example" }, http.StatusNotFound),
		Entry("an unknown key", func(_ *harness, q *http.Request) { q.Header.Set(platform.HeaderKey, "no") }, http.StatusUnauthorized),
		Entry("no key", func(_ *harness, q *http.Request) { q.Header.Del(platform.HeaderKey) }, http.StatusUnauthorized),
	)

	// All entries were killed, and callers come back while they start. Each caller comes again once, so that a second refusal ends its request.
	It("serves a request that arrives just before the first configuration", func() {
		r := newHarness(replica.Config{}, 1)
		table := r.table.Swap(nil)
		time.AfterFunc(200*time.Millisecond, func() { r.table.Store(table) })
		Expect(r.send(r.request(http.MethodGet, "/look/a", "id")).status).To(Equal(http.StatusOK))
	})

	It("reports the first request, and only that one", func() {
		r := newHarness(replica.Config{}, 1)
		Expect(r.firstRequests.Load()).To(BeZero())
		for range 2 {
			Expect(r.send(r.request(http.MethodGet, "/look/a", "id")).err).NotTo(HaveOccurred())
		}
		Expect(r.firstRequests.Load()).To(Equal(int32(1)))
	})

	It("requires no key on public routes", func() {
		r := newHarness(replica.Config{}, 1)
		request := r.request(http.MethodGet, "/free/x", "a1")
		request.Header.Del(platform.HeaderKey)
		Expect(r.send(request).status).To(Equal(http.StatusOK))
	})

	// A booking ran and its answer was lost. Sent again it would run twice; if the caller were told that it did not run, the caller
	// would send it again.
	It("sends a request that may not be repeated once, and does not report it as not run when the answer is lost", func() {
		r := newHarness(replica.Config{}, 2)
		r.set(0, replica.Faults{LoseAnswer: true})
		got := r.send(r.request(http.MethodPost, "/book/x", "a1"))
		Expect(got.status).To(Equal(http.StatusBadGateway))
		Expect(r.world.RunCount("a1")).To(Equal(1))
		Expect(r.last().Outcome).To(Equal(relay.Unknown))
	})

	// A server is full and says so. The request has not run, so another server may get it.
	It("tries another server if the first one states that it did not run the request", func() {
		r := newHarness(replica.Config{}, 2)
		r.set(0, replica.Faults{Shed: true})
		got := r.send(r.request(http.MethodPost, "/book/x", "a1"))
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(r.world.RunCount("a1")).To(Equal(1))
		Expect(r.turns.ended()[0].Rejected).To(BeTrue())
	})

	It("answers 503 with Retry-After if no server ran the request", func() {
		r := newHarness(replica.Config{}, 2)
		r.set(0, replica.Faults{Shed: true})
		r.set(1, replica.Faults{Shed: true})
		got := r.send(r.request(http.MethodPost, "/book/x", "a1"))
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(r.world.RunCount("a1")).To(BeZero())
	})

	It("retries a repeatable request after a lost answer and after a server's failure", func() {
		for _, faults := range []replica.Faults{{LoseAnswer: true}, {FailStatus: 500}} {
			r := newHarness(replica.Config{}, 2)
			r.set(0, faults)
			got := r.send(r.request(http.MethodGet, "/look/x", "a1"))
			Expect(got.status).To(Equal(http.StatusOK))
			Expect(got.header.Get(platform.HeaderSignature)).To(Equal("signed.i-1"))
		}
	})

	It("returns a server's failure if no further attempt is allowed", func() {
		r := newHarness(replica.Config{}, 1)
		r.set(0, replica.Faults{FailStatus: 500})
		got := r.send(r.request(http.MethodPost, "/book/x", "a1"))
		Expect(got.status).To(Equal(http.StatusInternalServerError))
		Expect(got.header.Get(platform.HeaderSignature)).To(Equal("signed.i-0"))
	})

	It("tries another server after a failed connection attempt, which does not count as an attempt", func() {
		r := newHarness(replica.Config{}, 2)
		r.servers[0].Close()
		got := r.send(r.request(http.MethodPost, "/book/x", "a1"))
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(r.turns.ended()[0].Unreachable).To(BeTrue())
		Expect(r.last().Attempts).To(Equal(1))
	})

	// A server is gone and another one has its address. A booking that is sent there would run at a service that must not receive it.
	It("tries another server if the address now belongs to a different one", func() {
		r := newHarness(replica.Config{}, 2)
		r.turns.servers[0].ID = "i-gone"
		got := r.send(r.request(http.MethodPost, "/book/x", "a1"))
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(r.world.RunCount("a1")).To(Equal(1))
		Expect(r.servers[0].Runs()).To(BeEmpty())
	})

	// Many servers are gone. If each failed connection attempt counted as a first try, the retry budget would grow with the failures that it is
	// there to contain.
	It("counts one first try for a request, however many servers it could not reach", func() {
		r := newHarness(replica.Config{}, 3)
		r.servers[0].Close()
		r.servers[1].Close()
		for r.retries.Take("s", time.Second) {
		}
		Expect(r.send(r.request(http.MethodPost, "/book/x", "a1")).status).To(Equal(http.StatusOK))
		Expect(r.retries.Take("s", time.Second)).To(BeFalse())
	})

	// The server takes longer than the route allows. The caller gets an answer when the timeout expires, without a promise that the
	// request did not run.
	It("ends a request at the route's timeout", func() {
		r := newHarness(replica.Config{}, 1)
		r.set(0, replica.Faults{Unresponsive: true})
		began := time.Now()
		got := r.send(r.request(http.MethodPost, "/book/x", "a1"))
		Expect(got.status).To(Equal(http.StatusGatewayTimeout))
		Expect(time.Since(began)).To(BeNumerically(">=", 2*time.Second))
		Expect(r.last().Outcome).To(Equal(relay.TimedOut))
	})

	stream := replica.Config{Events: 6, EventInterval: 10 * time.Millisecond}
	// whole returns the stream events numbered from through to as a server sends them in answer to request a1.
	whole := func(from, to int) string {
		text := ""
		for i := from; i <= to; i++ {
			text += replica.Event(i, "a1")
		}
		return text
	}

	It("forwards a stream event by event", func() {
		r := newHarness(stream, 1)
		got := r.send(r.request(http.MethodPost, "/chat/x", "a1"))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(whole(1, 6)))
	})

	// A server crashes in the middle of an event, or stalls because its group has lost a member. The caller would get half of an
	// event, wait in vain, or find an event missing or duplicated.
	DescribeTable("resumes a stream at another server after its last complete event, as one answer of the first server",
		func(faults replica.Faults) {
			r := newHarness(stream, 2)
			r.set(0, faults)
			got := r.send(r.request(http.MethodPost, "/chat/x", "a1"))
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.body).To(Equal(whole(1, 6)))
			Expect(got.header.Get(platform.HeaderSignature)).To(Equal("signed.i-0"))
			Expect(r.servers[1].Runs()).To(ConsistOf(HaveField("From", "3")))
			Expect(r.last().Resumed).To(BeTrue())
		},
		Entry("cut in the middle of an event", replica.Faults{ResetAfter: 3}),
		Entry("silent", replica.Faults{StallAfter: 3}),
	)

	// A group has lost a member, and a request is sent to its head before the loss is noticed. The head accepts the request and sends
	// nothing. The caller leaves after two seconds.
	DescribeTable("sends a repeatable request to another server when its server does not begin to answer", func(path string) {
		r := newHarness(stream, 2)
		r.set(0, replica.Faults{Unresponsive: true})
		began := time.Now()
		got := r.send(r.request(http.MethodPost, path, "a1"))
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.body).To(Equal(whole(1, 6)))
		Expect(time.Since(began)).To(BeNumerically(">=", 500*time.Millisecond))
		Expect(r.turns.ended()[0].Stalled).To(BeTrue())
	}, Entry("a stream", "/chat/x"), Entry("a look-up", "/look/x"))

	// All other groups are full, or the retry budget is exhausted. A request that is abandoned without an alternative gets no answer
	// at all, although its server was only slow.
	It("waits for a silent server while no other server is available", func() {
		r := newHarness(stream, 1)
		r.servers[0].SetStream(3, 1500*time.Millisecond)
		Expect(r.send(r.request(http.MethodPost, "/chat/x", "a1")).body).To(Equal(whole(1, 3)))
	})

	It("waits for the server of a request that may not be repeated", func() {
		r := newHarness(stream, 2)
		r.set(0, replica.Faults{Unresponsive: true})
		Expect(r.send(r.request(http.MethodPost, "/book/x", "a1")).status).To(Equal(http.StatusGatewayTimeout))
		Expect(r.servers[1].Runs()).To(BeEmpty())
	})

	It("reports a stalled server before it abandons the stream", func() {
		r := newHarness(stream, 2)
		r.set(0, replica.Faults{StallAfter: 3})
		r.send(r.request(http.MethodPost, "/chat/x", "a1"))
		r.turns.mu.Lock()
		defer r.turns.mu.Unlock()
		Expect(r.turns.stalls).To(BeNumerically(">=", 1))
		Expect(r.turns.results[0].Stalled).To(BeTrue())
	})

	// A stream that may not be repeated breaks off. If it ended like a complete one, the caller would act on a part.
	It("aborts the connection if a stream can't be resumed", func() {
		r := newHarness(stream, 2)
		r.set(0, replica.Faults{ResetAfter: 3})
		got := r.send(r.request(http.MethodPost, "/once/x", "a1"))
		Expect(got.err).To(HaveOccurred())
		Expect(got.body).To(Equal(whole(1, 3)))
		Expect(r.world.RunCount("a1")).To(Equal(1))
		Eventually(func() relay.Outcome { return r.last().Outcome }).Should(Equal(relay.Cut))
	})

	It("forwards the Last-Event-Id of the caller", func() {
		r := newHarness(stream, 1)
		request := r.request(http.MethodPost, "/chat/x", "a1")
		request.Header.Set("Last-Event-Id", "4")
		Expect(r.send(request).body).To(Equal(whole(5, 6)))
	})

	// The caller closes its connection in the middle of a stream. A server that is not told would continue for nobody.
	It("cancels the request at the server when the caller disconnects", func() {
		r := newHarness(replica.Config{Events: 1000, EventInterval: 20 * time.Millisecond}, 1)
		ctx, cancel := context.WithCancel(context.Background())
		request := r.request(http.MethodPost, "/chat/x", "a1").WithContext(ctx)
		response, err := http.DefaultTransport.RoundTrip(request)
		Expect(err).NotTo(HaveOccurred())
		_, err = bufio.NewReader(response.Body).ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		cancel()
		_ = response.Body.Close()
		Eventually(r.turns.ended).Should(HaveLen(1))
		ended := r.turns.ended()[0]
		Expect(ended.TimeToFirstToken).To(BeNumerically(">", 0), "the first part had come")
		ended.TimeToFirstToken = 0
		Expect(ended).To(Equal(turn.Result{}))
		Eventually(func() relay.Outcome { return r.last().Outcome }).Should(Or(Equal(relay.CallerLeft), Equal(relay.Cut)))
	})

	It("refuses a body over the limit", func() {
		r := newHarness(replica.Config{}, 1)
		request := r.request(http.MethodPost, "/book/x", "a1")
		request.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 1<<20+1)))
		request.ContentLength = -1
		got := r.send(request)
		Expect(errors.Is(got.err, nil)).To(BeTrue())
		Expect(got.status).To(Equal(http.StatusRequestEntityTooLarge))
		Expect(r.servers[0].Runs()).To(BeEmpty())
	})
})

// noPauses is an entry that no server has asked for a pause.
type noPauses struct{}

func (noPauses) Permit(*backend.Server) bool { return true }
