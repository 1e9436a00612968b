// Package directory serves GET /v1/entries, which tells callers which entries to use and for how long they may
// cache the response. Every entry serves it; policy/directory chooses the entries.
package directory

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"time"

	"github.com/emicklei/go-restful/v3"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/entry/member"
	"github.com/skylarkpond/skylarkpond/link/ingress"
	policy "github.com/skylarkpond/skylarkpond/policy/directory"
)

// Path is the path of the directory below /v1.
const Path = "/entries"

// maxCount is the upper bound of the count parameter.
const maxCount = 32

// observeInterval is how often this entry's own load is sampled to detect overload.
const observeInterval = time.Second

// Members is the part of member.Members that the directory uses.
type Members interface {
	Live() []member.Peer
	Self() member.Peer
	SetOverloaded(overloaded bool)
}

// Deps holds the dependencies of a Directory.
type Deps struct {
	Members Members
	// TTL returns how long callers may cache a response, according to the settings in force.
	TTL func() time.Duration
	// InProgress returns the number of callers' requests in progress at this entry.
	InProgress func() int
	Rand       *rand.Rand
	Choice     policy.Config
	Overload   policy.OverloadConfig
	Clock      func() time.Time
}

// Directory is safe for concurrent use.
type Directory struct {
	deps     Deps
	overload *policy.OverloadDetector // accessed only by Run

	mu   sync.Mutex // guards the fields below; no other lock is taken while it is held
	rand *rand.Rand
	// latestExpiry is the latest time until which a caller may cache a response sent so far.
	latestExpiry time.Time
}

// New returns a Directory.
func New(deps Deps) *Directory {
	return &Directory{deps: deps, overload: policy.NewOverloadDetector(deps.Overload), rand: deps.Rand}
}

// Response is the body of a successful response.
type Response struct {
	// Entries lists the entries in the order in which callers should try them.
	Entries []Endpoint `json:"entries"`
	// MaxAgeSeconds is how long the response may be cached.
	MaxAgeSeconds int `json:"keep_seconds"`
}

// Endpoint is the address and location of one entry.
type Endpoint struct {
	Address       string `json:"address"`
	Place         string `json:"place"`
	FailureDomain string `json:"failure_domain"`
}

// Register adds the directory's route to a service rooted at /v1.
func (d *Directory) Register(service *restful.WebService) {
	service.Route(service.GET(Path).To(d.handleEntries))
}

func (d *Directory) handleEntries(request *restful.Request, response *restful.Response) {
	defer ingress.IgnoreBody(response.ResponseWriter, request.Request)()
	q, problem := d.parse(request)
	if problem == nil {
		var body Response
		body, problem = d.choose(q)
		if problem == nil {
			// private: a response is chosen at random for one caller, and a shared cache would hand the same one
			// to all.
			response.AddHeader("Cache-Control", fmt.Sprintf("private, max-age=%d", body.MaxAgeSeconds))
			_ = response.WriteHeaderAndJson(http.StatusOK, body, restful.MIME_JSON)
			return
		}
	}
	response.AddHeader(contract.HeaderOutcome, string(problem.Outcome))
	response.AddHeader("Cache-Control", "no-store")
	if problem.RetryAfter > 0 {
		response.AddHeader(contract.HeaderRetryAfter, strconv.Itoa(int(problem.RetryAfter.Seconds())))
	}
	_ = response.WriteHeaderAndJson(problem.Status, problem, restful.MIME_JSON)
}

// query holds the parsed parameters of a request.
type query struct {
	caller policy.Caller
	count  int
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// parse reads the caller's location and the number of entries it asks for. A caller that does not give its
// location is assumed to be in this entry's place, but in no particular failure domain: callers often bootstrap
// from one common address, and would otherwise all be taken to share that entry's failure domain.
func (d *Directory) parse(request *restful.Request) (query, *contract.Problem) {
	q := query{
		caller: policy.Caller{Place: request.QueryParameter("place"), FailureDomain: request.QueryParameter("failure_domain")},
		count:  d.deps.Choice.Count,
	}
	for _, name := range []string{"place", "failure_domain"} {
		if value := request.QueryParameter(name); value != "" && !namePattern.MatchString(value) {
			return q, badParameter(name, "1 to 63 of a-z, 0-9, '-' and '.'")
		}
	}
	if text := request.QueryParameter("count"); text != "" {
		count, err := strconv.Atoi(text)
		if err != nil || count < 1 || count > maxCount {
			return q, badParameter("count", "a whole number from 1 to "+strconv.Itoa(maxCount))
		}
		q.count = count
	}
	if q.caller.Place == "" {
		q.caller.Place = d.deps.Members.Self().Place
	}
	return q, nil
}

func badParameter(name, want string) *contract.Problem {
	return contract.NewRejection(http.StatusBadRequest, contract.CodeBadRequest, "bad parameter "+name, "send "+want)
}

// choose picks the entries to return. If no other entry is known to be live, this entry returns itself, even while
// it does not yet count itself as an owner: accepting requests does not require ownership.
func (d *Directory) choose(q query) (Response, *contract.Problem) {
	peers := d.deps.Members.Live()
	if len(peers) == 0 {
		self := d.deps.Members.Self()
		if self.Leaving {
			return Response{}, contract.NewRetryLater(contract.CodeLeaving, "this entry is leaving and knows no other", time.Second)
		}
		peers = []member.Peer{self}
	}
	byName := make(map[string]member.Peer, len(peers))
	candidates := make([]policy.Candidate, len(peers))
	for i, p := range peers {
		byName[p.Name] = p
		candidates[i] = policy.Candidate{
			Name: p.Name, Place: p.Place, FailureDomain: p.FailureDomain, Leaving: p.Leaving, Overloaded: p.Overloaded,
		}
	}
	choice := d.deps.Choice
	choice.Count = q.count
	chosen, maxAge := d.chooseFrom(choice, candidates, q.caller)
	body := Response{MaxAgeSeconds: int(maxAge.Seconds())}
	for _, c := range chosen {
		p := byName[c.Name]
		body.Entries = append(body.Entries, Endpoint{Address: p.PublicAddress, Place: p.Place, FailureDomain: p.FailureDomain})
	}
	return body, nil
}

func (d *Directory) chooseFrom(choice policy.Config, candidates []policy.Candidate, caller policy.Caller) ([]policy.Candidate, time.Duration) {
	ttl := d.deps.TTL()
	now := d.deps.Clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	if until := now.Add(ttl); until.After(d.latestExpiry) {
		d.latestExpiry = until
	}
	return policy.Choose(choice, candidates, caller, d.rand), policy.JitterTTL(choice, ttl, d.rand)
}

// LatestExpiry returns the time until which a response sent before now may be cached. A shorter TTL in newer
// settings does not shorten what callers were told under the older ones.
func (d *Directory) LatestExpiry() time.Time {
	until := d.deps.Clock().Add(d.deps.TTL())
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.latestExpiry.After(until) {
		return d.latestExpiry
	}
	return until
}

// Run samples this entry's load until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	start := d.deps.Clock()
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.observeLoad(d.deps.Clock().Sub(start))
		}
	}
}

func (d *Directory) observeLoad(now time.Duration) {
	d.deps.Members.SetOverloaded(d.overload.Observe(now, d.deps.InProgress()))
}
