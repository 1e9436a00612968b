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

// ErrNotQuarantined: there is no such fingerprint in the service's quarantine.
var ErrNotQuarantined = eris.New("this request is not in quarantine")

// retryAfter is when an operator may come back after an outage of the platform or a lost race.
const retryAfter = 2 * time.Second

// problemOf tells an operator what an error means for the change: "not-run" is a promise that nothing
// was changed, "unknown" that only the same change sent again will tell.
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

func refuse(resp *restful.Response, problem *contract.Problem) {
	if problem.RetryAfter > 0 {
		resp.Header().Set(contract.HeaderRetryAfter, strconv.Itoa(int(problem.RetryAfter.Round(time.Second)/time.Second)))
	}
	resp.Header().Set(contract.HeaderOutcome, string(problem.Outcome))
	if problem.Status == http.StatusUnauthorized {
		resp.Header().Set("WWW-Authenticate", "Bearer")
	}
	write(resp, problem.Status, problem)
}
