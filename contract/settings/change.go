package settings

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
)

// Change is an operator's request to change the tree: new declarations of some nodes, each based on the
// revision that the operator has seen.
type Change struct {
	// ID makes applying a change idempotent. pondctl uses the Digest as the ID, so that a change retried
	// from the same checkout has the same ID without any stored state.
	ID     string       `json:"id"`
	Author string       `json:"author,omitempty"`
	Nodes  []NodeChange `json:"nodes"`
	// At is the time at which an entry received the change, in Unix milliseconds, set by that entry. It
	// is for display only.
	At int64 `json:"at_ms,omitempty"`
}

// NodeChange replaces the declaration of one node, or removes the node.
type NodeChange struct {
	Node Path `json:"node"`
	// Base is the revision of the node that the change is based on; 0 if the node did not exist.
	Base   uint64 `json:"base"`
	Values Values `json:"values,omitempty"`
	Remove bool   `json:"remove,omitempty"`
}

// Limits on the fields of a change.
const (
	MaxIDBytes     = 128
	MaxAuthorBytes = 128
)

// rawChange is a decoded change whose values have not yet been converted and checked by key.
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

// ParseChange decodes a change as strictly as ParseTree decodes a tree. The error is of type Faults.
func ParseChange(data []byte) (*Change, error) {
	var raw rawChange
	if err := decodeStrict(data, &raw); err != nil {
		return nil, Faults{{Problem: "not a change of settings: " + err.Error()}}
	}
	change := &Change{ID: raw.ID, Author: raw.Author, At: raw.At}
	faults := change.checkHeader()
	seen := make(map[Path]bool)
	for _, node := range raw.Nodes {
		values, nodeFaults := parseValues(node.Node, node.Values)
		faults = append(faults, nodeFaults...)
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

// checkHeader checks the fields of the change outside its nodes.
func (c *Change) checkHeader() Faults {
	var faults Faults
	if len(c.ID) == 0 || len(c.ID) > MaxIDBytes {
		faults = append(faults, Fault{Problem: "bad change id", Expected: fmt.Sprintf("1 to %d bytes", MaxIDBytes)})
	}
	if len(c.Author) > MaxAuthorBytes {
		faults = append(faults, Fault{Problem: "author too long", Expected: fmt.Sprintf("at most %d bytes", MaxAuthorBytes)})
	}
	return faults
}

// UnmarshalJSON calls ParseChange, so that an embedded change is validated as strictly.
func (c *Change) UnmarshalJSON(data []byte) error {
	change, err := ParseChange(data)
	if err != nil {
		return err
	}
	*c = *change
	return nil
}

// Digest returns a SHA-256 hash, in hex, of the nodes of the change with their bases and declarations. It
// does not depend on the order of the nodes.
func (c *Change) Digest() string {
	nodes := slices.Clone(c.Nodes)
	slices.SortFunc(nodes, func(a, b NodeChange) int { return cmp.Compare(a.Node, b.Node) })
	data, err := json.Marshal(nodes)
	if err != nil {
		panic(fmt.Sprintf("settings: cannot encode a validated change: %v", err))
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// satisfiedBy reports whether the tree already has the node in the requested state.
func (n NodeChange) satisfiedBy(tree *Tree) bool {
	current, exists := tree.Nodes[n.Node]
	if n.Remove || !exists {
		return n.Remove && !exists
	}
	return n.Values.Equal(current.Values)
}
