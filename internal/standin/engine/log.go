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

// Phase is a step in the run of a request.
type Phase string

// The phases. A run has one Started and at most one other; a VM that dies writes none.
const (
	Started   Phase = "started"
	Finished  Phase = "finished"
	Cancelled Phase = "cancelled"
	Broken    Phase = "broken"
)

// Run is one line of the run log. It is kept by the host, not by the VM, so that tests can judge by it
// what ran, whatever happened to the VM. Group and Epoch are the engine's own.
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
	mu     sync.Mutex // guards what follows; a leaf lock
	lines  []Run
	starts map[string]int
}

func newRunLog() *runLog { return &runLog{starts: make(map[string]int)} }

// add writes a line and returns how often the request has been started by now.
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

// Arrival is one request of a caller as it reached a VM, before anything else: whether the VM then ran,
// refused or held it. Group and Epoch are those that the request asked for.
type Arrival struct {
	Time      time.Time  `json:"time"`
	VM        vm.Name    `json:"vm"`
	BootID    vm.BootID  `json:"boot_id"`
	RequestID string     `json:"request_id"`
	Group     vm.GroupID `json:"group"`
	Epoch     uint64     `json:"epoch"`
}

// LifecycleEvent is a step in the life of a VM.
type LifecycleEvent string

// The turns.
const (
	Booted LifecycleEvent = "booted"
	Died   LifecycleEvent = "died"
	Frozen LifecycleEvent = "frozen"
	Thawed LifecycleEvent = "thawed"
)

// LifecycleRecord is one turn in the life of a VM. BootID is empty for a VM that is dead.
type LifecycleRecord struct {
	Time   time.Time `json:"time"`
	VM     vm.Name   `json:"vm"`
	BootID vm.BootID `json:"boot_id,omitempty"`
	Event   LifecycleEvent      `json:"turn"`
}

// lines is a log that grows in the order of time. The zero value is empty.
type lines[T any] struct {
	mu  sync.Mutex // guards all; a leaf lock
	all []T
}

// add appends what stamp makes of the time.
func (l *lines[T]) add(stamp func(time.Time) T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, stamp(time.Now()))
}

func (l *lines[T]) list() []T {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.all)
}

// OrderRecord is one order and what became of it.
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
