package reach

import (
	"context"
	"encoding/json"

	"github.com/skylarkpond/skylarkpond/link/platform"
)

// Store is a platform.Store whose calls are noted.
type Store struct {
	platform.Store
	reach *Tracker
}

// WrapStore returns store with its calls noted.
func (r *Tracker) WrapStore(store platform.Store) *Store { return &Store{Store: store, reach: r} }

// note leaves out calls that were given up here: that says nothing of the platform.
func (s *Store) note(ctx context.Context, err error) {
	if ctx.Err() == nil || err == nil {
		s.reach.RecordResult(err)
	}
}

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	object, err := s.Store.Get(ctx, kind, name)
	s.note(ctx, err)
	return object, err
}

// List implements platform.Store.
func (s *Store) List(ctx context.Context, kind platform.Kind) (platform.Changes, error) {
	changes, err := s.Store.List(ctx, kind)
	s.note(ctx, err)
	return changes, err
}

// Put implements platform.Store.
func (s *Store) Put(ctx context.Context, kind platform.Kind, name string, version platform.Version, value json.RawMessage) (platform.Version, error) {
	written, err := s.Store.Put(ctx, kind, name, version, value)
	s.note(ctx, err)
	return written, err
}

// Delete implements platform.Store.
func (s *Store) Delete(ctx context.Context, kind platform.Kind, name string, version platform.Version) error {
	err := s.Store.Delete(ctx, kind, name, version)
	s.note(ctx, err)
	return err
}

// Watch implements platform.Store. A watch that ends early says nothing: it may have waited for long.
func (s *Store) Watch(ctx context.Context, kind platform.Kind, after platform.Version) (platform.Changes, error) {
	changes, err := s.Store.Watch(ctx, kind, after)
	if err == nil {
		s.note(ctx, nil)
	}
	return changes, err
}
