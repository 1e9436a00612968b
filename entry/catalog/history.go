package catalog

import (
	"slices"

	store "github.com/skylarkpond/skylarkpond/link/platform"
)

const (
	// maxHistory and maxHistoryBytes bound the recent changes of a kind that are kept for entries that connect late. The bytes suffice for
	// two objects of the greatest size.
	maxHistory      = 2048
	maxHistoryBytes = 2*store.MaxValueBytes + 64<<10
)

// history holds the recent changes of a kind. It is not safe for concurrent use.
type history struct {
	// changes are the recent changes, oldest first. Of each object that is kept as a whole, only the newest change is held: an entry that
	// connects late needs no older one.
	changes []Change
	// oldest is the revision since which the changes are complete.
	oldest store.Version
	// bytes is the memory that the changes occupy.
	bytes int
}

// reset forgets all changes up to a revision.
func (h *history) reset(revision store.Version) { *h = history{oldest: revision} }

// record adds changes, and drops the oldest ones that exceed the bounds.
func (h *history) record(changes []Change) {
	changes = h.replaceObjects(changes)
	for _, change := range changes {
		h.bytes += change.Size()
	}
	h.changes = append(h.changes, changes...)
	excess := 0
	for excess < len(h.changes) && (len(h.changes)-excess > maxHistory || h.bytes > maxHistoryBytes) {
		h.oldest = max(h.oldest, h.changes[excess].Version())
		h.bytes -= h.changes[excess].Size()
		excess++
	}
	h.changes = slices.Delete(h.changes, 0, excess)
}

// replaceObjects drops the changes of objects of which newer ones are about to be recorded, and returns what is to be recorded: changes can arrive
// after newer ones of the same object.
func (h *history) replaceObjects(changes []Change) []Change {
	newest := make(map[string]store.Version)
	for _, change := range changes {
		if change.Object != nil {
			newest[change.Name()] = max(newest[change.Name()], change.Version())
		}
	}
	if len(newest) == 0 {
		return changes
	}
	h.changes = slices.DeleteFunc(h.changes, func(known Change) bool {
		version, ok := newest[known.Name()]
		if known.Object == nil || !ok {
			return false
		}
		if known.Version() > version {
			newest[known.Name()] = known.Version()
			return false
		}
		h.bytes -= known.Size()
		return true
	})
	return slices.DeleteFunc(slices.Clone(changes), func(change Change) bool {
		return change.Object != nil && change.Version() < newest[change.Name()]
	})
}

// since returns the changes after a revision. ok is false if some of them were dropped.
func (h *history) since(revision store.Version) (changes []Change, ok bool) {
	if revision < h.oldest {
		return nil, false
	}
	for _, change := range h.changes {
		if change.Version() > revision {
			changes = append(changes, change)
		}
	}
	return changes, true
}
