package home

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/attempt"
	"github.com/skylarkpond/skylarkpond/link/engine"
)

const (
	// storeTimeout bounds the time that a finished answer waits for the platform before the last frame is sent.
	storeTimeout = time.Second
	// storeRetryWindow and storeRetryInterval control the retries after the last frame. Outages often end within
	// seconds, and each answer that is stored is one caller less that can only be told that the outcome is
	// unknown.
	storeRetryWindow   = 30 * time.Second
	storeRetryInterval = time.Second
	// maxUnstoredAnswers bounds the answers held in memory for these retries to 16 MB during a long outage.
	maxUnstoredAnswers = 256
)

// finish stores the answer of a request that may run at most once and sends the last frames.
//
// The home stores the answer rather than the front, because it holds the claim and has the complete answer even if
// the front is gone. It does so before the last frame, so that a caller that has received its answer and asks
// again finds it. If the answer can't be stored in time, the caller still gets it at once and the home keeps
// retrying. Meanwhile a retry with the same key is told in-progress, and unknown if storing fails for good.
func (r *run) finish(ctx context.Context, last ...contract.Frame) {
	stored := !r.d.AtMostOnce || r.storeAnswer(ctx)
	for _, f := range last {
		r.sendFrame(f)
	}
	r.permit.Done()
	r.concludeGuard(ctx)
	if !stored && r.home.claims.reserveUnstored() {
		defer r.home.claims.releaseUnstored()
		r.retryStore(ctx)
	}
}

// concludeGuard tells the guard how the answer ended. An answer that ended with its connection may have been cut off by a crash, so it does
// not clear the request of having caused one.
func (r *run) concludeGuard(ctx context.Context) {
	if r.endsWithConnection {
		r.home.count("home.answer-without-length")
		r.guardPermit.ResponseBroke(ctx)
		return
	}
	r.guardPermit.Finished(ctx)
}

// retryStore retries to store the answer until storeRetryWindow is over.
func (r *run) retryStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeRetryWindow)
	defer cancel()
	ticker := time.NewTicker(storeRetryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if r.storeAnswer(ctx) {
			return
		}
	}
}

// storeAnswer tries once to replace the claim by the answer. The verdict Found means that an earlier try
// succeeded.
func (r *run) storeAnswer(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	answer := r.answer.stored(r.d.Plain != nil)
	result := r.home.deps.Attempts.Complete(ctx, r.writeRequest().ID, r.claim, answer, attempt.Retention(r.service))
	return result.Verdict == attempt.Confirmed || result.Verdict == attempt.Found
}

// answerRecorder collects the answer of a request that may run at most once, up to MaxStoredAnswer bytes.
type answerRecorder struct {
	answer     contract.StoredAnswer
	completion engine.Event
}

func (a *answerRecorder) recordHead(status int, header http.Header, endsWithConnection bool) {
	a.answer.Status = status
	a.answer.Header = header
	a.answer.EndsWithConnection = endsWithConnection
}

func (a *answerRecorder) recordChunk(data []byte) {
	if a.answer.TooLarge || len(a.answer.Body)+len(data) > contract.MaxStoredAnswer {
		a.answer.TooLarge = true
		a.answer.Body = nil
		return
	}
	a.answer.Body = append(a.answer.Body, data...)
}

func (a *answerRecorder) recordEvent(e engine.Event) {
	if len(a.completion.Text)+len(e.Text) > contract.MaxStoredAnswer {
		a.answer.TooLarge = true
		a.completion.Text = ""
		return
	}
	a.completion.RequestID = e.RequestID
	a.completion.Text += e.Text
	a.completion.Tokens += e.Tokens
	a.completion.Final = e.Final
	a.completion.FinishReason = e.FinishReason
}

// stored returns the answer in the form in which it is stored. A completion is stored as one event with its entire
// text.
func (a *answerRecorder) stored(plain bool) contract.StoredAnswer {
	if plain || a.answer.TooLarge {
		return a.answer
	}
	body, err := json.Marshal(a.completion)
	if err != nil {
		return contract.StoredAnswer{Status: http.StatusOK, TooLarge: true}
	}
	return contract.StoredAnswer{Status: http.StatusOK, Body: body}
}
