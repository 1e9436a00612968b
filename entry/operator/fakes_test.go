package operator_test

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/skylarkpond/skylarkpond/contract/admin"
	"github.com/skylarkpond/skylarkpond/contract/settings"
	"github.com/skylarkpond/skylarkpond/entry/operator"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/timeline"
	"github.com/skylarkpond/skylarkpond/vm"
)

// fakeStore holds a single object, the settings tree. Each Put consumes the next element of faults, if any.
type fakeStore struct {
	platform.Store

	mu      sync.Mutex
	object  platform.Object
	version platform.Version
	puts    int
	// faults holds the faults of the next puts: "lost-answer" writes but returns ErrUnconfirmed, "lost" only
	// returns ErrUnconfirmed, "delayed" returns ErrUnconfirmed and writes just before the next Put checks its
	// version, and "down" returns ErrUnavailable.
	faults       []string
	delayedWrite func()
	getErr       error
	stale        *platform.Object
	onGet        func()
}

func (f *fakeStore) Get(context.Context, platform.Kind, string) (platform.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.onGet != nil {
		defer f.onGet()
	}
	if f.getErr != nil {
		return platform.Object{}, f.getErr
	}
	if f.stale != nil {
		return *f.stale, nil
	}
	if f.object.Version == 0 {
		return platform.Object{}, platform.ErrNotFound
	}
	return f.object, nil
}

func (f *fakeStore) Put(_ context.Context, kind platform.Kind, name string, version platform.Version, value json.RawMessage) (platform.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.puts++
	if f.delayedWrite != nil {
		f.delayedWrite()
		f.delayedWrite = nil
	}
	fault := ""
	if len(f.faults) > 0 {
		fault, f.faults = f.faults[0], f.faults[1:]
	}
	set := func() {
		if version == f.object.Version {
			f.version += 10
			f.object = platform.Object{Kind: kind, Name: name, Version: f.version, Value: value}
		}
	}
	switch fault {
	case "lost":
		return 0, platform.ErrUnconfirmed
	case "delayed":
		f.delayedWrite = set
		return 0, platform.ErrUnconfirmed
	case "down":
		return 0, platform.ErrUnavailable
	}
	if version != f.object.Version {
		return 0, platform.ErrConflict
	}
	set()
	if fault == "lost-answer" {
		return 0, platform.ErrUnconfirmed
	}
	return f.version, nil
}

func (f *fakeStore) tree() *settings.Tree {
	f.mu.Lock()
	defer f.mu.Unlock()
	tree, err := settings.ParseTree(f.object.Value)
	if err != nil {
		panic(err)
	}
	return tree
}

// fakeEntry implements the server's dependencies on the rest of the entry.
type fakeEntry struct {
	mu       sync.Mutex
	snapshot *settings.Snapshot
	mirrored platform.Object
	status   admin.Status
	lists    []vm.List
	listsErr error
	events   []timeline.Event
	query    admin.TimelineQuery
	lifted   []string
}

func (f *fakeEntry) Snapshot() *settings.Snapshot { return f.snapshot }

func (f *fakeEntry) Get(platform.Kind, string) (platform.Object, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirrored, f.mirrored.Version > 0
}

func (f *fakeEntry) Version(platform.Kind, string) platform.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirrored.Version
}

func (f *fakeEntry) Publish(object platform.Object) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if object.Version > f.mirrored.Version {
		f.mirrored = object
	}
}

func (f *fakeEntry) Record(e timeline.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, e)
}

func (f *fakeEntry) Status(context.Context) (admin.Status, error) { return f.status, nil }

func (f *fakeEntry) Timeline(_ context.Context, query admin.TimelineQuery) (admin.Timeline, error) {
	f.query = query
	return admin.Timeline{Events: f.events}, nil
}

func (f *fakeEntry) VMLists(context.Context) ([]vm.List, error) { return f.lists, f.listsErr }

func (f *fakeEntry) Quarantined(context.Context) ([]admin.QuarantinedRequest, error) {
	return []admin.QuarantinedRequest{{Service: "desk", Fingerprint: "f1"}}, nil
}

func (f *fakeEntry) Lift(_ context.Context, service, fingerprint string) error {
	if fingerprint != "f1" {
		return operator.ErrNotQuarantined
	}
	f.lifted = append(f.lifted, service+"/"+fingerprint)
	return nil
}
