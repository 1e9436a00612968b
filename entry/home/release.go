package home

import (
	"context"
	"time"

	"github.com/skylarkpond/skylarkpond/contract/attempt"
	"github.com/skylarkpond/skylarkpond/internal/wait"
)

const (
	// frontReplaces is how long the front, if it is there, has to replace a claim that it was told is given up.
	frontReplaces = time.Second
	// releaseFor and releasePause are of the tries to release a claim. Outages are often over in seconds.
	releaseFor   = 30 * time.Second
	releasePause = time.Second
	// maxReleasing bounds the releases under way. Beyond it a claim is only remembered as given up.
	maxReleasing = 4096
)

// startRelease releases the claim behind the dispatch, whose place and stream are given back at once.
func (r *run) startRelease() {
	if r.home.releasing.Add(1) > maxReleasing {
		r.home.releasing.Add(-1)
		r.noteRelease(attempt.Result{Verdict: attempt.NotWritten})
		return
	}
	r.d.Body, r.d.Plain = nil, nil // not held for as long as the release takes
	go func() {
		defer r.home.releasing.Add(-1)
		r.releaseClaim()
	}()
}

// releaseClaim sees to it that a claim that was given up does not stand, whether or not the front heard of it. What
// is written to a link that is cut, or to a front that is frozen, looks sent. A claim that nobody replaces would
// leave its caller with an unknown outcome for as long as the record is kept.
func (r *run) releaseClaim() {
	ctx := context.WithoutCancel(r.front)
	if !r.frontGone && r.sendErr == nil {
		wait.Pause(ctx, frontReplaces)
	}
	ctx, cancel := context.WithTimeout(ctx, releaseFor)
	defer cancel()
	for !r.release(ctx) && ctx.Err() == nil {
		wait.Pause(ctx, releasePause)
	}
}

// release tries once, and reports whether the claim no longer stands.
func (r *run) release(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	result := r.home.deps.Attempts.Release(ctx, r.wish(), r.claim)
	r.noteRelease(result)
	return result.Verdict.Settled()
}
