package platform

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/internal/wait"
)

// ErrSuperseded: the object has moved on to a version of another writer while this write was unconfirmed.
// The write may have taken effect before that; a reader of the object as it is now decides what follows.
// It is always returned together with ErrUnconfirmed (errors.Is holds for both).
var ErrSuperseded = eris.New("object moved on while the write was unconfirmed")

// ErrNonceMissing: the value does not carry the nonce that it should be told by.
var ErrNonceMissing = eris.New("value lacks the writer's nonce")

// Pauses between two tries of an unconfirmed write. The first is above the platform's usual answer time.
const (
	confirmFirstPause = 20 * time.Millisecond
	confirmLastPause  = time.Second
)

// PutConfirmed writes value like Put and settles a lost answer before it returns. value is a JSON
// object whose field "nonce" is nonce, a mark that no other write carries.
//
// What goes wrong without it: an answer is lost after the effect, or the write lies somewhere and takes
// effect later. A writer that takes this for a failure tells its caller "not done" of something that is
// done, or will be.
//
// Why it is right. As long as no answer was lost, each result of Put is the platform's word, and is
// returned as it is. After a lost answer the same write, with the same condition, is sent again.
//   - It succeeds: the object was still at the named version, so no earlier copy had taken effect, and none
//     can any more, since versions are never given twice.
//   - It conflicts, and the object carries the nonce: an earlier copy took effect, and was not replaced.
//   - It conflicts, and the object carries another nonce or is gone: no copy can take effect any more, but an
//     earlier one may have, before the other write. That is not a conflict, of which ErrConflict promises
//     that nothing was changed: it is ErrSuperseded.
//   - Anything else, a refusal by an outage or a rate limit included, tells nothing of the earlier copies,
//     so it is tried again until ctx ends, and ErrUnconfirmed stays.
//
// A caller that gives up on ErrUnconfirmed and comes back with the same nonce must take a later ErrConflict
// as unconfirmed, too: this function knows only of the copies that it has sent itself.
//
// With version 0 the condition holds again once the object is deleted, so a copy may yet take effect
// after a deletion; objects that are created this way are deleted only long after.
func PutConfirmed(ctx context.Context, store Store, kind Kind, name string, version Version, value json.RawMessage, nonce string) (Version, error) {
	if nonce == "" || nonceOf(value) != nonce {
		return 0, eris.Wrapf(ErrNonceMissing, "%s/%s", kind, name)
	}
	written, err := store.Put(ctx, kind, name, version, value)
	if !eris.Is(err, ErrUnconfirmed) {
		return written, err
	}
	for pause := confirmFirstPause; wait.Pause(ctx, pause); pause = min(2*pause, confirmLastPause) {
		written, again := store.Put(ctx, kind, name, version, value)
		if again == nil {
			return written, nil
		}
		if !eris.Is(again, ErrConflict) {
			continue
		}
		found, settled, why := readBack(ctx, store, kind, name, version, nonce)
		if settled {
			return found, why
		}
	}
	return 0, err
}

// readBack looks whose write the conflict was with. settled is false if the read failed or lagged.
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

// supersededError is ErrSuperseded, and by Is also ErrUnconfirmed: whoever knows only the latter is safe.
type supersededError struct{ error }

func superseded(kind Kind, name string) error {
	return supersededError{eris.Wrapf(ErrSuperseded, "%s/%s", kind, name)}
}

func (e supersededError) Unwrap() error        { return e.error }
func (e supersededError) Is(target error) bool { return target == ErrUnconfirmed }

func nonceOf(value json.RawMessage) string {
	var marked struct {
		Nonce string `json:"nonce"`
	}
	if err := json.Unmarshal(value, &marked); err != nil {
		return ""
	}
	return marked.Nonce
}
