package attempt

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/link/platform"
)

// Limits on the tries of one write. A platform that answers at all resolves a conflict within one or two tries; more
// than these would only use up its rate limit during an outage. The pauses add up to less than a quarter of a second,
// so that the caller learns its outcome without delay.
const (
	maxWriteTries = 4
	firstPause    = 15 * time.Millisecond
)

func (r *Records) write(ctx context.Context, req WriteRequest, record contract.AttemptRecord) Result {
	return r.writeOver(ctx, req, record, 0)
}

// writeOver writes record over the given version, and reads the record back whenever that fails.
//
// The read is needed because the platform may have executed a write whose response was lost. If the write were taken
// as failed, a claim would run although its request is sealed later, and a successful seal would be reported as
// unknown. If it were taken as successful although it was lost, not-run would be reported for a request that runs.
// Only a record with the writer's nonce proves that the write took effect. A missing record proves nothing, because
// the write may still take effect. It is therefore sent again under the same nonce until a record is seen.
func (r *Records) writeOver(ctx context.Context, req WriteRequest, record contract.AttemptRecord, version platform.Version) Result {
	value, err := json.Marshal(record)
	if err != nil {
		return Result{Verdict: NotWritten}
	}
	mayLand := false
	for try := range maxWriteTries {
		if try > 0 {
			r.Sleep(ctx, firstPause<<(try-1))
		}
		written, err := r.store.Put(ctx, platform.KindAttempt, req.ID.ObjectName(), version, value)
		if err == nil {
			return Result{Verdict: Confirmed, Record: record, Version: written}
		}
		if notAccepted(err) {
			continue
		}
		if !errors.Is(err, platform.ErrConflict) {
			mayLand = true
		}
		existing, err := r.read(ctx, req.ID)
		switch {
		case errors.Is(err, platform.ErrNotFound):
			version = 0
		case err != nil:
		case existing.Record.Nonce == record.Nonce:
			return Result{Verdict: Confirmed, Record: record, Version: existing.Version}
		case existing.Record.Fingerprint != record.Fingerprint:
			existing.Verdict = KeyReused
			return existing
		case !req.mayReplace(existing.Record, record):
			existing.Verdict = Found
			return existing
		default:
			version = existing.Version
		}
		if ctx.Err() != nil {
			break
		}
	}
	if mayLand {
		return Result{Verdict: Indeterminate, Record: record}
	}
	return Result{Verdict: NotWritten}
}

// notAccepted reports whether the platform certainly did not execute the call.
func notAccepted(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrThrottled) ||
		errors.Is(err, platform.ErrTooLarge)
}
