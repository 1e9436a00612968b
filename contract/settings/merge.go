package settings

import "cmp"

// Status is the result of merging a change.
type Status string

// The statuses.
const (
	// Accepted means that the tree returned by Merge contains the change. The change takes effect once
	// that tree is written.
	Accepted Status = "accepted"
	// AlreadyApplied means that the tree accepted this change before, at Result.Revision.
	AlreadyApplied Status = "already-applied"
	// Unchanged means that every node already has the requested values.
	Unchanged Status = "unchanged"
	// Conflicted means that a node has changed since the base of the change; nothing was changed.
	Conflicted Status = "conflict"
	// Refused means that the resulting tree would fail validation, or that the id belongs to a
	// different change; nothing was changed.
	Refused Status = "refused"
)

// Result reports the outcome of merging a change and the reasons for it.
type Result struct {
	Status Status `json:"status"`
	// Revision is the revision of the tree that introduced the change, or the current one if the change
	// was not applied.
	Revision  uint64     `json:"revision"`
	Conflicts []Conflict `json:"conflicts,omitempty"`
	Faults    Faults     `json:"faults,omitempty"`
	// Superseded lists, for AlreadyApplied, the nodes that have been changed again since.
	Superseded []Path `json:"superseded,omitempty"`
}

// Conflict holds both sides of a node that has changed since the base of a change.
type Conflict struct {
	Node Path   `json:"node"`
	Base uint64 `json:"base"`
	// Ours holds the requested values; nil if the change removes the node.
	Ours *Values `json:"ours"`
	// Theirs is the current node; nil if there is none.
	Theirs *Node `json:"theirs"`
	// By is the change that produced Theirs, if it is still recorded.
	By *AppliedChange `json:"by,omitempty"`
}

// Merge applies a change to a tree. It does not modify current: next is a new tree if the status is
// Accepted, and current itself otherwise. The caller sets the Nonce of next before writing it.
//
// Changes to different nodes merge in any order. A node that has changed since its base is a conflict,
// unless it already has the requested values: two operators who apply the same checkout do not conflict.
func Merge(current *Tree, change *Change) (next *Tree, result Result) {
	digest := change.Digest()
	for _, applied := range current.Changes {
		if applied.ID == change.ID {
			return current, resultOfRepeat(current, change, applied, digest)
		}
	}
	pending := unsatisfied(current, change)
	result.Revision = current.Revision
	result.Conflicts = findConflicts(current, pending)
	if len(result.Conflicts) > 0 {
		result.Status = Conflicted
		return current, result
	}
	if len(pending) == 0 {
		result.Status = Unchanged
		return current, result
	}
	next = current.withChanges(pending)
	if result.Faults = next.validate(); len(result.Faults) > 0 {
		result.Status = Refused
		return current, result
	}
	next.recordChange(change, digest, pending)
	return next, Result{Status: Accepted, Revision: next.Revision}
}

// resultOfRepeat returns the result for a change whose id the tree has recorded. The digest detects a
// different change with the same id, which would otherwise be reported as applied although it never was.
func resultOfRepeat(current *Tree, change *Change, applied AppliedChange, digest string) Result {
	if cmp.Or(applied.Digest, applied.ID) != digest {
		return Result{Status: Refused, Revision: current.Revision, Faults: Faults{{
			Problem: "the change id " + change.ID + " was used for another change", Expected: "a new id",
		}}}
	}
	result := Result{Status: AlreadyApplied, Revision: applied.Revision}
	for _, node := range unsatisfied(current, change) {
		result.Superseded = append(result.Superseded, node.Node)
	}
	return result
}

// unsatisfied returns the node changes whose node does not yet have the requested values.
func unsatisfied(current *Tree, change *Change) []NodeChange {
	var nodes []NodeChange
	for _, node := range change.Nodes {
		if !node.satisfiedBy(current) {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// findConflicts returns a Conflict for each node whose current revision differs from the base of its change.
func findConflicts(current *Tree, nodes []NodeChange) []Conflict {
	var found []Conflict
	for _, node := range nodes {
		theirs, exists := current.Nodes[node.Node]
		if theirs.Revision == node.Base {
			continue
		}
		conflict := Conflict{Node: node.Node, Base: node.Base}
		if !node.Remove {
			values := node.Values
			conflict.Ours = &values
		}
		if exists {
			conflict.Theirs = &theirs
			conflict.By = current.changeAtRevision(theirs.Revision)
		}
		found = append(found, conflict)
	}
	return found
}

// changeAtRevision returns the recorded change that produced a revision, or nil if it is no longer recorded.
func (t *Tree) changeAtRevision(revision uint64) *AppliedChange {
	for _, applied := range t.Changes {
		if applied.Revision == revision {
			return &applied
		}
	}
	return nil
}

// withChanges returns a copy of the tree, one revision later, with the node changes made.
func (t *Tree) withChanges(nodes []NodeChange) *Tree {
	next := t.Clone()
	next.Revision++
	for _, node := range nodes {
		if node.Remove {
			delete(next.Nodes, node.Node)
			continue
		}
		next.Nodes[node.Node] = Node{Revision: next.Revision, Values: node.Values}
	}
	return next
}

// validate runs Check and also rejects a tree without an operator token, because nobody could change such
// a tree again.
func (t *Tree) validate() Faults {
	faults, _ := t.Check().(Faults)
	if len(t.Nodes[Root].Values["operator_key_hashes"].List) == 0 {
		key, _ := LookupKey("operator_key_hashes")
		faults = append(faults, Fault{
			Node: Root, Key: key.Name, Problem: "no operator's token is left: nobody could change the settings again",
			Expected: key.Constraint(),
		})
	}
	return faults
}

// recordChange appends a change to the record of recent changes and drops the oldest beyond
// MaxRecentChanges.
func (t *Tree) recordChange(change *Change, digest string, nodes []NodeChange) {
	applied := AppliedChange{
		ID: change.ID, Revision: t.Revision, Author: change.Author, At: change.At, NodeCount: len(nodes),
	}
	if digest != change.ID {
		applied.Digest = digest
	}
	for _, node := range nodes[:min(len(nodes), MaxRecordedNodes)] {
		applied.Nodes = append(applied.Nodes, node.Node)
	}
	t.Changes = append(t.Changes, applied)
	if excess := len(t.Changes) - MaxRecentChanges; excess > 0 {
		t.Changes = t.Changes[excess:]
	}
}
