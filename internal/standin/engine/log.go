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

// OrderRecord is one order and what became of it.
type OrderRecord struct {
	Time    time.Time    `json:"time"`
	VM      vm.Name      `json:"vm"`
	BootID  vm.BootID    `json:"boot_id"`
	Order   engine.Order `json:"order"`
	Refused string       `json:"refused,omitempty"`
}

type orderLog struct {
	mu    sync.Mutex // guards lines; a leaf lock
	lines []OrderRecord
}

func (l *orderLog) add(record OrderRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	record.Time = time.Now()
	l.lines = append(l.lines, record)
}

func (l *orderLog) list() []OrderRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.lines)
}

func hash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}
