package front_test

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/emicklei/go-restful/v3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/attempt"
	"github.com/skylarkpond/skylarkpond/contract/settings"
	"github.com/skylarkpond/skylarkpond/entry/front"
	"github.com/skylarkpond/skylarkpond/entry/guard"
	"github.com/skylarkpond/skylarkpond/entry/home"
	"github.com/skylarkpond/skylarkpond/entry/intake"
	standin "github.com/skylarkpond/skylarkpond/internal/standin/platform"
	"github.com/skylarkpond/skylarkpond/link/engine"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/policy/shift"
	"github.com/skylarkpond/skylarkpond/timeline"
	"github.com/skylarkpond/skylarkpond/vm"
)

// backend is a fake engine client that serves all groups. The tests check its runs, which count how often each
// body ran.
type backend struct {
	engine.Client

	mu   sync.Mutex // guards the fields below
	runs map[string]int
	// behaviours holds the behaviour of the next sends, in order. Sends beyond the list succeed.
	behaviours []sendBehaviour
	// cancelled counts the streams that were closed before their last event.
	cancelled int
	sent      []engine.Target
}

// sendBehaviour is the behaviour of one send.
type sendBehaviour struct {
	err        error
	breakAfter int // events or bytes after which the answer breaks off; 0: never
	events     []engine.Event
	hold       chan struct{} // if set, the first event waits until it is closed
	body       string
	status     int
	unframed   bool // the answer has neither a length nor chunks
}

const answerEvents = 4

func (b *backend) begin(send engine.Target, body string) sendBehaviour {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent = append(b.sent, send)
	var behaviour sendBehaviour
	if len(b.behaviours) > 0 {
		behaviour, b.behaviours = b.behaviours[0], b.behaviours[1:]
	}
	if behaviour.err == nil || behaviour.err == engine.ErrInterrupted {
		b.runs[body]++
	}
	return behaviour
}

func (b *backend) count(body string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[body]
}

func (b *backend) Complete(ctx context.Context, send engine.Target, body []byte) (engine.Stream, error) {
	h := b.begin(send, string(body))
	if h.err != nil {
		return nil, h.err
	}
	if h.events == nil {
		for i := send.ResumeFrom; i < answerEvents; i++ {
			h.events = append(h.events, event(send.RequestID, i))
		}
	}
	return &stream{ctx: ctx, b: b, h: h, id: send.RequestID}, nil
}

// otherRequestID is the ID of another request, whose events carry a different text.
const otherRequestID = "other"

func event(id string, seq uint64) engine.Event {
	text := fmt.Sprint("w", seq, " ")
	if id == otherRequestID {
		text = "another's "
	}
	return engine.Event{RequestID: id, Seq: seq, Text: text, Tokens: 1, Final: seq == answerEvents-1}
}

type stream struct {
	ctx context.Context
	b   *backend
	h   sendBehaviour
	id  string
	at  int
}

func (s *stream) Next() (engine.Event, error) {
	if s.h.hold != nil {
		select {
		case <-s.h.hold:
		case <-s.ctx.Done():
			return engine.Event{}, engine.ErrInterrupted
		}
	}
	if s.h.breakAfter > 0 && s.at == s.h.breakAfter || s.at == len(s.h.events) {
		return engine.Event{}, engine.ErrInterrupted
	}
	s.at++
	e := s.h.events[s.at-1]
	if e.RequestID == "" {
		e.RequestID = s.id
	}
	return e, nil
}

func (s *stream) Close() error {
	s.b.mu.Lock()
	defer s.b.mu.Unlock()
	if s.at < len(s.h.events) {
		s.b.cancelled++
	}
	return nil
}

