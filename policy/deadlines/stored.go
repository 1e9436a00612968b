package deadlines

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// maxStoredKinds and maxStoredTeams bound what is stored, to some 10 kB, and maxName the names in it.
const (
	maxStoredKinds = 32
	maxStoredTeams = 8
	maxName        = 200
)

// Stored is the stored form of a kind's bounds.
type Stored struct {
	Model    string `json:"model"`
	Priority int    `json:"priority,omitempty"`
	Ms       int64  `json:"ms"`
	// Teams are those with a lower bound.
	Teams []StoredTeam `json:"teams,omitempty"`
}

// StoredTeam is the stored form of a team's bound.
type StoredTeam struct {
	Team string `json:"team"`
	Ms   int64  `json:"ms"`
}

// Store returns the known bounds, as many as may be stored, sorted.
func (l *Learner) Store() []Stored {
	var stored []Stored
	for of, k := range l.kinds {
		if k.bound <= 0 {
			continue
		}
		s := Stored{Model: of.Model, Priority: of.Priority, Ms: k.bound.Milliseconds()}
		for _, name := range slices.Sorted(maps.Keys(k.teams)) {
			if t := k.teams[name]; t.bound > 0 && t.bound < k.bound && len(s.Teams) < maxStoredTeams {
				s.Teams = append(s.Teams, StoredTeam{Team: name, Ms: t.bound.Milliseconds()})
			}
		}
		stored = append(stored, s)
	}
	slices.SortFunc(stored, func(a, b Stored) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Priority, b.Priority))
	})
	return stored[:min(len(stored), maxStoredKinds)]
}

// Check returns an error unless all bounds are plausible.
func Check(stored []Stored) error {
	if len(stored) > maxStoredKinds {
		return fmt.Errorf("usual deadlines of %d kinds of requests, at most %d are stored", len(stored), maxStoredKinds)
	}
	for _, s := range stored {
		if s.Model == "" || len(s.Model) > maxName || !plausible(s.Ms) || len(s.Teams) > maxStoredTeams {
			return fmt.Errorf("usual deadline %d ms of model %.50q", s.Ms, s.Model)
		}
		for _, t := range s.Teams {
			if len(t.Team) > maxName || !plausible(t.Ms) {
				return fmt.Errorf("usual deadline %d ms of team %.50q", t.Ms, t.Team)
			}
		}
	}
	return nil
}

func plausible(ms int64) bool { return ms >= minBound.Milliseconds() && ms <= maxBound.Milliseconds() }

// Restore replaces everything by what Store returned, for which Check must return nil.
func (l *Learner) Restore(stored []Stored) {
	clear(l.kinds)
	for _, s := range stored {
		k := &kind{bound: time.Duration(s.Ms) * time.Millisecond, restored: true, teams: make(map[string]*team)}
		for _, t := range s.Teams {
			k.teams[t.Team] = &team{bound: time.Duration(t.Ms) * time.Millisecond, restored: true}
		}
		l.kinds[Kind{Model: s.Model, Priority: s.Priority}] = k
	}
}
