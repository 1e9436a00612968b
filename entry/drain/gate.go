package drain

import (
	"net/http"
	"sync/atomic"
)

// Gate counts the callers' requests in progress and, once the entry leaves, asks callers to let go of
// their connections. Without that a caller that keeps one open sends its next request just as the
// listener closes, and can't tell whether it was taken.
type Gate struct {
	inProgress atomic.Int64
	leaving    atomic.Bool
}

// Wrap returns handler behind the gate.
func (g *Gate) Wrap(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.inProgress.Add(1)
		defer g.inProgress.Add(-1)
		if g.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// Leave makes each further answer the last of its connection.
func (g *Gate) Leave() { g.leaving.Store(true) }

// InProgress counts the requests whose answers are not written.
func (g *Gate) InProgress() int { return int(g.inProgress.Load()) }
