package drain

import (
	"net/http"
	"sync/atomic"
)

// Gate counts callers' requests in progress and, once the entry leaves, asks callers to close their connections. Otherwise a caller
// with a kept-alive connection may send its next request just as the listener closes, and can't tell whether it was processed.
type Gate struct {
	inProgress atomic.Int64
	leaving    atomic.Bool
}

// Wrap returns a handler that counts the requests of handler and sets Connection: close on its answers once Leave was called.
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

// Leave makes each further answer the last one on its connection.
func (g *Gate) Leave() { g.leaving.Store(true) }

// InProgress returns the number of requests that are not answered in full.
func (g *Gate) InProgress() int { return int(g.inProgress.Load()) }
