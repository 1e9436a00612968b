package home

import (
	"context"
	"time"

	"github.com/skylarkpond/skylarkpond/contract/attempt"
)

// keepTimeout bounds the wait of a finished answer for the platform.
const keepTimeout = time.Second

func (r *run) keep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), keepTimeout)
	defer cancel()
	id := attempt.ID{Team: r.d.Team, Key: r.d.Key}
	r.home.deps.Attempts.Done(ctx, id, r.claim, r.kept.stored(r.d.Plain != nil), r.service.AttemptRetention)
}
