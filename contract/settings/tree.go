package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
)

// Node is one node as it is stored.
type Node struct {
	// Revision is the tree's revision at the node's last change.
	Revision uint64 `json:"revision"`
	Values   Values `json:"values,omitempty"`
}

// AppliedChange is the record of an accepted change.
type AppliedChange struct {
	ID string `json:"id"`
	// Digest is that of the change, to tell a repeated change from another one under the same id; empty
	// if it is the id.
	Digest   string `json:"digest,omitempty"`
	Revision uint64 `json:"revision"`
	// Author is who applied it, as that operator's tool said; it is not proof of anything.
	Author string `json:"author,omitempty"`
	// At is the accepting entry's clock, in Unix milliseconds; for display only.
	At int64 `json:"at_ms,omitempty"`
	// Nodes lists the first MaxRecordedNodes nodes that it changed, NodeCount counts them all.
	Nodes     []Path `json:"nodes,omitempty"`
	NodeCount int    `json:"node_count"`
}

// MaxRecentChanges bounds the change ids that the tree keeps, and MaxRecordedNodes the nodes that each
// names: together some 60 KB at most. A lost answer is followed up within minutes; a change repeated
// after its id was dropped is still recognised, because its nodes say already what it wants.
const (
	MaxRecentChanges = 100
	MaxRecordedNodes = 8
)

// Tree is the value of the platform object settings/tree: the whole of the settings as declared.
//
// Revision grows by one with each accepted change and is never reused, so that a node which was removed
// and declared anew never carries a revision that it had before.
type Tree struct {
	// Nonce is the writer's own mark for this write.
	Nonce    string        `json:"nonce"`
	Revision uint64        `json:"revision"`
	Nodes    map[Path]Node `json:"nodes"`
	// Changes are the latest accepted changes, oldest first, at most MaxRecentChanges.
	Changes []AppliedChange `json:"changes,omitempty"`
}

// rawTree and rawNode are a tree before its values are checked against their keys.
type rawTree struct {
	Nonce    string           `json:"nonce"`
	Revision uint64           `json:"revision"`
	Nodes    map[Path]rawNode `json:"nodes"`
	Changes  []AppliedChange  `json:"changes"`
}

type rawNode struct {
	Revision uint64         `json:"revision"`
	Values   map[string]any `json:"values"`
}

// ParseTree reads a stored tree. Unknown keys, wrong types and values out of range are refused whole; the
// error is then Faults. It doesn't make the cross checks: Resolve does.
func ParseTree(data []byte) (*Tree, error) {
	var raw rawTree
	if err := decodeStrict(data, &raw); err != nil {
		return nil, Faults{{Problem: "not a tree of settings: " + err.Error()}}
	}
	tree := &Tree{Nonce: raw.Nonce, Revision: raw.Revision, Changes: raw.Changes}
	tree.Nodes = make(map[Path]Node, len(raw.Nodes))
	var faults Faults
	for path, node := range raw.Nodes {
		values, wrong := parseValues(path, node.Values)
		faults = append(faults, wrong...)
		if node.Revision > raw.Revision {
			faults = append(faults, Fault{Node: path, Problem: fmt.Sprintf(
				"revision %d is above the tree's, %d", node.Revision, raw.Revision)})
		}
		tree.Nodes[path] = Node{Revision: node.Revision, Values: values}
	}
	if err := faults.err(); err != nil {
		return nil, err
	}
	return tree, nil
}

// UnmarshalJSON is ParseTree, so that a tree within another message is checked as strictly.
func (t *Tree) UnmarshalJSON(data []byte) error {
	tree, err := ParseTree(data)
	if err != nil {
		return err
	}
	*t = *tree
	return nil
}

// decodeStrict decodes one JSON value, and refuses unknown fields and whatever follows it.
func decodeStrict(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	decoder.UseNumber()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return fmt.Errorf("more than one JSON value")
	}
	return nil
}

// parseValues checks decoded values of one node against the table of keys.
func parseValues(path Path, raw map[string]any) (Values, Faults) {
	var faults Faults
	if path.Level() == InvalidLevel {
		return nil, Faults{badPath(path)}
	}
	values := make(Values, len(raw))
	for name, item := range raw {
		value, fault := parseValue(path.Level(), name, item)
		if fault != nil {
			fault.Node = path
			faults = append(faults, *fault)
			continue
		}
		values[name] = value
	}
	return values, faults
}

// parseValue checks one decoded value; the fault lacks the node.
func parseValue(level Level, name string, raw any) (Value, *Fault) {
	key, ok := LookupKey(name)
	if !ok {
		return Value{}, &Fault{Key: name, Problem: "unknown key", Expected: "one of " + keysOf(level)}
	}
	if key.Levels&level == 0 {
		return Value{}, &Fault{
			Key: name, Problem: fmt.Sprintf("a %s node can't set it", level),
			Expected: "it at one of these levels: " + key.Levels.String(),
		}
	}
	return key.decode(raw)
}

func badPath(path Path) Fault {
	return Fault{
		Node: path, Problem: "no node can have this path",
		Expected: "/, /places/P, /places/P/services/S or /places/P/teams/T, each name " + nodeNameForm,
	}
}

// Paths returns the paths of all nodes, sorted: parents come before their children.
func (t *Tree) Paths() []Path {
	return slices.Sorted(maps.Keys(t.Nodes))
}

// Clone returns a copy whose nodes and changes can be replaced without touching t. Values are shared and
// must not be written to.
func (t *Tree) Clone() *Tree {
	copied := *t
	copied.Nodes = maps.Clone(t.Nodes)
	if copied.Nodes == nil {
		copied.Nodes = make(map[Path]Node)
	}
	copied.Changes = slices.Clone(t.Changes)
	return &copied
}
