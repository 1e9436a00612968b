package ingress

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/skylarkpond/skylarkpond/policy/connections"
)

// ConnectionsDeps holds the dependencies of Connections.
type ConnectionsDeps struct {
	Limits connections.Limits
	// Own returns the number of the process's own connections.
	Own func() int
	// GiveUpSlowest ends a request whose body arrives slowly, and reports whether there was one. It is called if no connection can be closed.
	GiveUpSlowest func() bool
	// Report is called with what was closed to make room, at most once a second.
	Report  func(Shortage)
	Metrics metrics.Registry
}

// Shortage describes connections that were closed to make room for others, since the last one.
type Shortage struct {
	// Open and Own are the numbers of open connections of callers and of the process's own, Most is the most of callers.
	Open, Own, Most int
	// WithoutRequest, Idle and SlowBodies count the connections that were closed because they had brought no request, were between two requests, or
	// held a request whose body arrived slowly.
	WithoutRequest, Idle, SlowBodies int
}

// Fields returns the fields of a log line.
func (s Shortage) Fields() logrus.Fields {
	return logrus.Fields{
		"open": s.Open, "own": s.Own, "most": s.Most, "without_request": s.WithoutRequest, "idle": s.Idle, "slow_bodies": s.SlowBodies,
	}
}

func (s Shortage) closed() int { return s.WithoutRequest + s.Idle + s.SlowBodies }

// Connections bounds the connections of callers that all servers of a process hold together. It is safe for concurrent use.
type Connections struct {
	deps    ConnectionsDeps
	reports *rate.Limiter

	mu   sync.Mutex // guards what follows; may be held while the lock of a conn is taken
	open map[*conn]struct{}
	// unreported is what was closed since the last call of Report.
	unreported Shortage
}

// NewConnections returns a bound without connections, and registers its gauges.
func NewConnections(deps ConnectionsDeps) *Connections {
	l := &Connections{deps: deps, reports: rate.NewLimiter(1, 1), open: make(map[*conn]struct{})}
	for name, value := range map[string]func() int64{
		"connections.callers":      func() int64 { return int64(l.count()) },
		"connections.callers.most": func() int64 { return int64(l.most()) },
	} {
		_ = deps.Metrics.Register(name, metrics.NewFunctionalGauge(value)) // fails only for a duplicate name
	}
	return l
}

func (l *Connections) most() int { return l.deps.Limits.Most(l.deps.Own()) }

func (l *Connections) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// admitInterval is the interval between attempts to make room while all connections are in use.
const admitInterval = 10 * time.Millisecond

// admit adds a connection once there is room for it, or when the server stops. The kernel queues further ones meanwhile.
func (l *Connections) admit(c *conn) {
	for !l.add(c, l.most()) {
		if l.makeRoom() == 0 {
			time.Sleep(admitInterval)
		}
	}
}

func (l *Connections) add(c *conn, most int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= most+c.server.reserve && !c.server.stopping.Load() {
		return false
	}
	c.since = time.Now() // nothing could be read from it before
	l.open[c] = struct{}{}
	return true
}

func (l *Connections) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// Enforce closes connections if there are too many, because the process's own have become more.
func (l *Connections) Enforce() {
	if l.count() > l.most() {
		l.makeRoom()
	}
}

// makeRoom closes connections of callers and returns how many are closed by now.
func (l *Connections) makeRoom() int {
	var closed Shortage
	for victim, described := range l.victims() {
		switch victim.closeUnused(described) {
		case closedWithoutRequest:
			closed.WithoutRequest++
		case closedIdle:
			closed.Idle++
		}
	}
	if closed.closed() == 0 && l.deps.GiveUpSlowest() {
		closed.SlowBodies++
	}
	l.report(closed)
	return closed.WithoutRequest
}

func (l *Connections) victims() map[*conn]connections.Connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	var conns []*conn
	var open []connections.Connection
	for c := range l.open {
		conns, open = append(conns, c), append(open, c.describe())
	}
	victims := make(map[*conn]connections.Connection)
	for _, i := range connections.Victims(open, time.Now()) {
		victims[conns[i]] = open[i]
	}
	return victims
}

func (l *Connections) report(closed Shortage) {
	if closed.closed() == 0 {
		return
	}
	for kind, count := range map[string]int{"without_request": closed.WithoutRequest, "idle": closed.Idle, "slow_body": closed.SlowBodies} {
		metrics.GetOrRegisterCounter("connections.closed."+kind, l.deps.Metrics).Inc(int64(count))
	}
	report, due := l.collect(closed)
	if due {
		report.Own, report.Most = l.deps.Own(), l.most()
		l.deps.Report(report)
	}
}

// collect adds to what is unreported, and returns and clears it if a report is due.
func (l *Connections) collect(closed Shortage) (report Shortage, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreported.WithoutRequest += closed.WithoutRequest
	l.unreported.Idle += closed.Idle
	l.unreported.SlowBodies += closed.SlowBodies
	if !l.reports.Allow() {
		return Shortage{}, false
	}
	report, l.unreported = l.unreported, Shortage{}
	report.Open = len(l.open)
	return report, true
}
