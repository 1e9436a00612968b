package gateway

import (
	"fmt"
	"io"
	"sync/atomic"

	"github.com/skylarkpond/skylarkpond/logline"
)

// logQueue writes lines to a reader that may be slow, or may not read at all. Written directly, a full pipe would hold up every request
// that has something to report; here the line that finds the queue full is dropped and counted, and the count is written as soon as there
// is room again.
type logQueue struct {
	lines   chan []byte
	dropped atomic.Int64
	total   atomic.Int64
}

// newLogQueue starts writing to out. size is how many lines may wait.
func newLogQueue(out io.Writer, size int) *logQueue {
	q := &logQueue{lines: make(chan []byte, size)}
	go q.run(out)
	return q
}

// Write implements io.Writer. It never blocks.
func (q *logQueue) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...) // the logger uses its buffer again
	select {
	case q.lines <- copied:
	default:
		q.dropped.Add(1)
		q.total.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since the start.
func (q *logQueue) Dropped() int64 { return q.total.Load() }

func (q *logQueue) run(out io.Writer) {
	for line := range q.lines {
		if _, err := out.Write(line); err != nil {
			q.total.Add(1) // nobody reads any more, and there is nowhere to say so but the metrics
			continue
		}
		if n := q.dropped.Swap(0); n > 0 {
			fmt.Fprintf(out, `{"level":"warning","msg":%q,"count":%d}`+"\n", logline.LinesDropped, n)
		}
	}
}
