package suspects

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/internal/wait"
	link "github.com/skylarkpond/skylarkpond/link/leader"
)

// Liveness is what is known about a server's process.
type Liveness int

// The states of a process.
const (
	// Unknown: the server does not answer, or another one may answer in its place.
	Unknown Liveness = iota
	// Running: the process still runs.
	Running
	// Gone: the process has ended.
	Gone
)

// Check is the result of a check whether a server has crashed, for logs and metrics.
type Check struct {
	Server *backend.Server
	// Requests are those that lost their connections to it.
	Requests []Request
	Crashed  bool
}

// probeTimes are the times after a broken connection at which the server is probed until it is known whether its process is gone. One whose VM
// is silent is known to be gone when its registration has expired or it has started again.
var probeTimes = []time.Duration{
	20 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 6 * time.Second,
}

const (
	// exitDelay is how long a process may take to exit after it has closed its connections.
	exitDelay = 100 * time.Millisecond
	// crashedRetention is how long after a crash further requests that ran on the server are reported without another check.
	crashedRetention = 10 * time.Second
	// maxReports and reportRetention bound the crash reports that are repeated to the next leader. For as long, this entry remembers which traits
	// have finished.
	maxReports      = 32
	reportRetention = finishedPeriod
	// maxReportedTraits bounds the traits in one report.
	maxReportedTraits = 256
)

// incarnation identifies one process of a server.
type incarnation struct {
	server backend.ID
	born   int64
}

// check is a check of one server, in progress or, if crashed is set, with that result. It began when the first connection had broken.
type check struct {
	begunAt  time.Time
	crashed  bool
	requests []lost
}

// lost is a request that lost its connection.
type lost struct {
	request Request
	// progressed is set if the server had sent more than the beginning of an answer.
	progressed bool
}

// report is a crash that was reported to the leader at a time.
type report struct {
	crash link.Crash
	at    time.Time
}

// ServerLost checks whether a server that closed its connection in the middle of a request, which was sent at a time, has crashed, and if so reports
// the request's traits to the leader. progressed is set if the server had sent more than the beginning of an answer. It blocks for some seconds at
// most.
func (w *Watch) ServerLost(ctx context.Context, request Request, server *backend.Server, sentAt time.Time, progressed bool) {
	key := incarnation{server.ID, server.StartedAtMillis}
	added := lost{request: request, progressed: progressed}
	w.mu.Lock()
	running := w.checks[key]
	switch {
	case running == nil:
		w.checks[key] = &check{begunAt: time.Now(), requests: []lost{added}}
	case sentAt.After(running.begunAt): // the server may have been down already
		w.mu.Unlock()
		return
	case !running.crashed:
		running.requests = append(running.requests, added)
	}
	w.mu.Unlock()
	switch {
	case running == nil:
		w.runCheck(ctx, key, server)
	case running.crashed:
		w.reportCrash(server, []lost{added})
	}
}

// runCheck probes a server until it is known whether it has crashed.
func (w *Watch) runCheck(ctx context.Context, key incarnation, server *backend.Server) {
	crashed := w.hasCrashed(ctx, server)
	w.mu.Lock()
	ended := w.checks[key]
	requests := ended.requests
	if crashed {
		w.checks[key] = &check{begunAt: ended.begunAt, crashed: true}
		time.AfterFunc(crashedRetention, func() { w.forgetCheck(key) })
	} else {
		delete(w.checks, key)
	}
	w.mu.Unlock()
	if crashed {
		w.reportCrash(server, requests)
		return
	}
	w.deps.Checked(Check{Server: server, Requests: requestsOf(requests)})
}

func (w *Watch) forgetCheck(key incarnation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.checks, key)
}

func (w *Watch) hasCrashed(ctx context.Context, server *backend.Server) bool {
	lostAt := time.Now()
	for _, at := range probeTimes {
		if !wait.Pause(ctx, time.Until(lostAt.Add(at))) || w.deps.Isolated(server.Service) {
			return false
		}
		switch w.deps.Probe(ctx, server) {
		case Gone:
			return true
		case Running:
			if time.Since(lostAt) >= exitDelay {
				return false
			}
		}
	}
	return false
}

func requestsOf(requests []lost) []Request {
	all := make([]Request, 0, len(requests))
	for _, l := range requests {
		all = append(all, l.request)
	}
	return all
}

// reportCrash reports the traits of the requests that ran on a server that has crashed.
func (w *Watch) reportCrash(server *backend.Server, requests []lost) {
	w.deps.Checked(Check{Server: server, Requests: requestsOf(requests), Crashed: true})
	crash := link.Crash{Service: server.Service, Server: server.ID, Born: server.StartedAtMillis}
	now := time.Now()
	w.mu.Lock()
	crash.Traits = w.traitsOf(server.Service, requests, now)
	w.reports = slices.DeleteFunc(append(w.reports, report{crash: crash, at: now}), func(r report) bool { return now.Sub(r.at) > reportRetention })
	if over := len(w.reports) - maxReports; over > 0 {
		w.reports = slices.Delete(w.reports, 0, over)
	}
	Record(w.service(server.Service).own, w.now(), crash)
	w.mu.Unlock()
	w.deps.SendToLeader(link.Up{Crash: &crash})
}

// traitsOf describes the traits of requests. The caller holds the lock.
func (w *Watch) traitsOf(service string, requests []lost, now time.Time) []link.Trait {
	traits := make(map[string]link.Trait)
	for _, l := range requests {
		for _, name := range l.request.Traits {
			described := traits[name]
			described.Name = name
			described.Progressed = described.Progressed || l.progressed
			if at, finished := w.finished.Last(traitOf(service, name)); finished {
				described.Finished, described.FinishedAgoMs = true, now.Sub(at).Milliseconds()
			}
			traits[name] = described
		}
	}
	var all []link.Trait
	for _, name := range slices.Sorted(maps.Keys(traits)) {
		all = append(all, traits[name])
	}
	return all[:min(len(all), maxReportedTraits)]
}

// Reports returns the latest crashes that this entry has reported, for the next leader, with what it knows now of requests that have finished since.
func (w *Watch) Reports() []link.Crash {
	w.mu.Lock()
	defer w.mu.Unlock()
	var crashes []link.Crash
	for _, r := range w.reports {
		if time.Since(r.at) > reportRetention {
			continue
		}
		crash := r.crash
		crash.AgeMs = time.Since(r.at).Milliseconds()
		crash.Traits = slices.Clone(crash.Traits)
		for i := range crash.Traits {
			described := &crash.Traits[i]
			if at, finished := w.finished.Last(traitOf(crash.Service, described.Name)); finished {
				described.Finished, described.FinishedAgoMs = true, r.at.Sub(at).Milliseconds()
			}
		}
		crashes = append(crashes, crash)
	}
	return crashes
}
