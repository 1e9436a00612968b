package front

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/outcome"
)

// errAnswerTooLarge reports that a completion that has to be buffered is longer than maxBufferedCompletion.
var errAnswerTooLarge = eris.New("completion too large to buffer")

// maxBufferedCompletion bounds the memory that one completion takes at the front. A completion of a hundred
// thousand tokens stays below it.
const maxBufferedCompletion = 1 << 20

func answerTooLargeProblem() *contract.Problem {
	return &contract.Problem{
		Code: contract.CodeAnswerTruncated, Status: http.StatusBadGateway, Message: "the answer is too large to be given as a whole",
		Hint: "ask for a stream",
	}
}

// writeTimeout bounds one write to the caller. A caller that accepts no data for that long is disconnected. Until
// then its answer waits in the flow-control window of the stream between home and front, so memory does not grow.
const writeTimeout = 10 * time.Second

// writer writes an answer to the caller.
type writer interface {
	// deliver takes a frame of the answer. started reports whether any byte of the answer has been written to the
	// caller, so that the answer can't be restarted. After an error the caller is gone.
	deliver(f contract.Frame) (started bool, err error)
	// reset discards the frames taken so far. It is called only before the answer has started.
	reset()
	// finish ends the response. It writes nothing if the action says that the answer was delivered and it was not.
	finish(a outcome.Action)
}

func newWriter(q *request, caller *callerConn) writer {
	if q.plain != nil {
		return &plainWriter{callerConn: caller}
	}
	if q.stream {
		return &streamWriter{callerConn: caller}
	}
	return &bufferedWriter{callerConn: caller}
}

// setOutcomeHeaders sets the headers of every answer that has not started yet.
func (c *callerConn) setOutcomeHeaders(a outcome.Action) {
	header := c.w.Header()
	header.Set(contract.HeaderRequestID, c.request.id)
	header.Set(contract.HeaderOutcome, string(a.Outcome))
	if c.request.atMostOnce && a.Outcome != contract.OutcomeNotRun {
		header.Set(contract.HeaderIdempotencyKey, c.request.key)
	}
	if a.SealedThrough > 0 && c.request.keyFromCaller {
		header.Set(contract.HeaderAttempt, strconv.Itoa(a.SealedThrough))
	}
	if a.Problem != nil && a.Problem.RetryAfter > 0 {
		seconds := math.Ceil(a.Problem.RetryAfter.Seconds())
		header.Set(contract.HeaderRetryAfter, strconv.Itoa(int(seconds)))
	}
}

// writeProblem answers with a Problem as JSON.
func (c *callerConn) writeProblem(a outcome.Action) {
	c.setOutcomeHeaders(a)
	c.w.Header().Set("Content-Type", "application/problem+json")
	c.writeHeader(a.Problem.Status)
	_ = c.write(c.problemBody(a))
}

func (c *callerConn) problemBody(a outcome.Action) []byte {
	problem := *a.Problem
	problem.RequestID = c.request.id
	body, err := json.Marshal(problem)
	if err != nil {
		return nil
	}
	return body
}
