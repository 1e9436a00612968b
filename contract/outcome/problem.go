package outcome

import (
	"net/http"

	"github.com/skylarkpond/skylarkpond/contract"
)

// elsewhere says that a refusal for this reason is a matter of that home or group, so that another
// group may take the request.
func elsewhere(code contract.Code) bool {
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

func nextUnknown(r Request) string {
	if r.Unrepeatable {
		return "ask again with the same Idempotency-Key and Skylarkpond-Attempt: it will not run twice"
	}
	return "the request may be repeated: send it again"
}

func problemGap() *contract.Problem {
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
	return contract.NewRetryLater(contract.CodeHomeLost, "the entry that handles the group can't be heard", RetrySoon)
}

// TooLate is why there is no further try when the caller's time is over between two.
func TooLate() *contract.Problem { return problemDeadline() }

func problemDeadline() *contract.Problem {
	return &contract.Problem{
		Code: contract.CodeDeadline, Status: http.StatusGatewayTimeout, Message: "the request's time is over",
		Hint: "send it again with a longer Request-Timeout", RetryAfter: RetrySoon,
	}
}

func problemPlatform() *contract.Problem {
	return &contract.Problem{
		Code: contract.CodePlatformUnavailable, Status: http.StatusServiceUnavailable, RetryAfter: RetryOutage,
		Message: "the platform could not confirm that the request can't run",
	}
}

func problemInProgress() *contract.Problem {
	return &contract.Problem{
		Code: contract.CodeInProgress, Status: http.StatusConflict, Outcome: contract.OutcomeInProgress, RetryAfter: RetrySoon,
		Message: "an earlier copy with this key is still at work",
		Hint:    "ask again with the same Idempotency-Key after Retry-After",
	}
}

func problemClaimed() *contract.Problem {
	return &contract.Problem{
		Code: contract.CodeUnknownOutcome, Status: http.StatusBadGateway,
		Message: "a copy with this key was or may have been sent, and its answer is lost",
	}
}

func problemReused() *contract.Problem {
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
