package settings_test

import (
	"encoding/json"
	"errors"
	"testing"
	"testing/fstest"

	"github.com/skylarkpond/skylarkpond/contract/settings"
)

// checkFaults checks that the error is a Faults and that each fault states its problem.
func checkFaults(t *testing.T, err error) settings.Faults {
	t.Helper()
	var faults settings.Faults
	if !errors.As(err, &faults) {
		t.Fatalf("error is not Faults: %v", err)
	}
	for _, fault := range faults {
		if fault.Problem == "" {
			t.Fatalf("fault without a problem: %+v", fault)
		}
	}
	return faults
}

// checkTree checks that an accepted tree survives a round trip through its stored form, and that it either
// resolves or is rejected with Faults.
func checkTree(t *testing.T, tree *settings.Tree) {
	t.Helper()
	stored, err := json.Marshal(tree)
	if err != nil {
		t.Fatal(err)
	}
	read, err := settings.ParseTree(stored)
	if err != nil {
		t.Fatalf("cannot parse the stored tree: %v\n%s", err, stored)
	}
	if !sameNodes(tree, read) {
		t.Fatalf("%v became %v", tree, read)
	}
	snapshot, err := tree.Resolve(1)
	if err != nil {
		checkFaults(t, err)
		return
	}
	for path := range tree.Nodes {
		explained, ok := tree.Explain(path)
		if !ok || (path.Level() == settings.ServiceLevel && snapshot.Services[path.Name()].MaxConcurrency < 1) {
			t.Fatalf("node %s resolves to %v", path, explained)
		}
	}
}

func FuzzParseTree(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		tree, err := settings.ParseTree(data)
		if err != nil {
			checkFaults(t, err)
			return
		}
		checkTree(t, tree)
	})
}

// FuzzDeclaration loads arbitrary data as the declaration of a node at each level; all other files are valid.
func FuzzDeclaration(f *testing.F) {
	files := []string{"root.yaml", "places/pampa.yaml", llmFile, southFile}
	f.Fuzz(func(t *testing.T, data []byte, level uint8) {
		file := files[int(level)%len(files)]
		fsys := validFiles()
		fsys[file] = &fstest.MapFile{Data: data}
		declared, err := settings.LoadFS(fsys, "decl")
		if err != nil {
			for _, fault := range checkFaults(t, err) {
				if fault.File == "" || fault.Line < 1 || fault.Expected == "" {
					t.Fatalf("fault without file, line or expected value: %+v", fault)
				}
			}
			return
		}
		checkTree(t, declared.Tree("n"))
	})
}

// FuzzMerge merges an arbitrary change into a valid tree, twice.
func FuzzMerge(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		change, err := settings.ParseChange(data)
		if err != nil {
			checkFaults(t, err)
			return
		}
		declared, err := settings.LoadFS(validFiles(), "decl")
		if err != nil {
			t.Fatal(err)
		}
		tree := declared.Tree("n")
		next, result := settings.Merge(tree, change)
		if (next != tree) != (result.Status == settings.Accepted) {
			t.Fatalf("status %s, but tree changed: %v", result.Status, next != tree)
		}
		if next.Check() != nil {
			t.Fatalf("status %s, and the tree is invalid: %v", result.Status, next.Check())
		}
		again, repeat := settings.Merge(next, change)
		if again != next {
			t.Fatalf("a repeat changed the tree: first %+v, then %+v", result, repeat)
		}
		checkTree(t, next)
	})
}
