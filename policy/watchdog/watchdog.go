// Package watchdog decides whether periodic work of a process stands still.
//
// Load pattern: one entry, a proxy process, coordinates hundreds of others. Its work waits for a lock for ever, while the goroutine that renews its
// lease goes on: no other entry takes over, no group is repaired, and nothing ends that but an operator.
//
// The time since the last round of the work does not tell: a process that was suspended or got no processor time looks the same, and on a busy machine
// one leader after the other would be replaced. Therefore the process checks its work at intervals itself, and counts the checks: one that does not
// run makes none.
//
// A Watchdog is not safe for concurrent use.
package watchdog

// maxIdleChecks is how many checks in a row find that a task has made no progress until it counts as standing still.
const maxIdleChecks = 15

// Watchdog tracks the progress of tasks.
type Watchdog struct{ tasks map[string]*task }

type task struct {
	rounds uint64
	idle   int
}

// New returns a Watchdog without tasks.
func New() *Watchdog { return &Watchdog{tasks: make(map[string]*task)} }

// Change is that a task has begun to stand still, or goes on.
type Change struct {
	Task    string
	Stalled bool
}

// Check records how many rounds a task has completed, and returns false unless it has begun to stand still or goes on.
func (w *Watchdog) Check(name string, rounds uint64) (change Change, changed bool) {
	t := w.tasks[name]
	if t == nil {
		w.tasks[name] = &task{rounds: rounds}
		return Change{}, false
	}
	if t.rounds != rounds {
		stalled := t.stalled()
		t.rounds, t.idle = rounds, 0
		return Change{Task: name}, stalled
	}
	t.idle++
	return Change{Task: name, Stalled: true}, t.idle == maxIdleChecks
}

func (t *task) stalled() bool { return t.idle >= maxIdleChecks }

// Stalled reports whether any task stands still.
func (w *Watchdog) Stalled() bool {
	for _, t := range w.tasks {
		if t.stalled() {
			return true
		}
	}
	return false
}
