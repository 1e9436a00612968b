package test

import (
	"encoding/json"
	"maps"
	"path/filepath"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/contract"
	standinengine "github.com/skylarkpond/skylarkpond/internal/standin/engine"
	standinplatform "github.com/skylarkpond/skylarkpond/internal/standin/platform"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/timeline"
)

// trail is what tells how far requests came: the time lines that the entries write, the platform's
// history, the calls that it holds, and the backend servers' run logs.
type trail struct {
	// events by request, records by key, runs by the hash of the body.
	events  map[string][]timeline.Event
	records map[string][]contract.AttemptRecord
	runs    map[string][]standinengine.Run
	held    []standinplatform.HeldCall
	// accepted are the requests that entries have accepted, in the order in which that was read.
	accepted []string
}

// trailIndex is the trail of what was read so far. Built anew at each look, looks would get slower as a cluster
// gets older.
type trailIndex struct {
	trail
	changes, starts int
	files           map[string]int
}

func newTrailIndex() *trailIndex {
	return &trailIndex{
		trail: trail{
			events: make(map[string][]timeline.Event), records: make(map[string][]contract.AttemptRecord),
			runs: make(map[string][]standinengine.Run),
		},
		files: make(map[string]int),
	}
}

// trail reads what is new and returns a copy that stays as it is. It is called by one goroutine.
func (c *cluster) trail() trail {
	GinkgoHelper()
	if c.read.index == nil {
		c.read.index = newTrailIndex()
	}
	index := c.read.index
	for _, path := range c.timelineFiles() {
		events := c.read.timeline(path).events(index.files[path])
		index.addEvents(events)
		index.files[path] += len(events)
	}
	changes := c.historyFrom(index.changes)
	index.addChanges(changes)
	index.changes += len(changes)
	runs := c.runsFrom(index.starts)
	for _, run := range runs {
		index.runs[run.BodyHash] = append(index.runs[run.BodyHash], run)
	}
	index.starts += len(runs)
	return trail{
		events: maps.Clone(index.events), records: maps.Clone(index.records), runs: maps.Clone(index.runs),
		held: lines[standinplatform.HeldCall](c.platform + "/standin/held"), accepted: index.accepted,
	}
}

func (t *trailIndex) addEvents(events []timeline.Event) {
	for _, event := range events {
		t.events[event.Request] = append(t.events[event.Request], event)
		if event.Kind == timeline.RequestAccepted {
			t.accepted = append(t.accepted, event.Request)
		}
	}
}

func (t *trailIndex) addChanges(changes []standinplatform.Change) {
	GinkgoHelper()
	for _, change := range changes {
		if change.Kind != platform.KindAttempt || change.Deleted {
			continue
		}
		var record contract.AttemptRecord
		Expect(json.Unmarshal(change.Value, &record)).To(Succeed())
		key := strings.TrimPrefix(change.Name, teamOfCallers+"/")
		t.records[key] = append(t.records[key], record)
	}
}

// teamOfCallers is the team of all callers.
const teamOfCallers = "dev"

// timelines reads what the entries have written.
func (c *cluster) timelines() []timeline.Event {
	GinkgoHelper()
	var all []timeline.Event
	for _, path := range c.timelineFiles() {
		all = append(all, c.read.timeline(path).events(0)...)
	}
	return all
}

// timelineFiles returns the paths of what the entries write.
func (c *cluster) timelineFiles() []string {
	GinkgoHelper()
	paths, err := filepath.Glob(filepath.Join(c.dir, "*.timeline"))
	Expect(err).NotTo(HaveOccurred())
	return paths
}

// has says whether a request came to an event of one of some kinds.
func (t trail) has(request string, kinds ...timeline.Kind) bool {
	return t.hasEvent(request, func(event timeline.Event) bool { return slices.Contains(kinds, event.Kind) })
}

func (t trail) hasEvent(request string, matches func(timeline.Event) bool) bool {
	return slices.ContainsFunc(t.events[request], matches)
}

// ran says whether a run of the booking with this key came to a phase.
func (t trail) ran(key string, phase standinengine.Phase) bool {
	for _, run := range t.runs[bodyHash(booking(key))] {
		if run.Phase == phase {
			return true
		}
	}
	return false
}

// state is that of the record that stands for a key, "" without one.
func (t trail) state(key string) contract.AttemptState {
	records := t.records[key]
	if len(records) == 0 {
		return ""
	}
	return records[len(records)-1].State
}

// holds says whether the platform holds a call for a key.
func (t trail) holds(key string, verb standinplatform.Verb, after bool) bool {
	for _, call := range t.held {
		if call.Name == teamOfCallers+"/"+key && call.Verb == verb && call.After == after {
			return true
		}
	}
	return false
}
