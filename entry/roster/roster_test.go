package roster_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/skylarkpond/skylarkpond/entry/roster"
	"github.com/skylarkpond/skylarkpond/link/platform"
	wire "github.com/skylarkpond/skylarkpond/platform"
	"github.com/skylarkpond/skylarkpond/platform/standin/objects"
	"github.com/skylarkpond/skylarkpond/policy/directory"
)

// Callers must not be told an address of another writer's object that nobody can connect to, nor the one that it has replaced.
func TestApplyLeavesOutObjectsWithoutAddress(t *testing.T) {
	for _, value := range []string{``, `[]`, `{}`, `{"public_address":"10.0.0.2:70000"}`, `{"public_address":"10.0.0.2:0"}`, `{"public_address":"somewhere"}`, `{"public_address":7}`} {
		failures := 0
		r := roster.New(roster.Deps{
			Self: platform.Entry{Name: "a", PublicAddress: "10.0.0.1:80"}, Selection: directory.DefaultConfig(), AddressTTL: time.Second,
			OnError: func(string, error) { failures++ },
		})
		object := platform.Object{Kind: platform.KindEntry, Name: "b", Version: 2, Value: json.RawMessage(`{"name":"b","public_address":"10.0.0.2:80"}`)}
		r.Apply([]platform.Object{object}, false)
		if r.Len() != 2 {
			t.Fatalf("%d entries", r.Len())
		}
		object.Value = json.RawMessage(value)
		r.Apply([]platform.Object{object}, false)
		if r.Len() != 1 || failures != 1 {
			t.Errorf("%q: %d entries, %d failures", value, r.Len(), failures)
		}
	}
}

// newRoster returns a roster that is connected to a stand-in platform.
func newRoster(t *testing.T, api *objects.API, name string) *roster.Roster {
	t.Helper()
	return roster.New(roster.Deps{
		Store: platform.NewClient("http://"+api.Address(), platform.WithCodec(wire.ObjectCodec{})),
		Self:  platform.Entry{Name: name, PublicAddress: "10.0.0.1:80"}, Selection: directory.DefaultConfig(), AddressTTL: time.Second,
		OnError: func(operation string, err error) { t.Log(operation, err) },
	})
}

// An entry whose registration was removed while it runs must not stay unknown to the others.
func TestRunRegistersAgainAfterRemoval(t *testing.T) {
	api := objects.New()
	defer api.Close()
	client := platform.NewClient("http://"+api.Address(), platform.WithCodec(wire.ObjectCodec{}))
	a, b := newRoster(t, api, "a"), newRoster(t, api, "b")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go a.Run(ctx)
	listed := func(want int) platform.Changes {
		t.Helper()
		for range 500 {
			changes, err := client.List(ctx, platform.KindEntry)
			if err == nil && len(changes.Objects) == want {
				return changes
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Fatalf("never %d registrations", want)
		return platform.Changes{}
	}
	registered := listed(1)
	a.Apply(registered.Objects, true)
	b.Apply(registered.Objects, true)
	if err := b.Remove(ctx, "a"); err != nil {
		t.Fatal(err)
	}
	removed := listed(0)
	b.Apply(removed.Objects, removed.Complete)
	if names := b.Registered(); len(names) != 0 || b.Len() != 1 {
		t.Errorf("%v are registered, %d entries", names, b.Len())
	}
	a.Apply(removed.Objects, removed.Complete)
	listed(1)
}
