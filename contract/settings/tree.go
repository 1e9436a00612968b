package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
)

// Node is a stored node of the tree.
type Node struct {
	// Revision is the revision of the tree that last changed the node.
	Revision uint64 `json:"revision"`
	Values   Values `json:"values,omitempty"`
}

// AppliedChange records an accepted change.
type AppliedChange struct {
	ID string `json:"id"`
	// Digest is the digest of the change. It distinguishes a repeated change from a different one with
	// the same id. It is empty if it equals ID.
	Digest   string `json:"digest,omitempty"`
	Revision uint64 `json:"revision"`
	// Author is the operator's name as reported by its client. It is not authenticated.
	Author string `json:"author,omitempty"`
	// At is the time on the clock of the entry that accepted the change, in Unix milliseconds. It is for
	// display only.
	At int64 `json:"at_ms,omitempty"`
	// Nodes lists the first MaxRecordedNodes nodes that the change modified; NodeCount counts all of them.
	Nodes     []Path `json:"nodes,omitempty"`
	NodeCount int    `json:"node_count"`
}

// MaxRecentChanges bounds the applied changes that the tree records, and MaxRecordedNodes the nodes listed
// in each record; together they take at most about 60 KB. An operator whose response was lost retries
// within minutes. A change that is retried after its record was dropped is still recognized, because its
// nodes already have the requested values.
const (
	MaxRecentChanges = 100
	MaxRecordedNodes = 8
)

// Tree holds all settings as declared. It is the content of the platform object settings/tree.
//
// Revision increases by one with each accepted change and is never reused. A node that was removed and
// declared again therefore never gets a revision that it had before.
type Tree struct {
	// Nonce identifies this write; the writer chooses it.
	Nonce    string        `json:"nonce"`
	Revision uint64        `json:"revision"`
	Nodes    map[Path]Node `json:"nodes"`
	// Changes holds the last MaxRecentChanges accepted changes, oldest first.
	Changes []AppliedChange `json:"changes,omitempty"`
}

// rawTree is a decoded tree whose values have not yet been converted and checked by key.
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

// ParseTree decodes a stored tree. It rejects the whole tree if it contains an unknown key, a value of the
// wrong type or out of range, an invalid path, or a node revision above the tree's; the error is of type
// Faults. Checks that span several values or nodes are left to Check and Resolve.
func ParseTree(data []byte) (*Tree, error) {
	var raw rawTree
	if err := decodeStrict(data, &raw); err != nil {
		return nil, Faults{{Problem: "not a tree of settings: " + err.Error()}}
	}
	tree := &Tree{Nonce: raw.Nonce, Revision: raw.Revision, Changes: raw.Changes}
	tree.Nodes = make(map[Path]Node, len(raw.Nodes))
	var faults Faults
	for path, node := range raw.Nodes {
		values, nodeFaults := parseValues(path, node.Values)
		faults = append(faults, nodeFaults...)
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

// UnmarshalJSON calls ParseTree, so that a tree embedded in another message is validated as strictly.
func (t *Tree) UnmarshalJSON(data []byte) error {
	tree, err := ParseTree(data)
	if err != nil {
		return err
	}
	*t = *tree
	return nil
}

// decodeStrict decodes a single JSON value. It rejects unknown fields and trailing data.
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

// parseValues converts and checks the decoded values of one node by the table of keys.
func parseValues(path Path, raw map[string]any) (Values, Faults) {
	var faults Faults
	if path.Level() == InvalidLevel {
		return nil, Faults{invalidPathFault(path)}
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

// parseValue converts and checks one decoded value. The fault's Node is not set.
func parseValue(level Level, name string, raw any) (Value, *Fault) {
	key, ok := LookupKey(name)
	if !ok {
		return Value{}, &Fault{Key: name, Problem: "unknown key", Expected: "one of " + keyNamesAt(level)}
	}
	if key.Levels&level == 0 {
		return Value{}, &Fault{
			Key: name, Problem: fmt.Sprintf("a %s node can't set it", level),
			Expected: "it at one of these levels: " + key.Levels.String(),
		}
	}
	return key.decode(raw)
}

func invalidPathFault(path Path) Fault {
	return Fault{
		Node: path, Problem: "no node can have this path",
		Expected: "/, /places/P, /places/P/services/S or /places/P/teams/T, each name " + nodeNameDescription,
	}
}

// Paths returns the paths of all nodes in sorted order, so that parents precede their children.
func (t *Tree) Paths() []Path {
	return slices.Sorted(maps.Keys(t.Nodes))
}

// Clone returns a copy whose Nodes and Changes can be modified without affecting t. The Values of the
// nodes are shared and must not be modified.
func (t *Tree) Clone() *Tree {
	copied := *t
	copied.Nodes = maps.Clone(t.Nodes)
	if copied.Nodes == nil {
		copied.Nodes = make(map[Path]Node)
	}
	copied.Changes = slices.Clone(t.Changes)
	return &copied
}
