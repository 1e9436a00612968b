package operator

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/emicklei/go-restful/v3"
	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/link/platform"
)

// ErrNotQuarantined means that the service's quarantine does not contain the fingerprint.
var ErrNotQuarantined = eris.New("this request is not in quarantine")

// retryAfter is the retry delay suggested to operators after a platform outage or a lost race.
const retryAfter = 2 * time.Second

// problemOf converts an error to a problem that states the outcome of the change: "not-run" guarantees that
// nothing was changed, and "unknown" means that only sending the same change again will tell.
func problemOf(err error) *contract.Problem {
	var problem *contract.Problem
	switch {
	case errors.As(err, &problem):
		return problem
	case errors.Is(err, ErrOutcomeUnknown), errors.Is(err, platform.ErrUnconfirmed):
		return &contract.Problem{
			Code: contract.CodeUnknownOutcome, Status: http.StatusServiceUnavailable, Outcome: contract.OutcomeUnknown,
			Message: err.Error(), Hint: "send the same change again: it is taken at most once", RetryAfter: retryAfter,
		}
	case errors.Is(err, ErrUnauthorized):
		return unauthorized()
	case errors.Is(err, ErrNotQuarantined):
		return contract.NewRejection(http.StatusNotFound, contract.CodeUnknownPath, err.Error(), "list the quarantine for what is in it")
	case errors.Is(err, platform.ErrConflict):
		return contract.NewRetryLater(contract.CodeConflict, "others kept changing the settings at the same time", retryAfter)
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrThrottled), errors.Is(err, ErrStaleRead),
		errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return contract.NewRetryLater(contract.CodePlatformUnavailable, err.Error(), retryAfter)
	}
	return &contract.Problem{
		Code: contract.CodeInternal, Status: http.StatusInternalServerError, Outcome: contract.OutcomeNotRun,
		Message: err.Error(), Hint: "report it with this entry's log",
	}
}

func writeProblem(resp *restful.Response, problem *contract.Problem) {
	if problem.RetryAfter > 0 {
		resp.Header().Set(contract.HeaderRetryAfter, strconv.Itoa(int(problem.RetryAfter.Round(time.Second)/time.Second)))
	}
	resp.Header().Set(contract.HeaderOutcome, string(problem.Outcome))
	if problem.Status == http.StatusUnauthorized {
		resp.Header().Set("WWW-Authenticate", "Bearer")
	}
	writeJSON(resp, problem.Status, problem)
}
