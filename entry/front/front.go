// Package front implements the role of the front. The front of a request is the entry that its caller is connected
// to. It authenticates the request, dispatches it to the home of a group, forwards the answer, and reports the
// outcome to the caller.
//
// The state machine of package outcome decides what a caller may be told. This package executes the actions that
// the machine returns.
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
	"github.com/skylarkpond/skylarkpond/entry/intake"
	"github.com/skylarkpond/skylarkpond/timeline"
	"github.com/skylarkpond/skylarkpond/vm"
)

// ErrNotSent is returned by a Dispatcher if the home can't have received the dispatch. After any other error it
// may have.
var ErrNotSent = eris.New("home not reached")

// FrameStream is the stream of frames of one dispatch.
type FrameStream interface {
	// Next returns the next frame, or an error if the home can no longer be reached. No frame follows any error,
	// including io.EOF. The caller has to determine from the frames whether the answer was complete.
	Next() (contract.Frame, error)
	// Close cancels the dispatch if it is still in progress.
	Close()
}

// Dispatcher sends a dispatch to the entry that is asked as the home of its group.
type Dispatcher interface {
	Dispatch(ctx context.Context, home string, d contract.Dispatch) (FrameStream, error)
}

// Homes determines which entry is asked as the home of a group. The view of this entry may be out of date.
type Homes interface {
	// Next returns the entry to ask next. asked lists the entries that refused the request because they are not the
	// home, and named is the entry that the last of them named instead, if any. ok is false if there is none left.
	Next(group vm.GroupID, asked []string, named string) (home string, ok bool)
	// Eligible returns the entries from which homes are computed, and for how long they have been these.
	Eligible() (names []string, age time.Duration)
}

// ClaimHolders queries the entries that hold claims.
type ClaimHolders interface {
	// ClaimStatus asks the entry and incarnation named in the claim what became of it.
	ClaimStatus(ctx context.Context, claim contract.AttemptRecord) outcome.HolderAnswer
}

// GroupQuery holds the properties of a request that determine its group.
type GroupQuery struct {
	Service settings.Service
	// PrefixHash is the hash of the prompt's prefix, or 0 if there is none.
	PrefixHash      uint64
	EstimatedTokens int
	// Tried lists the groups that this request was already dispatched to.
	Tried []vm.GroupID
}

// Choice is the group to dispatch to. If Done is set, it is called once when the dispatch is over. Its argument
// reports whether the home ended the dispatch itself, by an answer or a refusal.
type Choice struct {
	Group vm.GroupID
	Done  func(well bool)
}

// Chooser chooses the group for a dispatch. It returns a Problem if there is none.
type Chooser interface {
	Choose(query GroupQuery) (Choice, *contract.Problem)
}

// RetryBudget limits retries to a share of the first tries.
type RetryBudget interface {
	// RecordFirstTry counts the first try of a request.
	RecordFirstTry(service string)
	// AllowRetry reports whether a request that was tried tries times may be tried once more, and how long to wait
	// before that. left is the time until the request's deadline.
	AllowRetry(service settings.Service, tries int, left time.Duration) (wait time.Duration, ok bool)
}

// Deps holds the dependencies of a Front.
type Deps struct {
	// Self is the name of this entry.
	Self       string
	Settings   func() *settings.Snapshot
	Dispatcher Dispatcher
	Homes      Homes
	Holders    ClaimHolders
	Chooser    Chooser
	Retries    RetryBudget
	Attempts   *attempt.Records
	// Bodies is the memory for requests' bodies.
	Bodies   *intake.Bodies
	Recorder *timeline.Recorder
	Metrics  metrics.Registry
	Log      logrus.FieldLogger
	// BodyTimeout limits the time to read a request's body; 0 for the default.
	BodyTimeout time.Duration
}

// Front serves callers. It is safe for concurrent use.
type Front struct {
	deps    Deps
	newID   func() string
	metrics *frontMetrics
	// ended ends when all requests must be answered.
	ended context.Context
	end   context.CancelFunc
}

// New returns a Front.
func New(deps Deps) *Front {
	if deps.BodyTimeout == 0 {
		deps.BodyTimeout = defaultBodyTimeout
	}
	f := &Front{deps: deps, newID: uuid.NewString, metrics: newFrontMetrics(deps.Metrics)}
	f.ended, f.end = context.WithCancel(context.Background())
	return f
}

// errStopping is the cause of the end of requests that the stopping entry can't finish.
var errStopping = eris.New("the entry is stopping")

// EndRequests ends all requests in progress and those that arrive later, each with an answer.
func (f *Front) EndRequests() { f.end() }

// bound returns a context that ends with the caller's connection, or with the cause errStopping.
func (f *Front) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	unregister := context.AfterFunc(f.ended, func() { cancel(errStopping) })
	return ctx, func() {
		unregister()
		cancel(nil)
	}
}

// plainMethods lists the HTTP methods that plain services can be called with.
var plainMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// Register adds the front's routes to a web service whose root path is /v1.
func (f *Front) Register(ws *restful.WebService) {
	ws.Route(ws.POST(completionsPath).To(f.completions))
	for _, method := range plainMethods {
		ws.Route(ws.Method(method).Path("/services/{service}").To(f.services))
		ws.Route(ws.Method(method).Path("/services/{service}/{path:*}").To(f.services))
	}
}

const completionsPath = "/chat/completions"
