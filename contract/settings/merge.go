package settings

import "cmp"

// Status is what became of a change.
type Status string

// The statuses.
const (
	// Accepted: the tree that Merge returns has the change. It counts once that tree is written.
	Accepted Status = "accepted"
	// AlreadyApplied: the tree has taken in this change before, at Result.Revision.
	AlreadyApplied Status = "already-applied"
	// Unchanged: every node says already what the change wants.
	Unchanged Status = "unchanged"
	// Conflicted: a node moved since its base; nothing was changed.
	Conflicted Status = "conflict"
	// Refused: the tree with the change would fail its checks; nothing was changed.
	Refused Status = "refused"
)

// Result tells what became of a change, and why.
type Result struct {
	Status Status `json:"status"`
	// Revision is the tree's revision that has the change, or that was found.
	Revision  uint64     `json:"revision"`
	Conflicts []Conflict `json:"conflicts,omitempty"`
	Faults    Faults     `json:"faults,omitempty"`
	// Superseded lists, for AlreadyApplied, the nodes that have changed again since.
	Superseded []Path `json:"superseded,omitempty"`
}

// Conflict shows both sides of a node that moved since the base of a change.
type Conflict struct {
	Node Path   `json:"node"`
	Base uint64 `json:"base"`
	// Ours is what the change wants; nil: that the node be removed.
	Ours *Values `json:"ours"`
	// Theirs is the node as it is now; nil: there is none.
	Theirs *Node `json:"theirs"`
	// By is the recorded change that made Theirs, if it is still recorded.
	By *AppliedChange `json:"by,omitempty"`
}

// Merge takes a change into a tree. It never writes to current: next is a new tree if the status is
// Accepted, and current itself otherwise. The caller sets next's Nonce before it writes it.
//
// Changes to different nodes merge whichever comes first. A node that moved since its base is a
// conflict, unless it moved to just what the change wants: two operators who apply the same checkout
// don't disagree.
func Merge(current *Tree, change *Change) (next *Tree, result Result) {
	digest := change.Digest()
	for _, applied := range current.Changes {
		if applied.ID == change.ID {
			return current, repeated(current, change, applied, digest)
		}
	}
	moved := pending(current, change)
	result.Revision = current.Revision
	result.Conflicts = conflicts(current, moved)
	if len(result.Conflicts) > 0 {
		result.Status = Conflicted
		return current, result
	}
	if len(moved) == 0 {
		result.Status = Unchanged
		return current, result
	}
	next = current.with(moved)
	if result.Faults = next.acceptable(); len(result.Faults) > 0 {
		result.Status = Refused
		return current, result
	}
	next.record(change, digest, moved)
	return next, Result{Status: Accepted, Revision: next.Revision}
}

// repeated answers a change id that the tree has seen. Another change under the same id would be told
// "accepted" although it never was; the digest tells it.
func repeated(current *Tree, change *Change, applied AppliedChange, digest string) Result {
	if cmp.Or(applied.Digest, applied.ID) != digest {
		return Result{Status: Refused, Revision: current.Revision, Faults: Faults{{
			Problem: "the change id " + change.ID + " was used for another change", Expected: "a new id",
		}}}
	}
	result := Result{Status: AlreadyApplied, Revision: applied.Revision}
	for _, node := range pending(current, change) {
		result.Superseded = append(result.Superseded, node.Node)
	}
	return result
}

// pending are the nodes that don't yet say what the change wants.
func pending(current *Tree, change *Change) []NodeChange {
	var nodes []NodeChange
	for _, node := range change.Nodes {
		if !node.satisfiedBy(current) {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

func conflicts(current *Tree, nodes []NodeChange) []Conflict {
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
			conflict.By = current.changeAt(theirs.Revision)
		}
		found = append(found, conflict)
	}
	return found
}

func (t *Tree) changeAt(revision uint64) *AppliedChange {
	for _, applied := range t.Changes {
		if applied.Revision == revision {
			return &applied
		}
	}
	return nil
}

func (t *Tree) with(nodes []NodeChange) *Tree {
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

// acceptable makes the cross checks, and refuses a tree without an operator's token: nobody could ever
// change it again.
func (t *Tree) acceptable() Faults {
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

func (t *Tree) record(change *Change, digest string, nodes []NodeChange) {
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
