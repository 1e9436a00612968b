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

// registration writes this entry's object of kind "entry".
type registration struct {
	store platform.Store
	took  func(platform.Object)
	self  platform.Entry
}

// registerPause is the pause between tries while the platform is out; a start needs it.
const registerPause = 250 * time.Millisecond

// publish writes the entry until the write is confirmed or ctx ends. The object of an earlier life under
// the same name is replaced: its fingerprint is then no longer trusted.
func (r *registration) publish(ctx context.Context, leaving bool) error {
	for {
		err := r.publishOnce(ctx, leaving)
		if err == nil || ctx.Err() != nil {
			return err
		}
		wait.Pause(ctx, registerPause)
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
	r.took(platform.Object{Kind: platform.KindEntry, Name: entry.Name, Version: written, Value: value})
	return nil
}

func (r *registration) currentVersion(ctx context.Context) (platform.Version, error) {
	object, err := r.store.Get(ctx, platform.KindEntry, r.self.Name)
	if errors.Is(err, platform.ErrNotFound) {
		return 0, nil
	}
	return object.Version, err
}
