package settings_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/skylarkpond/skylarkpond/contract/settings"
)

// largeTree returns a tree of 2 places, each with the given numbers of services and teams, and with
// MaxRecentChanges recorded changes.
func largeTree(services, teams int) *settings.Tree {
	text := func(s string) settings.Value { return settings.Value{Kind: settings.TextValue, Text: s} }
	hash := func(i int) settings.Value {
		return settings.Value{Kind: settings.ListValue, List: []string{fmt.Sprintf("%064x", i)}}
	}
	tree := &settings.Tree{Nonce: "n", Revision: 9, Nodes: map[settings.Path]settings.Node{
		settings.Root: {Values: settings.Values{"operator_key_hashes": hash(1 << 40)}},
	}}
	for p, place := range []string{"north", "south"} {
		tree.Nodes[settings.Path("/places/"+place)] = settings.Node{Values: settings.Values{}}
		for i := range services {
			name := fmt.Sprintf("s%d-%d", p, i)
			tree.Nodes[settings.Path("/places/"+place+"/services/"+name)] = settings.Node{Values: settings.Values{
				"kind": text("language"), "model": text(name), "model_version": text("v1"),
				"replicas": {Kind: settings.IntegerValue, Integer: 8},
			}}
		}
		for i := range teams {
			path := settings.Path(fmt.Sprintf("/places/%s/teams/t%d-%d", place, p, i))
			tree.Nodes[path] = settings.Node{Values: settings.Values{"key_hashes": hash(p*teams + i)}}
		}
	}
	for i := range settings.MaxRecentChanges {
		tree.Changes = append(tree.Changes, settings.AppliedChange{
			ID: fmt.Sprintf("%064x", i), Revision: 1, Author: "somebody", At: 1e12, NodeCount: 1,
			Nodes: []settings.Path{"/places/north/services/s0-0"},
		})
	}
	return tree
}

// BenchmarkParseAndResolve measures what an entry does with a new version of the tree: parse, validate and
// resolve all of it.
func BenchmarkParseAndResolve(b *testing.B) {
	for _, size := range []struct{ services, teams int }{{2, 5}, {20, 100}, {40, 500}} {
		stored, err := json.Marshal(largeTree(size.services, size.teams))
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("services=%d/teams=%d", 2*size.services, 2*size.teams), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				tree, err := settings.ParseTree(stored)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := tree.Resolve(1); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(stored)), "stored-bytes")
		})
	}
}

// maxParseResolveAllocs is about a third above the 18,989 allocations measured for a tree of 40 services and
// 200 teams.
const maxParseResolveAllocs = 25_000

func TestParseAndResolveAllocations(t *testing.T) {
	stored, err := json.Marshal(largeTree(20, 100))
	if err != nil {
		t.Fatal(err)
	}
	allocs := testing.AllocsPerRun(5, func() {
		tree, err := settings.ParseTree(stored)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := tree.Resolve(1); err != nil {
			t.Fatal(err)
		}
	})
	if allocs > maxParseResolveAllocs {
		t.Fatalf("%.0f allocations to parse and resolve a tree of 243 nodes; want at most %d", allocs, maxParseResolveAllocs)
	}
}
