// Package front is the part of an entry that callers connect to: it authenticates a request, sends it to
// the home of a group, hands the answer on, and tells the caller its outcome.
//
// What may be told is decided by the machine of package outcome; this package does what the machine asks.
package front

import (
	"context"
	"net/http"
	"time"

	"github.com/emicklei/go-restful/v3"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/attempt"
	"github.com/skylarkpond/skylarkpond/contract/outcome"
	"github.com/skylarkpond/skylarkpond/contract/settings"
	"github.com/skylarkpond/skylarkpond/timeline"
	"github.com/skylarkpond/skylarkpond/vm"
)

// ErrNotSent is returned by a Dispatcher whose home can't have taken the dispatch. After any other error
// it may have.
var ErrNotSent = eris.New("home not reached")

// FrameStream are the frames of one dispatch.
type FrameStream interface {
	// Next returns the next frame, or an error when the home can no longer be heard. After io.EOF, too,
	// nothing more comes; whether the answer was whole is for the caller to see.
	Next() (contract.Frame, error)
	// Close cancels the dispatch if it is not over.
	Close()
}

// Dispatcher sends to the home of d.Group.
type Dispatcher interface {
	Dispatch(ctx context.Context, d contract.Dispatch) (FrameStream, error)
}

// ClaimHolders asks the holder of a claim.
type ClaimHolders interface {
	// ClaimStatus asks that life of that entry what became of the claim.
	ClaimStatus(ctx context.Context, claim contract.AttemptRecord) outcome.HolderAnswer
}

// GroupQuery is what the choice of a group goes by.
type GroupQuery struct {
	Service settings.Service
	// PrefixHash is the hash of the prompt's prefix, 0 if it has none.
	PrefixHash      uint64
	EstimatedTokens int
	// Tried are the groups that had this request already.
	Tried []vm.GroupID
}

// Choice is a group to send to. Done, if set, is called once when the dispatch is over; well: it ended by
// the home's word, an answer or a refusal.
type Choice struct {
	Group vm.GroupID
	Done  func(well bool)
}

// Chooser chooses the group of a dispatch, or says why there is none.
type Chooser interface {
	Choose(query GroupQuery) (Choice, *contract.Problem)
}

// RetryBudget bounds tries after the first to a share of first tries.
type RetryBudget interface {
	// RecordFirstTry counts a first try.
	RecordFirstTry(service string)
	// AllowRetry says whether a request may be tried once more after tries so far, and how long to wait before,
	// with left of its time.
	AllowRetry(service settings.Service, tries int, left time.Duration) (wait time.Duration, ok bool)
}

// Deps is what a front needs.
type Deps struct {
	// Self names this entry.
	Self       string
	Settings   func() *settings.Snapshot
	Dispatcher Dispatcher
	Holders    ClaimHolders
	Chooser    Chooser
	Retries    RetryBudget
	Attempts   *attempt.Records
	Recorder   *timeline.Recorder
	Metrics    metrics.Registry
	Log        logrus.FieldLogger
}

// Front serves callers. It is safe for concurrent use.
type Front struct {
	deps    Deps
	newID   func() string
	metrics *frontMetrics
}

// New returns a front.
func New(deps Deps) *Front {
	return &Front{deps: deps, newID: uuid.NewString, metrics: newFrontMetrics(deps.Metrics)}
}

// plainMethods are those that a plain service may be called with.
var plainMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// Register adds the front's routes to a web service at root path /v1.
func (f *Front) Register(ws *restful.WebService) {
	ws.Route(ws.POST(completionsPath).To(f.completions))
	for _, method := range plainMethods {
		ws.Route(ws.Method(method).Path("/services/{service}").To(f.services))
		ws.Route(ws.Method(method).Path("/services/{service}/{path:*}").To(f.services))
	}
}

const completionsPath = "/chat/completions"
