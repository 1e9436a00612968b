package home

import (
	"context"
	"time"

	"github.com/skylarkpond/skylarkpond/contract/attempt"
	"github.com/skylarkpond/skylarkpond/internal/wait"
)

const (
	// frontReplaceWindow is the time that a front, if still present, has to replace a claim that it was told is
	// abandoned.
	frontReplaceWindow = time.Second
	// releaseRetryWindow and releaseRetryInterval control the retries of a release. Outages often end within
	// seconds.
	releaseRetryWindow   = 30 * time.Second
	releaseRetryInterval = time.Second
	// maxConcurrentReleases bounds the releases in progress. Beyond it, a claim is only remembered as abandoned.
	maxConcurrentReleases = 4096
)

// startRelease releases the claim in the background, so that the dispatch gives its permit and its stream back at
// once.
func (r *run) startRelease() {
	if r.home.pendingReleases.Add(1) > maxConcurrentReleases {
		r.home.pendingReleases.Add(-1)
		r.reportRelease(attempt.Result{Verdict: attempt.NotWritten})
		return
	}
	r.d.Body, r.d.Plain = nil, nil // do not keep them in memory for the duration of the release
	go func() {
		defer r.home.pendingReleases.Add(-1)
		r.releaseClaim()
	}()
}

// releaseClaim makes sure that an abandoned claim does not remain, whether or not the front received the refusal:
// a write to a link that is cut, or to a front that is frozen, appears to succeed. A claim that nobody replaces
// would leave its caller with an unknown outcome for as long as the record is kept.
func (r *run) releaseClaim() {
	ctx := context.WithoutCancel(r.frontCtx)
	if !r.frontGone && r.sendErr == nil {
		wait.Pause(ctx, frontReplaceWindow)
	}
	ctx, cancel := context.WithTimeout(ctx, releaseRetryWindow)
	defer cancel()
	for !r.tryRelease(ctx) && ctx.Err() == nil {
		wait.Pause(ctx, releaseRetryInterval)
	}
}

// tryRelease tries once to release the claim, and reports whether it no longer exists.
func (r *run) tryRelease(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	result := r.home.deps.Attempts.Release(ctx, r.writeRequest(), r.claim)
	r.reportRelease(result)
	return result.Verdict.Settled()
}
