// Package progress watches the periodic work of a process for work that stands still; see policy/watchdog.
package progress

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/skylarkpond/skylarkpond/internal/wait"
	"github.com/skylarkpond/skylarkpond/policy/watchdog"
)

// Task is periodic work of the process.
type Task string

// The tasks.
const (
	// Turns is the leader's work: turns are granted, and what changes is told to the other entries.
	Turns Task = "turns"
	// Groups forms groups and dissolves them.
	Groups Task = "groups"
)

var tasks = []Task{Turns, Groups}

// checkInterval is the interval between two checks.
const checkInterval = 100 * time.Millisecond

// Monitor is safe for concurrent use.
type Monitor struct {
	changed func(task Task, stalled bool)
	rounds  map[Task]*atomic.Uint64 // not modified after New
	stalled atomic.Bool
}

// New returns a Monitor. changed is called when a task has begun to stand still, and when it goes on.
func New(changed func(task Task, stalled bool)) *Monitor {
	m := &Monitor{changed: changed, rounds: make(map[Task]*atomic.Uint64, len(tasks))}
	for _, task := range tasks {
		m.rounds[task] = &atomic.Uint64{}
	}
	return m
}

// RoundEnded records that a task has completed one more round.
func (m *Monitor) RoundEnded(task Task) { m.rounds[task].Add(1) }

// Stalled reports whether any task stands still.
func (m *Monitor) Stalled() bool { return m.stalled.Load() }

// Run checks the tasks until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	dog := watchdog.New()
	for wait.Pause(ctx, checkInterval) {
		for _, task := range tasks {
			if change, changed := dog.Check(string(task), m.rounds[task].Load()); changed {
				m.changed(task, change.Stalled)
			}
		}
		m.stalled.Store(dog.Stalled())
	}
}