func (b *backend) Call(ctx context.Context, send engine.Target, method, path string, _ http.Header, body io.Reader) (*http.Response, error) {
	text, _ := io.ReadAll(body)
	h := b.begin(send, string(text))
	if h.err != nil {
		return nil, h.err
	}
	if h.hold != nil {
		select {
		case <-h.hold:
		case <-ctx.Done():
			return nil, engine.ErrInterrupted
		}
	}
	if h.body == "" {
		h.body = "ran " + method + " " + path
	}
	response := &http.Response{
		StatusCode: max(h.status, http.StatusOK), Header: http.Header{"X-Lot": {"7"}}, ContentLength: int64(len(h.body)),
		Body: io.NopCloser(strings.NewReader(h.body)),
	}
	if h.unframed {
		response.ContentLength = -1
	}
	if h.breakAfter > 0 {
		response.Body = io.NopCloser(io.MultiReader(bytes.NewReader([]byte(h.body)[:h.breakAfter]), brokenReader{}))
	}
	return response, nil
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// fleet runs several fronts and homes in one process and connects them by fake links.
type fleet struct {
	backend  *backend
	platform *standin.Platform
	server   *httptest.Server
	homes    map[vm.GroupID]*home.Home
	groups   []vm.GroupID
	fronts   []*httptest.Server
	settings *settings.Snapshot
	// bodies is the memory of the last front for bodies.
	bodies   *intake.Bodies
	notWhole map[vm.GroupID]bool
	// computed is the home that the fronts compute for a group, in place of homeName.
	computed map[vm.GroupID]string
	// noneLive is set while the fronts know no live entry.
	noneLive bool
	// noneLiveUntil is the time until which they know none.
	noneLiveUntil time.Time
	// staleUntil is the time until which they trust nothing that they know, as after a pause: they know no live entry and no home.
	staleUntil time.Time
	// viewAge is how long the fronts' view has been unchanged; 0 for a second.
	viewAge time.Duration
	// homelessUntil is when the homes learn that they are; until then they know no home.
	homelessUntil time.Time
	// strangers are entries that are not the home of any group. Each names another home, or none.
	strangers map[string]*home.Home
	// logged holds the log lines of the fronts.
	logged *logtest.Hook
	log    logrus.FieldLogger

	// front is the one created last.
	front *front.Front

	// framesTaken counts the frames that the fronts have taken.
	framesTaken atomic.Int64

	mu sync.Mutex // guards the fields below
	// fault is the fault of the next dispatch to a group.
	fault map[vm.GroupID]fault
	// frozen blocks the homes that a fault froze, until clearFaults closes it.
	frozen chan struct{}
	// holdersSilent makes all queries to holders of claims fail.
	holdersSilent bool
}

func newFleet(groups ...vm.GroupID) *fleet {
	f := &fleet{
		backend: &backend{runs: make(map[string]int)}, platform: standin.New(), homes: make(map[vm.GroupID]*home.Home), groups: groups,
		notWhole: make(map[vm.GroupID]bool), fault: make(map[vm.GroupID]fault),
		computed: make(map[vm.GroupID]string), strangers: make(map[string]*home.Home), frozen: make(chan struct{}), settings: testSettings(),
	}
	f.log, f.logged = logtest.NewNullLogger()
	f.server = httptest.NewServer(f.platform.Handler())
	DeferCleanup(f.server.Close)
	for _, id := range groups {
		f.homes[id] = f.newHome(homeName(id), f)
	}
	for range 2 {
		f.fronts = append(f.fronts, f.newFront())
	}
	return f
}

func homeName(id vm.GroupID) string { return "home-" + string(id) }

func (f *fleet) newHome(name string, groups home.Groups) *home.Home {
	return home.New(home.Deps{
		Self: name, Incarnation: "1", Groups: groups, Presence: f, Admission: admitAll{}, Guard: f.newGuard(),
		Attempts: f.attempts(), Engines: f.backend, Settings: func() *settings.Snapshot { return f.settings },
		Recorder: timeline.NewRecorder(name, nil, time.Now), Metrics: metrics.NewRegistry(), Log: discardLog(),
	})
}

// addStranger adds an entry that is not the home of any group and names the given entry as the home of all, or the
// true homes if named is theHome.
func (f *fleet) addStranger(name, named string) {
	f.strangers[name] = f.newHome(name, strangerView{f, named})
}

// strangerView is the view of an entry that is not a home.
type strangerView struct {
	*fleet
	named string
}

func (v strangerView) Lookup(id vm.GroupID) (vm.Group, bool, bool) {
	group, _, ok := v.fleet.Lookup(id)
	return group, false, ok
}

func (v strangerView) HomeOf(id vm.GroupID) string {
	if v.named == theHome {
		return homeName(id)
	}
	return v.named
}

// theHome stands for the name of the home of any group.
const theHome = "the home"

func (f *fleet) HomeOf(id vm.GroupID) string {
	if time.Now().Before(f.homelessUntil) {
		return ""
	}
	return homeName(id)
}

// Next ranks the strangers by name, behind the home that the fronts compute, and before the true one.
func (f *fleet) Next(id vm.GroupID, asked []string, named string) (string, bool) {
	if f.noneLive || time.Now().Before(f.noneLiveUntil) || time.Now().Before(f.staleUntil) {
		return "", false
	}
	computed, ok := f.computed[id]
	if !ok {
		computed = homeName(id)
	}
	ranked := append(slices.Sorted(maps.Keys(f.strangers)), homeName(id))
	return shift.HomeQuery{Computed: computed, Named: named, Ranked: ranked, Asked: asked}.Next()
}

func (f *fleet) Eligible() ([]string, time.Duration) {
	if time.Now().Before(f.staleUntil) {
		return nil, time.Minute
	}
	if f.viewAge > 0 {
		return []string{"e1", "e2"}, f.viewAge
	}
	return []string{"e1", "e2"}, time.Second
}

func (f *fleet) newGuard() *guard.Guard {
	return guard.New(guard.Deps{
		Store: platform.NewClient(f.server.URL), Publisher: discardPublisher{}, Engines: f.backend, Metrics: metrics.NewRegistry(),
		Recorder: timeline.NewRecorder("guard", nil, time.Now), Clock: time.Now, NewNonce: rand.Text,
	})
}

func discardLog() logrus.FieldLogger {
	log, _ := logtest.NewNullLogger()
	return log
}

type discardPublisher struct{}

func (discardPublisher) Publish(platform.Object) {}

func (f *fleet) attempts() *attempt.Records {
	return attempt.New(platform.NewClient(f.server.URL, platform.WithCallTimeout(200*time.Millisecond)), time.Now)
}

// bodyCapacity is the memory for the bodies of one front.
const bodyCapacity = 4 << 20

func (f *fleet) newFront() *httptest.Server {
	container := restful.NewContainer()
	service := new(restful.WebService).Path("/v1").Consumes("*/*").Produces("*/*")
	f.bodies = intake.New(intake.Deps{Capacity: bodyCapacity, Metrics: metrics.NewRegistry()})
	f.front = front.New(front.Deps{
		Self: "front", Settings: func() *settings.Snapshot { return f.settings }, Dispatcher: f, Homes: f, Holders: f, Chooser: f,
		Retries: &tenRetries{}, Attempts: f.attempts(), Bodies: f.bodies, Recorder: timeline.NewRecorder("front", nil, time.Now), Metrics: metrics.NewRegistry(),
		Log: f.log, BodyTimeout: testBodyTimeout,
	})
	f.front.Register(service)
	container.Add(service)
	server := httptest.NewServer(container)
	DeferCleanup(server.Close)
	return server
}

func (f *fleet) Lookup(id vm.GroupID) (vm.Group, bool, bool) {
	service := "desk"
	if strings.HasPrefix(string(id), "chat") {
		service = "chat"
	}
	return vm.Group{ID: id, Service: service, State: vm.Serving, Members: []vm.Member{{VM: "vm"}}}, !time.Now().Before(f.homelessUntil), true
}

func (f *fleet) Whole(id vm.GroupID) (bool, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.notWhole[id], "a member is missing"
}

// Choose returns the first group of the service that was not tried.
func (f *fleet) Choose(query front.GroupQuery) (front.Choice, *contract.Problem) {
	for _, id := range f.groups {
		if strings.HasPrefix(string(id), query.Service.Name) && !slices.Contains(query.Tried, id) {
			return front.Choice{Group: id}, nil
		}
	}
	return front.Choice{}, contract.NewRetryLater(contract.CodeNoGroup, "none", time.Second)
}

// testBodyTimeout is the body timeout of the fronts.
const testBodyTimeout = time.Second

// answer is the response that a caller received.
type answer struct {
	status     int
	outcome    contract.Outcome
	code       contract.Code
	retryAfter string
	attempt    string
	key        string
	body       string
	header     http.Header
	// endsWithConnection is set if the response had neither a length nor chunks.
	endsWithConnection bool
	err                error
}

const (
	teamKey           = "team-key"
	eventuallyTimeout = time.Minute
)

func testSettings() *settings.Snapshot {
	sum := sha256.Sum256([]byte(teamKey))
	common := settings.Service{
		RequestTimeout: 20 * time.Second, MaxRequestTimeout: time.Minute, QueueTimeout: 10 * time.Second, MaxBodyBytes: 1 << 10,
		AttemptRetention: time.Hour, MaxConcurrency: 4,
	}
	desk, chat, hidden := common, common, common
	desk.Name, desk.Kind, desk.Unrepeatable, desk.Repeatable = "desk", settings.PlainService, []string{"/book"}, []string{"/quote"}
	chat.Name, chat.Kind, chat.Model, chat.CanResume = "chat", settings.LanguageService, "small", true
	hidden.Name, hidden.Kind = "hidden", settings.PlainService
	s := &settings.Snapshot{
		Version:  1,
		Services: map[string]settings.Service{"desk": desk, "chat": chat, "hidden": hidden},
		Teams: map[string]settings.Team{"dairy": {
			Name: "dairy", KeyHashes: []string{hex.EncodeToString(sum[:])}, Share: 1, Services: []string{"desk", "chat"},
		}},
	}
	s.BuildIndex()
	return s
}

// sendRequest sends one request through a front.
func sendRequest(server *httptest.Server, method, path string, header map[string]string, body string) answer {
	GinkgoHelper()
	request, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+teamKey)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	got := answer{
		status: response.StatusCode, outcome: contract.Outcome(response.Header.Get(contract.HeaderOutcome)),
		retryAfter: response.Header.Get(contract.HeaderRetryAfter), attempt: response.Header.Get(contract.HeaderAttempt),
		key: response.Header.Get(contract.HeaderIdempotencyKey), body: string(text), header: response.Header, err: err,
		endsWithConnection: response.ContentLength < 0 && len(response.TransferEncoding) == 0,
	}
	if got.outcome == "" {
		got.outcome = contract.Outcome(response.Trailer.Get(contract.HeaderOutcome))
	}
	var p contract.Problem
	if json.Unmarshal(text, &p) == nil {
		got.code = p.Code
	}
	return got
}

