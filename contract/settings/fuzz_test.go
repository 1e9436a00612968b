package settings_test

import (
	"encoding/json"
	"errors"
	"testing"
	"testing/fstest"

	"github.com/skylarkpond/skylarkpond/contract/settings"
)

// checkFaults: every refusal is Faults, and each says what is wrong.
func checkFaults(t *testing.T, err error) settings.Faults {
	t.Helper()
	var faults settings.Faults
	if !errors.As(err, &faults) {
		t.Fatalf("not Faults: %v", err)
	}
	for _, fault := range faults {
		if fault.Problem == "" {
			t.Fatalf("a fault without a problem: %+v", fault)
		}
	}
	return faults
}

// checkTree: what was accepted can be stored and read back as it was, and resolves or is refused with
// reasons.
func checkTree(t *testing.T, tree *settings.Tree) {
	t.Helper()
	stored, err := json.Marshal(tree)
	if err != nil {
		t.Fatal(err)
	}
	read, err := settings.ParseTree(stored)
	if err != nil {
		t.Fatalf("can't read what was stored: %v\n%s", err, stored)
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

// FuzzDeclaration reads one file as each level's declaration, beside a valid rest.
func FuzzDeclaration(f *testing.F) {
	files := []string{"root.yaml", "places/pampa.yaml", llmFile, southFile}
	f.Fuzz(func(t *testing.T, data []byte, level uint8) {
		file := files[int(level)%len(files)]
		fsys := good()
		fsys[file] = &fstest.MapFile{Data: data}
		declared, err := settings.LoadFS(fsys, "decl")
		if err != nil {
			for _, fault := range checkFaults(t, err) {
				if fault.File == "" || fault.Line < 1 || fault.Expected == "" {
					t.Fatalf("a fault of files without its place or what would be right: %+v", fault)
				}
			}
			return
		}
		checkTree(t, declared.Tree("n"))
	})
}

// FuzzMerge takes an arbitrary change into a valid tree, twice.
func FuzzMerge(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		change, err := settings.ParseChange(data)
		if err != nil {
			checkFaults(t, err)
			return
		}
		declared, err := settings.LoadFS(good(), "decl")
		if err != nil {
			t.Fatal(err)
		}
		tree := declared.Tree("n")
		next, result := settings.Merge(tree, change)
		if (next != tree) != (result.Status == settings.Accepted) {
			t.Fatalf("%s, and the tree changed: %v", result.Status, next != tree)
		}
		if next.Check() != nil {
			t.Fatalf("%s left a tree that fails its checks: %v", result.Status, next.Check())
		}
		again, repeat := settings.Merge(next, change)
		if again != next {
			t.Fatalf("a repeat changed the tree: first %+v, then %+v", result, repeat)
		}
		checkTree(t, next)
	})
}
