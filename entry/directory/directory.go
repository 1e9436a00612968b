// Package directory answers GET /v1/entries: which entries a caller should use, and for how long it may
// keep the answer. Every entry answers; policy/directory decides.
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
	policy "github.com/skylarkpond/skylarkpond/policy/directory"
)

// Path is where the directory answers, below /v1.
const Path = "/entries"

// Bounds of the parameter count.
const maxCount = 32

// observePeriod is how often the own load is judged.
const observePeriod = time.Second

// Members is what the directory needs of member.Members.
type Members interface {
	Live() []member.Peer
	Self() member.Peer
	SetOverloaded(overloaded bool)
}

// Deps is what a Directory works with.
type Deps struct {
	Members Members
	// TTL is how long callers may keep an answer, by the settings in force.
	TTL func() time.Duration
	// InProgress counts the callers' requests that this entry works on.
	InProgress func() int
	Rand       *rand.Rand
	Choice     policy.Config
	Overload   policy.OverloadConfig
	Clock      func() time.Time
}

// Directory is safe for concurrent use.
type Directory struct {
	deps     Deps
	overload *policy.OverloadDetector // used by Run alone

	mu   sync.Mutex // guards what follows; a leaf lock
	rand *rand.Rand
	// keptUntil is the latest time until which a caller may keep an answer given so far.
	keptUntil time.Time
}

// New returns a Directory.
func New(deps Deps) *Directory {
	return &Directory{deps: deps, overload: policy.NewOverloadDetector(deps.Overload), rand: deps.Rand}
}

// Response is the body of the response.
type Response struct {
	// Entries are to be tried in this order.
	Entries []Endpoint `json:"entries"`
	// MaxAgeSeconds is how long the answer may be kept.
	MaxAgeSeconds int `json:"keep_seconds"`
}

// Endpoint is one address to use.
type Endpoint struct {
	Address       string `json:"address"`
	Place         string `json:"place"`
	FailureDomain string `json:"failure_domain"`
}

// Register adds the directory's route to a service rooted at /v1.
func (d *Directory) Register(service *restful.WebService) {
	service.Route(service.GET(Path).To(d.serve))
}

func (d *Directory) serve(request *restful.Request, response *restful.Response) {
	asked, problem := d.parse(request)
	if problem == nil {
		var answer Response
		answer, problem = d.answer(asked)
		if problem == nil {
			// private: an answer is drawn for one caller, and a shared cache would give it to all.
			response.AddHeader("Cache-Control", fmt.Sprintf("private, max-age=%d", answer.MaxAgeSeconds))
			_ = response.WriteHeaderAndJson(http.StatusOK, answer, restful.MIME_JSON)
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

// asked is what a caller asked for.
type asked struct {
	caller policy.Caller
	count  int
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// parse reads where the caller says it is. One that does not say is taken to be in this entry's place,
// but in no failure domain: callers often start from one address for all of them, and would all be taken
// to be next to it.
func (d *Directory) parse(request *restful.Request) (asked, *contract.Problem) {
	ask := asked{
		caller: policy.Caller{Place: request.QueryParameter("place"), FailureDomain: request.QueryParameter("failure_domain")},
		count:  d.deps.Choice.Count,
	}
	for _, name := range []string{"place", "failure_domain"} {
		if value := request.QueryParameter(name); value != "" && !namePattern.MatchString(value) {
			return ask, badParameter(name, "1 to 63 of a-z, 0-9, '-' and '.'")
		}
	}
	if text := request.QueryParameter("count"); text != "" {
		count, err := strconv.Atoi(text)
		if err != nil || count < 1 || count > maxCount {
			return ask, badParameter("count", "a whole number from 1 to "+strconv.Itoa(maxCount))
		}
		ask.count = count
	}
	if ask.caller.Place == "" {
		ask.caller.Place = d.deps.Members.Self().Place
	}
	return ask, nil
}

func badParameter(name, want string) *contract.Problem {
	return contract.NewRejection(http.StatusBadRequest, contract.CodeBadRequest, "bad parameter "+name, "send "+want)
}

// answer chooses. When nobody else is known to live this entry names itself, also while it does not yet
// count itself as an owner: to take requests in, it need not be one.
func (d *Directory) answer(ask asked) (Response, *contract.Problem) {
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
	choice.Count = ask.count
	chosen, keep := d.draw(choice, candidates, ask.caller)
	answer := Response{MaxAgeSeconds: int(keep.Seconds())}
	for _, c := range chosen {
		p := byName[c.Name]
		answer.Entries = append(answer.Entries, Endpoint{Address: p.PublicAddress, Place: p.Place, FailureDomain: p.FailureDomain})
	}
	return answer, nil
}

func (d *Directory) draw(choice policy.Config, candidates []policy.Candidate, caller policy.Caller) ([]policy.Candidate, time.Duration) {
	ttl := d.deps.TTL()
	now := d.deps.Clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	if until := now.Add(ttl); until.After(d.keptUntil) {
		d.keptUntil = until
	}
	return policy.Choose(choice, candidates, caller, d.rand), policy.JitterTTL(choice, ttl, d.rand)
}

// LatestExpiry returns the time until when an answer given before now may be kept. A shorter time to live in newer
// settings does not shorten what callers were told under the older ones.
func (d *Directory) LatestExpiry() time.Time {
	until := d.deps.Clock().Add(d.deps.TTL())
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.keptUntil.After(until) {
		return d.keptUntil
	}
	return until
}

// Run judges the own load until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	start := d.deps.Clock()
	ticker := time.NewTicker(observePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.observe(d.deps.Clock().Sub(start))
		}
	}
}

func (d *Directory) observe(now time.Duration) {
	d.deps.Members.SetOverloaded(d.overload.Observe(now, d.deps.InProgress()))
}
