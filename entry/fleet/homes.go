package fleet

import (
	"slices"
	"strings"

	"github.com/skylarkpond/skylarkpond/domain"
	"github.com/skylarkpond/skylarkpond/vm"
)

// HomeOf names the home of a group, "" without live entries.
func (t *Table) HomeOf(id vm.GroupID) string {
	live := t.live()
	t.nameHomes(live)
	t.mu.RLock()
	defer t.mu.RUnlock()
	if r := t.rows[id]; r != nil {
		return r.home
	}
	return homeOf(id, live)
}

// nameHomes names the homes anew if other entries may be homes than when they were last named.
func (t *Table) nameHomes(live []string) {
	if t.namedBy(live) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lived = slices.Clone(live)
	for id, r := range t.rows {
		r.home = homeOf(id, t.lived)
	}
}

func (t *Table) namedBy(live []string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return slices.Equal(t.lived, live)
}

func homeOf(id vm.GroupID, live []string) string {
	return domain.Owner("home/"+string(id), live)
}

// GroupsHomedAt returns the groups to which the named entry is home, by id.
func (t *Table) GroupsHomedAt(entry string) []vm.Group {
	t.nameHomes(t.live())
	t.mu.RLock()
	defer t.mu.RUnlock()
	var homed []vm.Group
	for _, r := range t.rows {
		if r.home == entry {
			homed = append(homed, r.group)
		}
	}
	slices.SortFunc(homed, func(a, b vm.Group) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return homed
}
