package directory

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/emicklei/go-restful/v3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/entry/member"
	"github.com/skylarkpond/skylarkpond/link/platform"
	policy "github.com/skylarkpond/skylarkpond/policy/directory"
)

func TestDirectory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "entry/directory")
}

type fakeMembers struct {
	live       []member.Peer
	self       member.Peer
	overloaded bool
}

func (f *fakeMembers) Live() []member.Peer     { return f.live }
func (f *fakeMembers) Self() member.Peer       { return f.self }
func (f *fakeMembers) SetOverloaded(over bool) { f.overloaded = over }

func peerAt(name, place, domain string) member.Peer {
	return member.Peer{Entry: platform.Entry{Name: name, PublicAddress: name + ":8080", Place: place, FailureDomain: domain}}
}

type fixture struct {
	*Directory
	members    *fakeMembers
	ttl        time.Duration
	now        time.Time
	inProgress int
}

func newFixture() *fixture {
	b := &fixture{ttl: time.Minute, now: time.Unix(1_700_000_000, 0), members: &fakeMembers{
		self: peerAt("a1", "pampa", "a"),
		live: []member.Peer{
			peerAt("a1", "pampa", "a"), peerAt("a2", "pampa", "a"), peerAt("b1", "pampa", "b"), peerAt("c1", "aotearoa", "c"),
		},
	}}
	b.Directory = New(Deps{
		Members: b.members, Rand: rand.New(rand.NewPCG(1, 1)), Choice: policy.DefaultConfig(),
		TTL: func() time.Duration { return b.ttl }, Clock: func() time.Time { return b.now },
		InProgress: func() int { return b.inProgress },
		Overload:   policy.OverloadConfig{High: 10, Low: 5, EnterAfter: time.Second, LeaveAfter: time.Second},
	})
	return b
}

func (b *fixture) get(query string) *httptest.ResponseRecorder {
	service := new(restful.WebService)
	service.Path("/v1")
	b.Register(service)
	container := restful.NewContainer()
	container.Add(service)
	answer := httptest.NewRecorder()
	container.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/v1/entries"+query, nil))
	return answer
}

func (b *fixture) entries(query string) Response {
	got := b.get(query)
	Expect(got.Code).To(Equal(http.StatusOK), got.Body.String())
	var answer Response
	Expect(json.Unmarshal(got.Body.Bytes(), &answer)).To(Succeed())
	return answer
}

var _ = Describe("GET /v1/entries", func() {
	It("returns live entries of the caller's place first, and how long to cache them", func() {
		b := newFixture()
		got := b.get("")
		var answer Response
		Expect(json.Unmarshal(got.Body.Bytes(), &answer)).To(Succeed())
		Expect(answer.Entries).To(HaveLen(4))
		Expect(answer.Entries[3].Place).To(Equal("aotearoa"))
		Expect(answer.MaxAgeSeconds).To(And(BeNumerically("<=", 60), BeNumerically(">=", 47)))
		Expect(got.Header().Get("Cache-Control")).To(Equal("private, max-age=" + strconv.Itoa(answer.MaxAgeSeconds)))
		Expect(b.entries("?place=aotearoa").Entries[0].Address).To(Equal("c1:8080"))
		Expect(b.entries("?failure_domain=b&count=1").Entries).To(ConsistOf(HaveField("FailureDomain", "b")))
	})

	It("rejects invalid parameters", func() {
		b := newFixture()
		for _, query := range []string{"?count=0", "?count=33", "?count=x", "?place=A%20B", "?failure_domain=-"} {
			got := b.get(query)
			Expect(got.Code).To(Equal(http.StatusBadRequest), query)
			var problem contract.Problem
			Expect(json.Unmarshal(got.Body.Bytes(), &problem)).To(Succeed())
			Expect(problem.Code).To(Equal(contract.CodeBadRequest))
			Expect(problem.Hint).NotTo(BeEmpty())
		}
	})

	// An entry that has just started has not contacted a peer yet and owns nothing. If it returned no entries, its
	// callers would have nowhere to go, although it could serve them.
	It("returns itself while it knows no other entry, unless it is leaving", func() {
		b := newFixture()
		b.members.live = nil
		Expect(b.entries("").Entries).To(ConsistOf(HaveField("Address", "a1:8080")))
		b.members.self.Leaving = true
		got := b.get("")
		Expect(got.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(got.Header().Get("Retry-After")).To(Equal("1"))
	})

	It("excludes an overloaded entry, and reports its own overload", func() {
		b := newFixture()
		b.members.live[2].Overloaded = true
		for range 20 {
			Expect(b.entries("").Entries).NotTo(ContainElement(HaveField("Address", "b1:8080")))
		}
		b.inProgress = 10
		b.observeLoad(0)
		Expect(b.members.overloaded).To(BeFalse())
		b.observeLoad(time.Second)
		Expect(b.members.overloaded).To(BeTrue())
		b.inProgress = 0
		b.observeLoad(2 * time.Second)
		b.observeLoad(3 * time.Second)
		Expect(b.members.overloaded).To(BeFalse())
	})

	// Operators shorten the TTL right before an entry is stopped. Callers that were given the longer TTL keep
	// using the entry's address.
	It("remembers the longest TTL given to a caller", func() {
		b := newFixture()
		b.entries("")
		b.ttl = time.Second
		Expect(b.LatestExpiry()).To(Equal(b.now.Add(time.Minute)))
		b.now = b.now.Add(2 * time.Minute)
		Expect(b.LatestExpiry()).To(Equal(b.now.Add(time.Second)))
	})
})
