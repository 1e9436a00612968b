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

// fault is the effect of the simulated platform on one call.
type fault uint8

const (
	noFault      fault = iota
	answerLost         // a write takes effect but its response is lost; a read gets no response
	writeLost          // a write is lost and gets no response
	writeDelayed       // a write gets no response and takes effect after the next read
	unavailable        // the platform does not accept the call
	throttled          // the rate limit rejects the call
)

// fakeStore keeps objects in memory. It applies one entry of faults to each call, in order, and none to later calls.
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

func (s *fakeStore) nextFault() fault {
	if len(s.faults) == 0 {
		return noFault
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
	defer s.applyPending()
	if s.nextFault() != noFault {
		return platform.Object{}, platform.ErrUnavailable
	}
	object, ok := s.objects[name]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return object, nil
}

func (s *fakeStore) applyPending() {
	for _, apply := range s.pending {
		apply()
	}
	s.pending = nil
}

func (s *fakeStore) Put(_ context.Context, _ platform.Kind, name string, version platform.Version, value json.RawMessage) (platform.Version, error) {
	s.puts++
	switch s.nextFault() {
	case unavailable:
		return 0, platform.ErrUnavailable
	case throttled:
		return 0, platform.ErrThrottled
	case answerLost:
		_, _ = s.apply(name, version, value)
		return 0, platform.ErrUnconfirmed
	case writeLost:
		return 0, platform.ErrUnconfirmed
	case writeDelayed:
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
	if s.nextFault() == unavailable {
		return platform.ErrUnavailable
	}
	if s.objects[name].Version != version {
		return platform.ErrConflict
	}
	delete(s.objects, name)
	return nil
}
