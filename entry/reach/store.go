package reach

import (
	"context"
	"encoding/json"

	"github.com/skylarkpond/skylarkpond/link/platform"
)

// Store is a platform.Store that reports the results of its calls to a Tracker.
type Store struct {
	platform.Store
	tracker *Tracker
}

// WrapStore returns store with the results of its calls recorded.
func (r *Tracker) WrapStore(store platform.Store) *Store { return &Store{Store: store, tracker: r} }

// record skips calls that the caller cancelled, since their failure says nothing about the platform.
func (s *Store) record(ctx context.Context, err error) {
	if ctx.Err() == nil || err == nil {
		s.tracker.RecordResult(err)
	}
}

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	object, err := s.Store.Get(ctx, kind, name)
	s.record(ctx, err)
	return object, err
}

// List implements platform.Store.
func (s *Store) List(ctx context.Context, kind platform.Kind) (platform.Changes, error) {
	changes, err := s.Store.List(ctx, kind)
	s.record(ctx, err)
	return changes, err
}

// Put implements platform.Store.
func (s *Store) Put(ctx context.Context, kind platform.Kind, name string, version platform.Version, value json.RawMessage) (platform.Version, error) {
	written, err := s.Store.Put(ctx, kind, name, version, value)
	s.record(ctx, err)
	return written, err
}

// Delete implements platform.Store.
func (s *Store) Delete(ctx context.Context, kind platform.Kind, name string, version platform.Version) error {
	err := s.Store.Delete(ctx, kind, name, version)
	s.record(ctx, err)
	return err
}

// Watch implements platform.Store. Failures of a watch are not recorded, because it may have waited for long.
func (s *Store) Watch(ctx context.Context, kind platform.Kind, after platform.Version) (platform.Changes, error) {
	changes, err := s.Store.Watch(ctx, kind, after)
	if err == nil {
		s.record(ctx, nil)
	}
	return changes, err
}
