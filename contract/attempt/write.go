package attempt

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/link/platform"
)

// The tries of one write. A platform that answers at all settles a conflict in one or two rounds; more
// rounds than these only spend its rate during an outage. The pauses add up to less than a quarter of a
// second, so that a caller is told its outcome at once.
const (
	writeTries = 4
	firstPause = 15 * time.Millisecond
)

func (r *Records) write(ctx context.Context, w WriteRequest, record contract.AttemptRecord) Result {
	return r.writeFrom(ctx, w, record, 0)
}

// writeFrom writes record over the given version, and looks again whenever that fails.
//
// What goes wrong without the second look: the platform took the write and its answer was lost. Taken as
// "not written", a claim would run although its request is sealed later, and a seal would be told as
// unknown; taken as "written", a not-run would be said of a request that runs when the write was in fact
// lost. Only the record with the writer's nonce tells. A record that is absent tells nothing: the write
// may land late. So it is sent again under the same nonce, until one is seen to stand.
func (r *Records) writeFrom(ctx context.Context, w WriteRequest, record contract.AttemptRecord, version platform.Version) Result {
	value, err := json.Marshal(record)
	if err != nil {
		return Result{Verdict: NotWritten}
	}
	onItsWay := false
	for try := range writeTries {
		if try > 0 {
			r.Sleep(ctx, firstPause<<(try-1))
		}
		written, err := r.store.Put(ctx, platform.KindAttempt, w.ID.ObjectName(), version, value)
		if err == nil {
			return Result{Verdict: Confirmed, Record: record, Version: written}
		}
		if untaken(err) {
			continue
		}
		if !errors.Is(err, platform.ErrConflict) {
			onItsWay = true
		}
		standing, err := r.read(ctx, w.ID)
		switch {
		case errors.Is(err, platform.ErrNotFound):
			version = 0
		case err != nil:
		case standing.Record.Nonce == record.Nonce:
			return Result{Verdict: Confirmed, Record: record, Version: standing.Version}
		case standing.Record.Fingerprint != record.Fingerprint:
			standing.Verdict = KeyReused
			return standing
		case !w.mayReplace(standing.Record, record):
			standing.Verdict = Found
			return standing
		default:
			version = standing.Version
		}
		if ctx.Err() != nil {
			break
		}
	}
	if onItsWay {
		return Result{Verdict: Indeterminate, Record: record}
	}
	return Result{Verdict: NotWritten}
}

// untaken says that the platform surely did not take the call.
func untaken(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrThrottled) ||
		errors.Is(err, platform.ErrTooLarge)
}