// book books lot 7 under the given key. If key is empty, the front generates one.
func book(server *httptest.Server, key string, attempt int) answer {
	GinkgoHelper()
	header := map[string]string{contract.HeaderAttempt: fmt.Sprint(attempt)}
	if key != "" {
		header[contract.HeaderIdempotencyKey] = key
	}
	return sendRequest(server, http.MethodPost, "/v1/services/desk/book", header, "lot-7")
}

func complete(server *httptest.Server, stream bool) answer {
	GinkgoHelper()
	return completeAs(server, "", stream)
}

func completeAs(server *httptest.Server, key string, stream bool) answer {
	GinkgoHelper()
	var header map[string]string
	if key != "" {
		header = map[string]string{contract.HeaderIdempotencyKey: key}
	}
	body := fmt.Sprintf(`{"model":"small","stream":%t,"messages":[{"role":"user","content":"x"}]}`, stream)
	return sendRequest(server, http.MethodPost, "/v1/chat/completions", header, body)
}

// tenRetries is a RetryBudget of ten retries without a backoff.
type tenRetries struct{ used atomic.Int64 }

func (b *tenRetries) RecordFirstTry(string) {}

func (b *tenRetries) AllowRetry(settings.Service, int, time.Duration) (time.Duration, bool) {
	return 0, b.used.Add(1) <= 10
}

// admitAll is an Admission that admits every request at once.
type admitAll struct{}

func (admitAll) Enter(context.Context, home.AdmissionRequest) (home.Permit, *contract.Problem) {
	return fakePermit{}, nil
}

func (admitAll) Load(vm.GroupID) contract.GroupLoad { return contract.GroupLoad{} }

type fakePermit struct{}

func (fakePermit) FirstToken() {}

func (fakePermit) RateLimit(*float64) bool { return false }

func (fakePermit) Pause(time.Duration) {}

func (fakePermit) Token(int) {}
func (fakePermit) Done()     {}

// Probe reports that the backend server is alive, so that a broken answer does not count as a crash.
func (b *backend) Probe(context.Context, string) (engine.State, error) { return engine.State{}, nil }
