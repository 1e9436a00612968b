package outcome

import (
	"net/http"

	"github.com/skylarkpond/skylarkpond/contract"
)

// otherGroupMayAccept reports whether a refusal with this code is specific to the home or group, so that another
// group may accept the request.
func otherGroupMayAccept(code contract.Code) bool {
	switch code {
	case contract.CodeOverloaded, contract.CodeNoGroup, contract.CodeNotHome, contract.CodeLeaving,
		contract.CodeBackendRefused, contract.CodeHomeLost:
		return true
	default:
		return false
	}
}

func orInternal(p *contract.Problem) *contract.Problem {
	if p != nil {
		return p
	}
	return &contract.Problem{
		Code: contract.CodeInternal, Status: http.StatusInternalServerError, Outcome: contract.OutcomeUnknown,
		Message: "no reason was given",
	}
}

func hintForUnknown(r Request) string {
	if r.AtMostOnce {
		return "ask again with the same Idempotency-Key and Skylarkpond-Attempt: it will not run twice"
	}
	return "the request may be repeated: send it again"
}

func problemFrameLost() *contract.Problem {
	return &contract.Problem{
		Code: contract.CodeAnswerTruncated, Status: http.StatusBadGateway, Message: "a part of the answer was lost on its way",
	}
}

func problemTruncated() *contract.Problem {
	return &contract.Problem{
		Code: contract.CodeAnswerTruncated, Status: http.StatusBadGateway, Message: "the answer broke off after its beginning was delivered",
	}
}

func problemHomeLost() *contract.Problem {
	return contract.NewRetryLater(contract.CodeHomeLost, "the entry that handles the group can't be heard", RetryAfterShort)
}

// DeadlineProblem returns the problem for a request that is not tried again because the caller's deadline passed
// between two tries.
func DeadlineProblem() *contract.Problem { return problemDeadline() }

func problemDeadline() *contract.Problem {
	return &contract.Problem{
		Code: contract.CodeDeadline, Status: http.StatusGatewayTimeout, Message: "the request's time is over",
		Hint: "send it again with a longer Request-Timeout", RetryAfter: RetryAfterShort,
	}
}

func problemCallerLeft(status int) *contract.Problem {
	return &contract.Problem{
		Code: contract.CodeCallerLeft, Status: status, RetryAfter: RetryAfterShort,
		Message: "the caller closed its side of the connection before the answer",
	}
}

func problemPlatformUnavailable() *contract.Problem {
	return &contract.Problem{
		Code: contract.CodePlatformUnavailable, Status: http.StatusServiceUnavailable, RetryAfter: RetryAfterOutage,
		Message: "the platform could not confirm that the request can't run",
	}
}

func problemInProgress() *contract.Problem {
	return &contract.Problem{
		Code: contract.CodeInProgress, Status: http.StatusConflict, Outcome: contract.OutcomeInProgress, RetryAfter: RetryAfterShort,
		Message: "an earlier copy with this key is still at work",
		Hint:    "ask again with the same Idempotency-Key after Retry-After",
	}
}

func problemAnswerLost() *contract.Problem {
	return &contract.Problem{
		Code: contract.CodeUnknownOutcome, Status: http.StatusBadGateway,
		Message: "a copy with this key was or may have been sent, and its answer is lost",
	}
}

func problemKeyReused() *contract.Problem {
	return contract.NewRejection(http.StatusUnprocessableEntity, contract.CodeKeyReused,
		"this Idempotency-Key was used for another request", "use a new key")
}

func problemSealed() *contract.Problem {
	return contract.NewRejection(http.StatusConflict, contract.CodeAttemptGivenUp,
		"this attempt was given up earlier, and did not run", "try again with a higher Skylarkpond-Attempt")
}

func problemTooLarge() *contract.Problem {
	return &contract.Problem{
		Code: contract.CodeAnswerNotStored, Status: http.StatusOK, Outcome: contract.OutcomeAnswered,
		Message: "the request ran, and its answer was too large to be kept",
	}
}
