package engine

import (
	"net/http"
	"strings"
	"time"
)

// PlainAnswer is the response of a plain service. Runs counts how often the request has run in this process,
// including this time.
type PlainAnswer struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Request string `json:"request"`
	Runs    int    `json:"runs"`
	Padding string `json:"padding,omitempty"`
}

// callPlain runs a call of a plain service. Once queued, a call continues even if its client disconnects, as
// a real service completes a booking whose client has left.
func (m *machine) callPlain(b *boot, body []byte, request *http.Request, response http.ResponseWriter) {
	a := parseHeader(request.Header)
	order, refused := m.checkRequest(b, a)
	if refused != nil {
		refused.write(response)
		return
	}
	w := b.batch.enter(a.priority)
	if w == nil {
		(&refusal{http.StatusTooManyRequests, "too many calls wait"}).write(response)
		return
	}
	defer b.batch.leave(w)
	select {
	case <-w.ready:
	case <-b.dead:
		abort()
	}
	run := m.newRun(b, a, order, body)
	run.Method, run.Path = request.Method, request.URL.RequestURI()
	runs := m.host.runs.add(run, Started)
	if m.containsCrashMarker(body) {
		m.crash()
		abort()
	}
	s := m.settings()
	if !sleepUntilDead(b, scale(s.plainTime, s.slow)) || !m.awaitThaw(b) {
		abort()
	}
	m.host.runs.add(run, Finished)
	writeJSON(response, PlainAnswer{
		Service: m.spec.Service,
		Method:  run.Method,
		Path:    run.Path,
		Request: run.RequestID,
		Runs:    runs,
		Padding: strings.Repeat("x", s.plainBytes),
	})
}

func sleepUntilDead(b *boot, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-b.dead:
		return false
	}
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }
