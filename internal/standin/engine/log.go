package engine

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/link/engine"
	"github.com/skylarkpond/skylarkpond/vm"
)

// Phase is a stage in the execution of a request.
type Phase string

// A run has one Started line and at most one other; a VM that dies logs no further phase of its runs.
const (
	Started   Phase = "started"
	Finished  Phase = "finished"
	Cancelled Phase = "cancelled"
	Broken    Phase = "broken"
)

// Run is one line of the run log. The host keeps the log, so that tests can check what ran even if the VM
// has crashed since. Group and Epoch are those of the engine, not those that the request asked for.
type Run struct {
	Time       time.Time  `json:"time"`
	VM         vm.Name    `json:"vm"`
	BootID     vm.BootID  `json:"boot_id"`
	RequestID  string     `json:"request_id"`
	Group      vm.GroupID `json:"group,omitempty"`
	Epoch      uint64     `json:"epoch,omitempty"`
	Phase      Phase      `json:"phase"`
	Service    string     `json:"service,omitempty"`
	Method     string     `json:"method,omitempty"`
	Path       string     `json:"path,omitempty"`
	ResumeFrom uint64     `json:"resume_from,omitempty"`
	BodyHash   string     `json:"body_hash"`
}

type runLog struct {
	mu     sync.Mutex // guards the fields below; no other lock is taken while it is held
	lines  []Run
	starts map[string]int
}

func newRunLog() *runLog { return &runLog{starts: make(map[string]int)} }

// add appends a line and returns how often the request has started so far.
func (l *runLog) add(run Run, phase Phase) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	run.Time = time.Now()
	run.Phase = phase
	l.lines = append(l.lines, run)
	if phase == Started {
		l.starts[run.RequestID]++
	}
	return l.starts[run.RequestID]
}

func (l *runLog) list() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.lines)
}

// Arrival records that a client request reached a VM. It is logged before any other processing, whether the
// VM then runs, refuses or holds the request. Group and Epoch are those that the request asked for.
type Arrival struct {
	Time      time.Time  `json:"time"`
	VM        vm.Name    `json:"vm"`
	BootID    vm.BootID  `json:"boot_id"`
	RequestID string     `json:"request_id"`
	Group     vm.GroupID `json:"group"`
	Epoch     uint64     `json:"epoch"`
}

// LifecycleEvent is a boot, death, freeze or thaw of a VM.
type LifecycleEvent string

// The lifecycle events of a VM.
const (
	Booted LifecycleEvent = "booted"
	Died   LifecycleEvent = "died"
	Frozen LifecycleEvent = "frozen"
	Thawed LifecycleEvent = "thawed"
)

// LifecycleRecord is one lifecycle event of a VM. BootID is empty if the VM is dead.
type LifecycleRecord struct {
	Time   time.Time      `json:"time"`
	VM     vm.Name        `json:"vm"`
	BootID vm.BootID      `json:"boot_id,omitempty"`
	Event  LifecycleEvent `json:"turn"`
}

// recordLog is an append-only log in chronological order. The zero value is an empty log.
type recordLog[T any] struct {
	mu  sync.Mutex // guards all; no other lock is taken while it is held
	all []T
}

// add appends the record that stamp returns for the current time. stamp is called with the lock held, which
// keeps the log in chronological order.
func (l *recordLog[T]) add(stamp func(time.Time) T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, stamp(time.Now()))
}

func (l *recordLog[T]) list() []T {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.all)
}

// OrderRecord is one received order. Refused is the reason of a refusal, empty if the order was applied.
type OrderRecord struct {
	Time    time.Time    `json:"time"`
	VM      vm.Name      `json:"vm"`
	BootID  vm.BootID    `json:"boot_id"`
	Order   engine.Order `json:"order"`
	Refused string       `json:"refused,omitempty"`
}

func hash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}
