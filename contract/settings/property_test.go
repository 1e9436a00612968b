package settings_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/skylarkpond/skylarkpond/contract/settings"
)

// genValues draws valid values for some of the keys that may be set at the path's level.
func genValues(t *rapid.T, path settings.Path) settings.Values {
	values := make(settings.Values)
	for _, key := range settings.Keys() {
		set := key.Levels&path.Level() != 0 && rapid.Bool().Draw(t, key.Name+" set")
		if set && key.Name != "key_hashes" && key.Name != "operator_key_hashes" {
			values[key.Name] = genValue(t, key)
		}
	}
	completeValues(path, values)
	return values
}

// completeValues sets the required keys of a node and removes those that could conflict with other nodes or
// values.
func completeValues(path settings.Path, values settings.Values) {
	text := func(s string) settings.Value { return settings.Value{Kind: settings.TextValue, Text: s} }
	hash := func(s string) settings.Value {
		return settings.Value{Kind: settings.ListValue, List: []string{strings.Repeat(s, 64)}}
	}
	delete(values, "services")
	delete(values, "unrepeatable")
	delete(values, "max_request_timeout")
	switch path.Level() {
	case settings.RootLevel:
		values["operator_key_hashes"] = hash("f")
	case settings.ServiceLevel:
		values["kind"] = text("language")
		values["model"] = text(path.Name())
		values["model_version"] = text("v1")
	case settings.TeamLevel:
		values["key_hashes"] = hash(path.Name()[len(path.Name())-1:])
	}
}

func genValue(t *rapid.T, key *settings.Key) settings.Value {
	value := key.Default
	switch key.Kind {
	case settings.IntegerValue:
		value.Integer = rapid.Int64Range(int64(key.Min), int64(key.Max)).Draw(t, key.Name)
	case settings.NumberValue:
		value.Number = rapid.Float64Range(key.Min, key.Max).Draw(t, key.Name)
	case settings.DurationValue:
		value.Duration = key.Default.Duration + time.Duration(rapid.IntRange(0, 1000).Draw(t, key.Name))
	case settings.BoolValue:
		value.Bool = rapid.Bool().Draw(t, key.Name)
	case settings.ListValue:
		value.List = []string{fmt.Sprintf("/p%d", rapid.IntRange(0, 9).Draw(t, key.Name))}
	}
	return value
}

var allPaths = func() []settings.Path {
	paths := []settings.Path{settings.Root}
	for _, place := range []string{"/places/a", "/places/b"} {
		paths = append(paths, settings.Path(place))
		for i := range 3 {
			paths = append(paths, settings.Path(fmt.Sprintf("%s/services/s%c%d", place, place[8], i)))
		}
	}
	return append(paths, "/places/a/teams/t0", "/places/a/teams/t1", "/places/b/teams/t2", "/places/b/teams/t3")
}()

func genTree(t *rapid.T) *settings.Tree {
	tree := &settings.Tree{Nonce: "n", Revision: 1, Nodes: make(map[settings.Path]settings.Node)}
	for _, path := range allPaths {
		if path.Level()&(settings.RootLevel|settings.PlaceLevel) != 0 || rapid.Bool().Draw(t, string(path)) {
			tree.Nodes[path] = settings.Node{Revision: 1, Values: genValues(t, path)}
		}
	}
	return tree
}

// genChange draws a change of the given paths, based on their current revisions in tree.
func genChange(t *rapid.T, tree *settings.Tree, paths []settings.Path, id string) *settings.Change {
	change := &settings.Change{ID: id}
	for _, path := range paths {
		node := settings.NodeChange{Node: path, Base: tree.Nodes[path].Revision}
		leaf := path.Level()&(settings.ServiceLevel|settings.TeamLevel) != 0
		if leaf && rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
			node.Remove = true
		} else {
			node.Values = genValues(t, path)
		}
		change.Nodes = append(change.Nodes, node)
	}
	return change
}

func sameNodes(a, b *settings.Tree) bool {
	if !slices.Equal(a.Paths(), b.Paths()) {
		return false
	}
	for path, node := range a.Nodes {
		if !node.Values.Equal(b.Nodes[path].Values) {
			return false
		}
	}
	return true
}

// genDisjointPaths draws two disjoint sets of paths.
func genDisjointPaths(t *rapid.T) (mine, theirs []settings.Path) {
	for _, path := range allPaths {
		switch rapid.IntRange(0, 3).Draw(t, "side") {
		case 0:
			mine = append(mine, path)
		case 1:
			theirs = append(theirs, path)
		}
	}
	return mine, theirs
}

func TestMergeCommutesForDifferentNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := genTree(t)
		mine, theirs := genDisjointPaths(t)
		a := genChange(t, tree, mine, "a")
		b := genChange(t, tree, theirs, "b")
		ab, abResults := mergeAll(tree, a, b)
		ba, baResults := mergeAll(tree, b, a)
		for _, result := range slices.Concat(abResults, baResults) {
			if result.Status == settings.Conflicted {
				t.Fatalf("changes to different nodes conflict: %+v", result)
			}
		}
		if anyRefused(abResults) || anyRefused(baResults) {
			t.Skip("the checks refuse one of them")
		}
		if !sameNodes(ab, ba) {
			t.Fatalf("order matters:\n%v\n%v", ab, ba)
		}
	})
}

func mergeAll(tree *settings.Tree, changes ...*settings.Change) (*settings.Tree, []settings.Result) {
	var results []settings.Result
	for _, change := range changes {
		var result settings.Result
		tree, result = settings.Merge(tree, change)
		results = append(results, result)
	}
	return tree, results
}

func anyRefused(results []settings.Result) bool {
	return slices.ContainsFunc(results, func(r settings.Result) bool { return r.Status == settings.Refused })
}

func TestRepeatedChangeChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := genTree(t)
		mine, _ := genDisjointPaths(t)
		change := genChange(t, tree, mine, "a")
		tree, first := settings.Merge(tree, change)
		for i := range rapid.IntRange(0, 5).Draw(t, "others") {
			_, others := genDisjointPaths(t)
			tree, _ = settings.Merge(tree, genChange(t, tree, others, fmt.Sprint("o", i)))
		}
		next, again := settings.Merge(tree, change)
		if first.Status != settings.Accepted {
			t.Skip("not accepted the first time")
		}
		if next != tree || again.Status != settings.AlreadyApplied || again.Revision != first.Revision {
			t.Fatalf("first %+v, again %+v", first, again)
		}
	})
}

// A change based on an outdated revision must not overwrite a newer one, even if its id is not recorded,
// whether because the record was dropped or because the change was never accepted.
func TestStaleBaseNeverOverwrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := genTree(t)
		path := rapid.SampledFrom(allPaths).Draw(t, "path")
		old := genChange(t, tree, []settings.Path{path}, "old")
		moved, result := settings.Merge(tree, genChange(t, tree, []settings.Path{path}, "new"))
		if result.Status != settings.Accepted {
			t.Skip("first change not accepted")
		}
		next, result := settings.Merge(moved, old)
		if next != moved || (result.Status != settings.Conflicted && result.Status != settings.Unchanged) {
			t.Fatalf("change with a stale base: %+v", result)
		}
	})
}

func TestNearestNodeWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := genTree(t)
		path := rapid.SampledFrom(tree.Paths()).Draw(t, "path")
		explained, ok := tree.Explain(path)
		if !ok {
			t.Fatalf("no node %s", path)
		}
		for _, e := range explained {
			want, from := nearestValue(tree, path, e.Key)
			if !e.Value.Equal(want) || e.From != from {
				t.Fatalf("%s at %s: %v from %q, want %v from %q", e.Key, path, e.Value, e.From, want, from)
			}
		}
	})
}

// nearestValue computes the effective value independently of Path.Parent: among the nodes that set the key
// and whose path is a prefix of path, the longest path wins.
func nearestValue(tree *settings.Tree, path settings.Path, name string) (value settings.Value, from settings.Path) {
	key, _ := settings.LookupKey(name)
	value = key.Default
	for _, other := range tree.Paths() {
		above := other == settings.Root || other == path || strings.HasPrefix(string(path), string(other)+"/")
		if set, ok := tree.Nodes[other].Values[name]; ok && above {
			value, from = set, other
		}
	}
	return value, from
}

func TestStoredFormKeepsEverything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := genTree(t)
		stored, err := json.Marshal(tree)
		if err != nil {
			t.Fatal(err)
		}
		read, err := settings.ParseTree(stored)
		if err != nil {
			t.Fatal(err)
		}
		if !sameNodes(tree, read) || read.Revision != tree.Revision || read.Nonce != tree.Nonce {
			t.Fatalf("%v became %v", tree, read)
		}
	})
}
