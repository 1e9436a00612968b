package entry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/skylarkpond/skylarkpond/internal/wait"
	"github.com/skylarkpond/skylarkpond/link/platform"
)

// registration writes this entry's object of kind "entry" to the platform.
type registration struct {
	store     platform.Store
	onWritten func(platform.Object)
	self      platform.Entry
}

// platformRetryDelay is the delay between attempts while the platform is unavailable; an entry cannot start
// without it.
const platformRetryDelay = 250 * time.Millisecond

// publish writes the entry until the write is confirmed or ctx ends. It replaces the object of an earlier
// incarnation with the same name, whose fingerprint is then no longer trusted.
func (r *registration) publish(ctx context.Context, leaving bool) error {
	for {
		err := r.publishOnce(ctx, leaving)
		if err == nil || ctx.Err() != nil {
			return err
		}
		wait.Pause(ctx, platformRetryDelay)
	}
}

func (r *registration) publishOnce(ctx context.Context, leaving bool) error {
	version, err := r.currentVersion(ctx)
	if err != nil {
		return err
	}
	entry := r.self
	entry.Leaving = leaving
	entry.Nonce = uuid.NewString()
	value, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	written, err := platform.PutConfirmed(ctx, r.store, platform.KindEntry, entry.Name, version, value, entry.Nonce)
	if err != nil {
		return err
	}
	r.onWritten(platform.Object{Kind: platform.KindEntry, Name: entry.Name, Version: written, Value: value})
	return nil
}

func (r *registration) currentVersion(ctx context.Context) (platform.Version, error) {
	object, err := r.store.Get(ctx, platform.KindEntry, r.self.Name)
	if errors.Is(err, platform.ErrNotFound) {
		return 0, nil
	}
	return object.Version, err
}
