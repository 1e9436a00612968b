package fleet

import (
	"slices"
	"strings"

	"github.com/skylarkpond/skylarkpond/domain"
	"github.com/skylarkpond/skylarkpond/vm"
)

// HomeOf returns the name of the group's home, or "" if there are no live entries.
func (t *Table) HomeOf(id vm.GroupID) string {
	live := t.live()
	t.refreshHomes(live)
	t.mu.RLock()
	defer t.mu.RUnlock()
	if r := t.rows[id]; r != nil {
		return r.home
	}
	return homeOf(id, live)
}

// RankHomes returns up to count of the named entries, in the order in which they become home of the group.
func RankHomes(id vm.GroupID, names []string, count int) []string {
	return domain.Owners(homeKey(id), names, count)
}

// refreshHomes recomputes the homes if the entries eligible as homes have changed.
func (t *Table) refreshHomes(live []string) {
	if t.homesCurrent(live) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.homesFrom = slices.Clone(live)
	for id, r := range t.rows {
		r.home = homeOf(id, t.homesFrom)
	}
}

func (t *Table) homesCurrent(live []string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return slices.Equal(t.homesFrom, live)
}

func homeOf(id vm.GroupID, live []string) string {
	return domain.Owner(homeKey(id), live)
}

func homeKey(id vm.GroupID) string { return "home/" + string(id) }

// GroupsHomedAt returns the groups whose home is the named entry, sorted by ID.
func (t *Table) GroupsHomedAt(entry string) []vm.Group {
	t.refreshHomes(t.live())
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
