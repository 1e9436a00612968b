package platform

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/internal/wait"
)

// ErrSuperseded means that another writer changed the object while this write was unconfirmed. The write
// may have taken effect before that change; the caller must read the current object to decide what to do.
// It is always returned together with ErrUnconfirmed (errors.Is holds for both).
var ErrSuperseded = eris.New("object moved on while the write was unconfirmed")

// ErrNonceMissing means that the value does not contain the nonce that identifies the write.
var ErrNonceMissing = eris.New("value lacks the writer's nonce")

// Backoff between retries of an unconfirmed write. The minimum exceeds the platform's usual response time.
const (
	confirmMinBackoff = 20 * time.Millisecond
	confirmMaxBackoff = time.Second
)

// PutConfirmed writes value like Put, and if the response is lost it determines the outcome before it
// returns. value is a JSON object whose field "nonce" equals nonce, which must be unique to this write.
//
// A response can be lost after the write took effect, or the write can be delayed and take effect later.
// Without this function, a writer that treats either case as a failure would report a write as not done
// although it has taken effect or will.
//
// As long as no response is lost, the result of Put is authoritative and is returned unchanged. After a
// lost response, the same write is sent again with the same condition:
//   - If it succeeds, the object was still at the given version, so no earlier copy had taken effect.
//     None can do so later either, because versions are never reused.
//   - If it conflicts and the object carries the nonce, an earlier copy took effect and has not been
//     replaced.
//   - If it conflicts and the object carries another nonce or does not exist, no copy can take effect any
//     more, but an earlier one may have done so before the other write. ErrConflict promises that nothing
//     was changed, so the result is ErrSuperseded instead.
//   - Any other error, including an outage or a rate limit, says nothing about the earlier copies. The
//     write is retried until ctx ends, and the result remains ErrUnconfirmed.
//
// A caller that gives up after ErrUnconfirmed and later calls again with the same nonce must treat a later
// ErrConflict as unconfirmed too: this function only tracks the copies that it sent itself.
//
// With version 0, the condition becomes true again once the object is deleted, so a delayed copy can take
// effect after a deletion. Objects created this way are deleted only long afterwards.
func PutConfirmed(ctx context.Context, store Store, kind Kind, name string, version Version, value json.RawMessage, nonce string) (Version, error) {
	if nonce == "" || nonceOf(value) != nonce {
		return 0, eris.Wrapf(ErrNonceMissing, "%s/%s", kind, name)
	}
	written, err := store.Put(ctx, kind, name, version, value)
	if !eris.Is(err, ErrUnconfirmed) {
		return written, err
	}
	for pause := confirmMinBackoff; wait.Pause(ctx, pause); pause = min(2*pause, confirmMaxBackoff) {
		written, retryErr := store.Put(ctx, kind, name, version, value)
		if retryErr == nil {
			return written, nil
		}
		if !eris.Is(retryErr, ErrConflict) {
			continue
		}
		current, settled, readErr := readBack(ctx, store, kind, name, version, nonce)
		if settled {
			return current, readErr
		}
	}
	return 0, err
}

// readBack determines which write caused the conflict. settled is false if the read failed or was stale.
func readBack(ctx context.Context, store Store, kind Kind, name string, version Version, nonce string) (written Version, settled bool, err error) {
	object, err := store.Get(ctx, kind, name)
	switch {
	case eris.Is(err, ErrNotFound):
		return 0, true, superseded(kind, name)
	case err != nil || object.Version <= version:
		return 0, false, nil
	case nonceOf(object.Value) == nonce:
		return object.Version, true, nil
	default:
		return 0, true, superseded(kind, name)
	}
}

// supersededError matches both ErrSuperseded and ErrUnconfirmed, so that callers that only check for the
// latter handle it safely.
type supersededError struct{ error }

func superseded(kind Kind, name string) error {
	return supersededError{eris.Wrapf(ErrSuperseded, "%s/%s", kind, name)}
}

func (e supersededError) Unwrap() error        { return e.error }
func (e supersededError) Is(target error) bool { return target == ErrUnconfirmed }

func nonceOf(value json.RawMessage) string {
	var object struct {
		Nonce string `json:"nonce"`
	}
	if err := json.Unmarshal(value, &object); err != nil {
		return ""
	}
	return object.Nonce
}
