package home

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/vm"
)

// FIFO is the plain Admission: first in, first out, per group, bounded in number and in wait.
type FIFO struct {
	limit int
	queue int

	mu     sync.Mutex // guards groups and what the groups hold; a leaf lock
	groups map[vm.GroupID]*fifoGroup
}

type fifoGroup struct {
	running int
	waiting []chan struct{}
}

// NewFIFO lets limit requests at work on each group and queue more wait.
func NewFIFO(limit, queue int) *FIFO {
	return &FIFO{limit: limit, queue: queue, groups: make(map[vm.GroupID]*fifoGroup)}
}

// fifoRetryAfter is when a caller that found the queue full should come back.
const fifoRetryAfter = time.Second

// Enter implements Admission.
func (q *FIFO) Enter(ctx context.Context, item Item) (Turn, *contract.Problem) {
	ready, ok := q.join(item.Group)
	if !ok {
		return nil, overloaded("the group's queue is full")
	}
	timer := time.NewTimer(item.Service.QueueTimeout)
	defer timer.Stop()
	select {
	case <-ready:
		return &fifoTurn{queue: q, group: item.Group}, nil
	case <-ctx.Done():
	case <-timer.C:
	}
	if q.leave(item.Group, ready) {
		return nil, overloaded("the wait in the group's queue was too long")
	}
	return &fifoTurn{queue: q, group: item.Group}, nil
}

func (q *FIFO) join(id vm.GroupID) (chan struct{}, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	g := q.groups[id]
	if g == nil {
		g = &fifoGroup{}
		q.groups[id] = g
	}
	ready := make(chan struct{})
	if g.running < q.limit {
		g.running++
		close(ready)
		return ready, true
	}
	if len(g.waiting) >= q.queue {
		return nil, false
	}
	g.waiting = append(g.waiting, ready)
	return ready, true
}

// leave takes a waiting request out; false: it was given its turn meanwhile.
func (q *FIFO) leave(id vm.GroupID, ready chan struct{}) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	g := q.groups[id]
	for i, other := range g.waiting {
		if other == ready {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			return true
		}
	}
	return false
}

func (q *FIFO) done(id vm.GroupID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	g := q.groups[id]
	if len(g.waiting) > 0 {
		close(g.waiting[0])
		g.waiting = g.waiting[1:]
		return
	}
	g.running--
	if g.running == 0 {
		delete(q.groups, id)
	}
}

type fifoTurn struct {
	queue *FIFO
	group vm.GroupID
	done  bool
}

func (t *fifoTurn) FirstToken() {}

func (t *fifoTurn) Token(int) {}

func (t *fifoTurn) Done() {
	if !t.done {
		t.done = true
		t.queue.done(t.group)
	}
}

func overloaded(message string) *contract.Problem {
	p := contract.Later(contract.CodeOverloaded, message, fifoRetryAfter)
	p.Status = http.StatusTooManyRequests
	return p
}
