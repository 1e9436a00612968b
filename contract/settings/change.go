package settings

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
)

// Change is what an operator asks for: new declarations of some nodes, each based on the revision that
// the operator has seen.
type Change struct {
	// ID makes a repeated apply the same apply. Digest is what pondctl uses: a change that is sent again
	// from the same checkout then has the same id without anything being kept.
	ID     string       `json:"id"`
	Author string       `json:"author,omitempty"`
	Nodes  []NodeChange `json:"nodes"`
	// At is set by the entry that takes the change in, in Unix milliseconds; for display only.
	At int64 `json:"at_ms,omitempty"`
}

// NodeChange replaces the declaration of one node, or removes the node.
type NodeChange struct {
	Node Path `json:"node"`
	// Base is the revision of the node that the change was made from; 0: there was none.
	Base   uint64 `json:"base"`
	Values Values `json:"values,omitempty"`
	Remove bool   `json:"remove,omitempty"`
}

// Limits of a change.
const (
	MaxIDBytes     = 128
	MaxAuthorBytes = 128
)

type rawChange struct {
	ID     string          `json:"id"`
	Author string          `json:"author"`
	Nodes  []rawNodeChange `json:"nodes"`
	At     int64           `json:"at_ms"`
}

type rawNodeChange struct {
	Node   Path           `json:"node"`
	Base   uint64         `json:"base"`
	Values map[string]any `json:"values"`
	Remove bool           `json:"remove"`
}

// ParseChange reads a change as strictly as ParseTree a tree. The error is Faults.
func ParseChange(data []byte) (*Change, error) {
	var raw rawChange
	if err := decodeStrict(data, &raw); err != nil {
		return nil, Faults{{Problem: "not a change of settings: " + err.Error()}}
	}
	change := &Change{ID: raw.ID, Author: raw.Author, At: raw.At}
	faults := change.checkHead()
	seen := make(map[Path]bool)
	for _, node := range raw.Nodes {
		values, wrong := parseValues(node.Node, node.Values)
		faults = append(faults, wrong...)
		if seen[node.Node] {
			faults = append(faults, Fault{Node: node.Node, Problem: "changed twice in one change", Expected: "each node once"})
		}
		if node.Remove && len(values) > 0 {
			faults = append(faults, Fault{Node: node.Node, Problem: "both removed and declared", Expected: "one of the two"})
		}
		seen[node.Node] = true
		change.Nodes = append(change.Nodes, NodeChange{Node: node.Node, Base: node.Base, Values: values, Remove: node.Remove})
	}
	if err := faults.err(); err != nil {
		return nil, err
	}
	return change, nil
}

func (c *Change) checkHead() Faults {
	var faults Faults
	if len(c.ID) == 0 || len(c.ID) > MaxIDBytes {
		faults = append(faults, Fault{Problem: "bad change id", Expected: fmt.Sprintf("1 to %d bytes", MaxIDBytes)})
	}
	if len(c.Author) > MaxAuthorBytes {
		faults = append(faults, Fault{Problem: "author too long", Expected: fmt.Sprintf("at most %d bytes", MaxAuthorBytes)})
	}
	return faults
}

// UnmarshalJSON is ParseChange.
func (c *Change) UnmarshalJSON(data []byte) error {
	change, err := ParseChange(data)
	if err != nil {
		return err
	}
	*c = *change
	return nil
}

// Digest is a hash of what the change does: its nodes, their bases and declarations, in any order.
func (c *Change) Digest() string {
	nodes := slices.Clone(c.Nodes)
	slices.SortFunc(nodes, func(a, b NodeChange) int { return cmp.Compare(a.Node, b.Node) })
	data, err := json.Marshal(nodes)
	if err != nil {
		panic(fmt.Sprintf("settings: a checked change can't be encoded: %v", err))
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// satisfiedBy says whether the tree has the node as the change wants it.
func (n NodeChange) satisfiedBy(tree *Tree) bool {
	current, exists := tree.Nodes[n.Node]
	if n.Remove || !exists {
		return n.Remove && !exists
	}
	return n.Values.Equal(current.Values)
}
