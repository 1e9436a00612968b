package suspicion

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxIncidents bounds the crashes that an Evidence keeps.
const maxIncidents = 64

// Evidence is what several observers without a common leader know of the crashes of a service's servers. It is a value that they store together:
// merging is commutative, associative and idempotent, and no merge loses what another observer has added, but for the oldest crashes beyond a bound.
// The zero value holds nothing.
type Evidence struct {
	// Incidents holds the crashes, by the id that all observers give them.
	Incidents map[string]Incident `json:"incidents,omitempty"`
	// FinishedAt holds when requests with a trait last finished, in Unix milliseconds.
	FinishedAt map[string]int64 `json:"finished_ms,omitempty"`
}

// Incident is one crash.
type Incident struct {
	// At is when it was first observed, in Unix milliseconds.
	At     int64           `json:"at_ms"`
	Traits map[string]Seen `json:"traits"`
}

// Seen is what is known of a trait that was in progress at a crash.
type Seen struct {
	// FinishedAt is when a request with the trait last finished before, in Unix milliseconds; 0 if that is not known.
	FinishedAt int64 `json:"finished_ms,omitempty"`
	// Progressed is set if the server had sent more than the beginning of an answer.
	Progressed bool `json:"progressed,omitempty"`
}

func (s Seen) merge(other Seen) Seen {
	return Seen{FinishedAt: max(s.FinishedAt, other.FinishedAt), Progressed: s.Progressed || other.Progressed}
}

// RecordCrash adds what one observer saw of a crash.
func (e *Evidence) RecordCrash(id string, seen Incident) {
	e.Merge(Evidence{Incidents: map[string]Incident{id: seen}})
}

// RecordFinish records that a request with a trait finished, at a time in Unix milliseconds.
func (e *Evidence) RecordFinish(at int64, trait string) {
	e.Merge(Evidence{FinishedAt: map[string]int64{trait: at}})
}

// Merge adds what another Evidence holds.
func (e *Evidence) Merge(other Evidence) {
	if e.Incidents == nil {
		e.Incidents = make(map[string]Incident)
	}
	if e.FinishedAt == nil {
		e.FinishedAt = make(map[string]int64)
	}
	for id, theirs := range other.Incidents {
		merged, known := e.Incidents[id]
		if !known {
			merged = Incident{At: theirs.At}
		}
		merged.At = min(merged.At, theirs.At)
		traits := maps.Clone(merged.Traits)
		if traits == nil {
			traits = make(map[string]Seen)
		}
		for trait, seen := range theirs.Traits {
			traits[trait] = traits[trait].merge(seen)
		}
		merged.Traits = traits
		e.Incidents[id] = merged
	}
	for trait, at := range other.FinishedAt {
		e.FinishedAt[trait] = max(e.FinishedAt[trait], at)
	}
	for _, id := range e.inOrder()[:max(0, len(e.Incidents)-maxIncidents)] {
		delete(e.Incidents, id)
	}
}

// Clone returns a deep copy.
func (e *Evidence) Clone() Evidence {
	var copied Evidence
	copied.Merge(*e)
	return copied
}

// inOrder returns the ids of the crashes, oldest first.
func (e *Evidence) inOrder() []string {
	return slices.SortedFunc(maps.Keys(e.Incidents), func(a, b string) int {
		return cmp.Or(cmp.Compare(e.Incidents[a].At, e.Incidents[b].At), cmp.Compare(a, b))
	})
}

// Expire forgets crashes that hold nothing back any more at a time in Unix milliseconds, and finished traits that no crash concerns.
func (e *Evidence) Expire(now int64) {
	maps.DeleteFunc(e.Incidents, func(_ string, incident Incident) bool { return now-incident.At > holdFor.Milliseconds() })
	maps.DeleteFunc(e.FinishedAt, func(trait string, _ int64) bool {
		for _, incident := range e.Incidents {
			if _, concerned := incident.Traits[trait]; concerned {
				return false
			}
		}
		return true
	})
}

// Ledger returns a Ledger with the evidence. Its times are durations since the Unix epoch.
func (e *Evidence) Ledger() *Ledger {
	l := New()
	for _, id := range e.inOrder() {
		incident := e.Incidents[id]
		at := sinceEpoch(incident.At)
		var observations []Observation
		for _, trait := range slices.Sorted(maps.Keys(incident.Traits)) {
			seen := incident.Traits[trait]
			observations = append(observations, Observation{
				Trait: trait, Finished: seen.FinishedAt > 0, FinishedAt: sinceEpoch(seen.FinishedAt), Progressed: seen.Progressed,
			})
		}
		l.RecordCrash(at, id, observations)
		l.update(at)
	}
	for _, trait := range slices.Sorted(maps.Keys(e.FinishedAt)) {
		at := sinceEpoch(e.FinishedAt[trait])
		l.RecordFinish(at, at, trait)
	}
	return l
}

func sinceEpoch(unixMillis int64) time.Duration { return time.Duration(unixMillis) * time.Millisecond }
