// Package logqueue writes log lines without ever holding up whoever logs.
package logqueue

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/skylarkpond/skylarkpond/logline"
)

// Queue writes lines to a reader that may be slow, or may not read at all. Written directly, a full pipe would hold up every request
// that has something to report; here the line that finds the queue full is dropped and counted, and the count is written as soon as there
// is room again.
type Queue struct {
	lines   chan []byte
	waiting atomic.Int64
	dropped atomic.Int64
	total   atomic.Int64
}

// New starts writing to out. size is how many lines may wait.
func New(out io.Writer, size int) *Queue {
	q := &Queue{lines: make(chan []byte, size)}
	go q.run(out)
	return q
}

// Write implements io.Writer. It never blocks.
func (q *Queue) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...) // the logger uses its buffer again
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

// Flush waits until all lines are written, for limit at most, and reports whether they are.
func (q *Queue) Flush(limit time.Duration) bool {
	for deadline := time.Now().Add(limit); q.waiting.Load() > 0; time.Sleep(flushPoll) {
		if time.Now().After(deadline) {
			return false
		}
	}
	return true
}

// flushPoll is how often Flush looks.
const flushPoll = 5 * time.Millisecond

// Dropped returns how many lines were dropped since the start.
func (q *Queue) Dropped() int64 { return q.total.Load() }

func (q *Queue) run(out io.Writer) {
	for line := range q.lines {
		_, err := out.Write(line)
		q.waiting.Add(-1)
		if err != nil {
			q.total.Add(1) // nobody reads any more, and there is nowhere to say so but the metrics
			continue
		}
		if n := q.dropped.Swap(0); n > 0 {
			fmt.Fprintf(out, `{"level":"warning","msg":%q,"count":%d}`+"\n", logline.LinesDropped, n)
		}
	}
}
