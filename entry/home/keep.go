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
	// keepTimeout bounds the wait of a finished answer for the platform.
	keepTimeout = time.Second
	// keepAgainFor and keepAgainPause are of the tries behind the end: outages are often over in seconds,
	// and every answer kept is one caller less who can only be told unknown.
	keepAgainFor   = 30 * time.Second
	keepAgainPause = time.Second
	// maxUnkept bounds the answers that wait, so that a long outage holds 16 MB at most.
	maxUnkept = 256
)

// finish keeps the answer of a request that may not be repeated, and sends the last frames.
//
// The home keeps it, not the front: it holds the claim and the whole answer even when the front is gone.
// And before the end is sent, so that a caller that was answered and asks again finds the answer. If it
// can't be kept in time, the caller still gets it at once, and the home goes on trying; a repeated key is
// told in-progress meanwhile, and unknown if that fails.
func (r *run) finish(ctx context.Context, last ...contract.Frame) {
	kept := !r.d.AtMostOnce || r.keep(ctx)
	for _, f := range last {
		r.frame(f)
	}
	r.turn.Done()
	r.pass.Finished(ctx)
	if !kept && r.home.work.wait() {
		defer r.home.work.waited()
		r.keepAgain(ctx)
	}
}

func (r *run) keepAgain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), keepAgainFor)
	defer cancel()
	ticker := time.NewTicker(keepAgainPause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if r.keep(ctx) {
			return
		}
	}
}

// keep tries once to put the answer in place of the claim. Found says that an earlier try got through.
func (r *run) keep(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), keepTimeout)
	defer cancel()
	answer := r.kept.stored(r.d.Plain != nil)
	result := r.home.deps.Attempts.Complete(ctx, r.wish().ID, r.claim, answer, attempt.Retention(r.service))
	return result.Verdict == attempt.Confirmed || result.Verdict == attempt.Found
}

// keeper gathers the answer of a request that may not be repeated, up to MaxStoredAnswer.
type keeper struct {
	answer contract.StoredAnswer
	text   engine.Event
}

func (k *keeper) head(status int, header http.Header) {
	k.answer.Status = status
	k.answer.Header = header
}

func (k *keeper) chunk(data []byte) {
	if k.answer.TooLarge || len(k.answer.Body)+len(data) > contract.MaxStoredAnswer {
		k.answer.TooLarge = true
		k.answer.Body = nil
		return
	}
	k.answer.Body = append(k.answer.Body, data...)
}

func (k *keeper) event(e engine.Event) {
	if len(k.text.Text)+len(e.Text) > contract.MaxStoredAnswer {
		k.answer.TooLarge = true
		k.text.Text = ""
		return
	}
	k.text.RequestID = e.RequestID
	k.text.Text += e.Text
	k.text.Tokens += e.Tokens
	k.text.Final = e.Final
	k.text.FinishReason = e.FinishReason
}

// stored is the answer as kept. A completion is kept as one event that holds all of its text.
func (k *keeper) stored(plain bool) contract.StoredAnswer {
	if plain || k.answer.TooLarge {
		return k.answer
	}
	body, err := json.Marshal(k.text)
	if err != nil {
		return contract.StoredAnswer{Status: http.StatusOK, TooLarge: true}
	}
	return contract.StoredAnswer{Status: http.StatusOK, Body: body}
}
