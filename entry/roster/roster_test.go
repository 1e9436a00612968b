package roster_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/skylarkpond/skylarkpond/entry/roster"
	"github.com/skylarkpond/skylarkpond/link/platform"
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
		r.Apply([]platform.Object{object})
		if r.Len() != 2 {
			t.Fatalf("%d entries", r.Len())
		}
		object.Value = json.RawMessage(value)
		r.Apply([]platform.Object{object})
		if r.Len() != 1 || failures != 1 {
			t.Errorf("%q: %d entries, %d failures", value, r.Len(), failures)
		}
	}
}
