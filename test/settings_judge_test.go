package test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/contract/settings"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/pondctl"
)

// The judge of settings knows three things: the time line files of the entries, the platform's history,
// and what operators were told. It decodes them by itself, and asks no entry.

// stamp is a version coming into force.
type stamp struct {
	at      time.Time
	version uint64
}

// life is one run of an entry's process.
type life struct {
	entry   string
	started time.Time
	inForce []stamp
}

// lives reads the time line file of an entry. A process counts its events from 1, which parts its lives.
func (c *cluster) lives(e *entryProcess) ([]life, error) {
	data, err := os.ReadFile(filepath.Join(c.dir, e.name+".timeline"))
	if err != nil {
		return nil, err
	}
	var found []life
	// What follows the last line end is still being written.
	for _, line := range bytes.Split(data[:bytes.LastIndexByte(data, '\n')+1], []byte("\n")) {
		var event struct {
			Time    int64
			Seq     uint64
			Kind    string
			Version uint64
		}
		if len(line) == 0 {
			continue
		}
		if err := json.Unmarshal(line, &event); err != nil {
			return nil, fmt.Errorf("%s: %s: %w", e.name, line, err)
		}
		at := time.Unix(0, event.Time)
		if event.Seq == 1 {
			found = append(found, life{entry: e.name, started: e.startedBefore(at)})
		}
		if event.Kind == "settings-in-force" {
			current := &found[len(found)-1]
			current.inForce = append(current.inForce, stamp{at, event.Version})
		}
	}
	return found, nil
}

// startedBefore is when the process was started that was at work at a time.
func (e *entryProcess) startedBefore(at time.Time) time.Time {
	started := e.started[0]
	for _, later := range e.started {
		if later.Before(at) {
			started = later
		}
	}
	return started
}

// judgeVersions checks that the version in force never went down: not within a life, and no life began
// below what any entry had in force when its process was started.
func (c *cluster) judgeVersions() {
	GinkgoHelper()
	var all []life
	for _, e := range c.entries {
		lives, err := c.lives(e)
		Expect(err).NotTo(HaveOccurred())
		all = append(all, lives...)
	}
	for _, l := range all {
		least, because := highestBefore(all, l.started)
		for _, s := range l.inForce {
			Expect(s.version).To(BeNumerically(">=", least), "%s, started at %s, works by version %d from %s on, after %s",
				l.entry, l.started, s.version, s.at, because)
			least = s.version + 1
			because = fmt.Sprintf("it worked by %d itself", s.version)
		}
	}
}

// highestBefore is the highest version that any entry had in force before a time, and who had it.
func highestBefore(all []life, at time.Time) (highest uint64, who string) {
	for _, l := range all {
		for _, s := range l.inForce {
			if s.at.Before(at) && s.version > highest {
				highest = s.version
				who = fmt.Sprintf("%s had %d in force", l.entry, s.version)
			}
		}
	}
	return highest, who
}

// inForceAt returns when a version, or a later one, came into force at an entry's present life.
func (c *cluster) inForceAt(e *entryProcess, version uint64) (time.Time, error) {
	lives, err := c.lives(e)
	if err != nil || len(lives) == 0 {
		return time.Time{}, fmt.Errorf("%s has not begun: %w", e.name, err)
	}
	present := lives[len(lives)-1]
	highest := uint64(0)
	for _, s := range present.inForce {
		if s.version >= version {
			return s.at, nil
		}
		highest = s.version
	}
	return time.Time{}, fmt.Errorf("%s works by version %d, not yet %d", e.name, highest, version)
}

// expectInForce waits until entries work by a version, or a later one.
func (c *cluster) expectInForce(version uint64, entries ...*entryProcess) {
	GinkgoHelper()
	for _, e := range entries {
		Eventually(func() error {
			_, err := c.inForceAt(e, version)
			return err
		}, generous, "50ms").Should(Succeed())
	}
}

// storedTree is the tree as far as the judge needs it.
type storedTree struct {
	version  uint64
	Revision uint64
	Nodes    map[settings.Path]struct {
		Revision uint64
		Values   map[string]any
	}
	Changes []struct {
		ID       string
		Revision uint64
		Author   string
		Nodes    []settings.Path
	}
}

// sets says whether a node has the value that an operator gave it.
func (t *storedTree) sets(node settings.Path, value int) bool {
	return t.Nodes[node].Values[changedKey] == float64(value)
}

// trees returns every tree that the platform ever held, the first first.
func (c *cluster) trees() []*storedTree {
	GinkgoHelper()
	var found []*storedTree
	for _, change := range c.history() {
		if change.Kind != platform.KindSettings {
			continue
		}
		tree := &storedTree{version: uint64(change.Version)}
		Expect(json.Unmarshal(change.Value, tree)).To(Succeed())
		found = append(found, tree)
	}
	return found
}

// judgeTrees checks that each tree differs from the one before it by one accepted change, and only in the
// nodes that the change names: nothing else reverted.
func (c *cluster) judgeTrees(trees []*storedTree) {
	GinkgoHelper()
	seen := make(map[string]bool)
	for i := 1; i < len(trees); i++ {
		before, after := trees[i-1], trees[i]
		Expect(after.Revision).To(Equal(before.Revision + 1))
		change := after.Changes[len(after.Changes)-1]
		Expect(change.Revision).To(Equal(after.Revision))
		Expect(seen[change.ID]).To(BeFalse(), "change %s was taken twice", change.ID)
		seen[change.ID] = true
		for node, was := range before.Nodes {
			if !reflect.DeepEqual(was, after.Nodes[node]) {
				Expect(change.Nodes).To(ContainElement(node), "%s reverted at version %d", node, after.version)
			}
		}
	}
}

// judgeTold checks what operators were told against what the platform held.
func (c *cluster) judgeTold(trees []*storedTree) {
	GinkgoHelper()
	for _, t := range c.desk.all() {
		ever := false
		atVersion := false
		for _, tree := range trees {
			sets := tree.sets(t.node, t.value)
			ever = ever || sets
			atVersion = atVersion || (sets && tree.version == t.applied.Version)
		}
		switch {
		case t.code == pondctl.ExitOK && t.applied.Status == settings.Accepted:
			Expect(atVersion).To(BeTrue(), "told as accepted, and is not there: %s", t)
		case t.code == pondctl.ExitOK:
			Expect(ever).To(BeTrue(), "told as in the settings, and never was: %s", t)
		case t.applied.Status == settings.Conflicted, t.applied.Status == settings.Refused:
			Expect(ever).To(BeFalse(), "told as not changed, and was: %s", t)
		}
	}
}

// judgeSettings waits until the last accepted change is in force on every live entry, and judges all that
// was so far.
func (c *cluster) judgeSettings() {
	GinkgoHelper()
	trees := c.trees()
	c.expectInForce(trees[len(trees)-1].version, c.entries...)
	c.judgeVersions()
	c.judgeTrees(trees)
	c.judgeTold(trees)
}
