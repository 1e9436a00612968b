// Package logqueue writes log lines asynchronously, so that logging never blocks.
package logqueue

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/skylarkpond/skylarkpond/logline"
)

// Queue buffers lines for a reader that may be slow, or may have stopped reading. With direct writes, a full pipe would block every
// request that logs. A Queue instead drops and counts lines while it is full, and writes the count as soon as the reader continues.
type Queue struct {
	lines   chan []byte
	waiting atomic.Int64
	dropped atomic.Int64
	total   atomic.Int64
}

// New returns a Queue that writes to out and buffers up to size lines.
func New(out io.Writer, size int) *Queue {
	q := &Queue{lines: make(chan []byte, size)}
	go q.run(out)
	return q
}

// Write implements io.Writer. It never blocks.
func (q *Queue) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...) // the logger reuses its buffer
	q.waiting.Add(1)
	select {
	case q.lines <- copied:
	default:
		q.waiting.Add(-1)
		q.dropped.Add(1)
		q.total.Add(1)
	}
	return len(line), nil
}

// Flush waits up to limit until all lines are written, and reports whether they are.
func (q *Queue) Flush(limit time.Duration) bool {
	for deadline := time.Now().Add(limit); q.waiting.Load() > 0; time.Sleep(flushPoll) {
		if time.Now().After(deadline) {
			return false
		}
	}
	return true
}

// flushPoll is how often Flush checks the queue.
const flushPoll = 5 * time.Millisecond

// Dropped returns how many lines were dropped, or failed to be written, since the start.
func (q *Queue) Dropped() int64 { return q.total.Load() }

func (q *Queue) run(out io.Writer) {
	for line := range q.lines {
		_, err := out.Write(line)
		q.waiting.Add(-1)
		if err != nil {
			q.total.Add(1) // the reader is gone, so only the metrics can report the loss
			continue
		}
		if n := q.dropped.Swap(0); n > 0 {
			fmt.Fprintf(out, `{"level":"warning","msg":%q,"count":%d}`+"\n", logline.LinesDropped, n)
		}
	}
}
