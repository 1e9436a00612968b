package attempt

import (
	"context"
	"encoding/json"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/link/platform"
)

func TestAttempt(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "attempt")
}

// fault is what becomes of one call.
type fault uint8

const (
	fine  fault = iota
	lost        // a write takes effect, its answer is lost; a read is not answered
	void        // a write is lost, and so is its answer
	late        // a write's answer is lost, and it takes effect behind the next read
	out         // the platform does not take the call
	limit       // the rate limit refuses the call
)

// fakeStore keeps objects and plays one fault per call, then none.
type fakeStore struct {
	platform.Store
	objects  map[string]platform.Object
	revision platform.Version
	faults   []fault
	puts     int
	gets     int
	pending  []func()
}

func newFakeStore(faults ...fault) *fakeStore {
	return &fakeStore{objects: make(map[string]platform.Object), faults: faults}
}

func (s *fakeStore) fault() fault {
	if len(s.faults) == 0 {
		return fine
	}
	f := s.faults[0]
	s.faults = s.faults[1:]
	return f
}

func (s *fakeStore) apply(name string, version platform.Version, value json.RawMessage) (platform.Version, error) {
	if s.objects[name].Version != version {
		return 0, platform.ErrConflict
	}
	s.revision++
	s.objects[name] = platform.Object{Kind: platform.KindAttempt, Name: name, Version: s.revision, Value: value}
	return s.revision, nil
}

func (s *fakeStore) Get(_ context.Context, _ platform.Kind, name string) (platform.Object, error) {
	s.gets++
	defer s.land()
	if s.fault() != fine {
		return platform.Object{}, platform.ErrUnavailable
	}
	object, ok := s.objects[name]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return object, nil
}

func (s *fakeStore) land() {
	for _, apply := range s.pending {
		apply()
	}
	s.pending = nil
}

func (s *fakeStore) Put(_ context.Context, _ platform.Kind, name string, version platform.Version, value json.RawMessage) (platform.Version, error) {
	s.puts++
	switch s.fault() {
	case out:
		return 0, platform.ErrUnavailable
	case limit:
		return 0, platform.ErrThrottled
	case lost:
		_, _ = s.apply(name, version, value)
		return 0, platform.ErrUnconfirmed
	case void:
		return 0, platform.ErrUnconfirmed
	case late:
		s.pending = append(s.pending, func() { _, _ = s.apply(name, version, value) })
		return 0, platform.ErrUnconfirmed
	}
	return s.apply(name, version, value)
}

func (s *fakeStore) List(context.Context, platform.Kind) (platform.Changes, error) {
	changes := platform.Changes{Revision: s.revision, Complete: true}
	for _, object := range s.objects {
		changes.Objects = append(changes.Objects, object)
	}
	return changes, nil
}

func (s *fakeStore) Delete(_ context.Context, _ platform.Kind, name string, version platform.Version) error {
	if s.fault() == out {
		return platform.ErrUnavailable
	}
	if s.objects[name].Version != version {
		return platform.ErrConflict
	}
	delete(s.objects, name)
	return nil
}
