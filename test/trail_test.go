package test

import (
	"encoding/json"
	"path/filepath"
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
	records map[string][]contract.Attempt
	runs    map[string][]standinengine.Run
	held    []standinplatform.Held
}

func (c *cluster) trail() trail {
	GinkgoHelper()
	t := trail{
		events: make(map[string][]timeline.Event), records: make(map[string][]contract.Attempt),
		runs: make(map[string][]standinengine.Run),
	}
	for _, event := range c.timelines() {
		t.events[event.Request] = append(t.events[event.Request], event)
	}
	for _, change := range c.history() {
		if change.Kind != platform.KindAttempt || change.Deleted {
			continue
		}
		var record contract.Attempt
		Expect(json.Unmarshal(change.Value, &record)).To(Succeed())
		key := strings.TrimPrefix(change.Name, teamOfCallers+"/")
		t.records[key] = append(t.records[key], record)
	}
	for _, run := range c.runs() {
		t.runs[run.BodyHash] = append(t.runs[run.BodyHash], run)
	}
	t.held = lines[standinplatform.Held](c.platform + "/standin/held")
	return t
}

// teamOfCallers is the team of all callers.
const teamOfCallers = "dev"

// timelines reads what the entries have written.
func (c *cluster) timelines() []timeline.Event {
	GinkgoHelper()
	paths, err := filepath.Glob(filepath.Join(c.dir, "*.timeline"))
	Expect(err).NotTo(HaveOccurred())
	var all []timeline.Event
	for _, path := range paths {
		all = append(all, c.read.timeline(path).events()...)
	}
	return all
}

// has says whether a request came to an event.
func (t trail) has(request string, kind timeline.Kind) bool {
	for _, event := range t.events[request] {
		if event.Kind == kind {
			return true
		}
	}
	return false
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
