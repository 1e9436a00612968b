package gateway

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/skylarkpond/skylarkpond/domain"
	"github.com/skylarkpond/skylarkpond/entry/backoff"
	"github.com/skylarkpond/skylarkpond/entry/catalog"
	"github.com/skylarkpond/skylarkpond/entry/drain"
	"github.com/skylarkpond/skylarkpond/entry/grouping"
	"github.com/skylarkpond/skylarkpond/entry/intake"
	"github.com/skylarkpond/skylarkpond/entry/isolation"
	"github.com/skylarkpond/skylarkpond/entry/leader"
	"github.com/skylarkpond/skylarkpond/entry/lease"
	"github.com/skylarkpond/skylarkpond/entry/limits"
	"github.com/skylarkpond/skylarkpond/entry/progress"
	"github.com/skylarkpond/skylarkpond/entry/relay"
	"github.com/skylarkpond/skylarkpond/entry/roster"
	"github.com/skylarkpond/skylarkpond/entry/standing"
	"github.com/skylarkpond/skylarkpond/entry/suspects"
	"github.com/skylarkpond/skylarkpond/entry/turn"
	"github.com/skylarkpond/skylarkpond/internal/wait"
	"github.com/skylarkpond/skylarkpond/link/framing"
	"github.com/skylarkpond/skylarkpond/link/ingress"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	"github.com/skylarkpond/skylarkpond/link/peer"
	"github.com/skylarkpond/skylarkpond/link/upstream"
	"github.com/skylarkpond/skylarkpond/logline"
	"github.com/skylarkpond/skylarkpond/platform"
	"github.com/skylarkpond/skylarkpond/policy/connections"
	directory "github.com/skylarkpond/skylarkpond/policy/directory"
	"github.com/skylarkpond/skylarkpond/policy/stopping"
)

// Gateway is an assembled gateway process. Run starts it.
type Gateway struct {
	*shared
	components
}

// shared holds what exists before the components are built and is shared by them. Components that depend on each other in both
// directions reach one another through the field components, which is set once all are built and used only from Run on.
type shared struct {
	config      Config
	log         *logrus.Entry
	registry    metrics.Registry
	leaderState *leaderState
	// firstByteTimes and totalTimes record the times to the first byte of an answer and to its end.
	firstByteTimes, totalTimes metrics.Histogram
	leaving                    atomic.Bool
	// unreachableLines limits the lines about failed connections to servers.
	unreachableLines *rate.Limiter
	// unansweredLines limits the lines about connections that ended with a request unanswered.
	unansweredLines *rate.Limiter
	// evacuations holds the failure domains that operators evacuate. Only applyEvacuations uses it, whose calls don't overlap.
	evacuations map[domain.FailureDomain]bool
	// callersFault is the fault of what the lease's attachment last held of callers. Only the lease's own goroutine uses it.
	callersFault string
	started      time.Time

	components *components
}

// components are the parts of a gateway that assemble builds.
type components struct {
	catalog    *catalog.Catalog
	roster     *roster.Roster
	lease      *lease.Lease
	controller *grouping.Controller
	relay      *relay.Relay
	bodies     *intake.Bodies
	callers    *ingress.Connections
	local      *turn.Local
	remote     *turn.Remote
	suspects   *suspects.Watch
	limits     *limits.Tracker
	backoff    *backoff.Tracker
	standing   *standing.Tracker
	isolation  *isolation.Watch
	retries    *relay.Retries
	leader     *leader.Leader
	links      *link.Server
	identity   *peer.Identity
	pool       *upstream.Pool
	gate       *drain.Gate
	progress   *progress.Monitor
}

// Serve runs a gateway until ctx ends and it has drained. A value on reload asks the process to read its settings again; it is only
// logged.
func Serve(ctx context.Context, config Config, reload <-chan os.Signal) error {
	// The memory limit is half of the VM's memory, so that the garbage collector works harder well before the process is killed for
	// its memory use.
	debug.SetMemoryLimit(config.memory() / 2)
	common, err := newShared(config)
	if err != nil {
		return err
	}
	g, err := assemble(common)
	if err != nil {
		return err
	}
	g.connect()
	go g.logReloads(ctx, reload)
	return g.Run(ctx)
}

// logReloads logs each reload signal and changes nothing: the process's own settings are read at its start, and everything that
// changes at run time comes from the platform. Without a handler the signal would terminate the process and cut its requests.
func (g *Gateway) logReloads(ctx context.Context, reload <-chan os.Signal) {
	for {
		select {
		case <-reload:
			g.log.Info(logline.Reload)
		case <-ctx.Done():
			return
		}
	}
}

// Run serves until ctx ends, then drains.
func (g *Gateway) Run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	var running sync.WaitGroup
	defer running.Wait()
	defer stopWork()
	servers, err := g.listen()
	if err != nil {
		return err
	}
	socket, err := net.ListenPacket("udp", g.config.PeerAddress)
	if err != nil {
		return eris.Wrap(err, "listening at "+g.config.PeerAddress)
	}
	g.log.Info(logline.Started)
	failed := make(chan error, len(servers)+1)
	for _, server := range servers {
		go func() { failed <- server.serve() }()
	}
	running.Go(func() {
		if err := g.links.Serve(work, socket); err != nil {
			failed <- err
		}
	})
	for _, role := range []func(context.Context){g.catalog.Run, g.roster.Run, g.lease.Run, g.controller.Run, g.leader.Run, g.isolation.Run, g.progress.Run, g.follow, g.sweep, g.removeLostEntries} {
		running.Go(func() { role(work) })
	}
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		g.drain(servers)
		return nil
	}
}

// sweepInterval is how often unused connections and expired state are discarded.
const sweepInterval = time.Second

func (g *Gateway) sweep(ctx context.Context) {
	for wait.Pause(ctx, sweepInterval) {
		listing := g.catalog.Listing()
		g.pool.CloseStale(func(to upstream.Endpoint) bool {
			server := listing.Servers[to.ID]
			return server != nil && upstream.EndpointOf(server) == to
		})
		g.relay.Sweep()
		g.callers.Enforce()
		g.local.Sweep()
		g.limits.Sweep(listing)
		g.backoff.Sweep(listing)
		g.standing.Sweep()
		g.countColdGrants()
		if n := g.roster.Len(); n > 1 {
			g.retries.Resize(n)
		}
	}
}

// server is one listener with its handler.
type server struct {
	http     *ingress.Server
	listener net.Listener
}

func (s *server) serve() error {
	err := s.http.Serve(s.listener)
	if err == nil {
		select {} // closed by drain; Run returns by itself
	}
	return err
}

const (
	// idleTimeout is longer than the keep-alive time that operators announce to callers, so that callers, not the gateway, close idle
	// connections.
	idleTimeout = 60 * time.Second
	// headerTimeout bounds the time in which a request's header is read, maxHeaderBytes its size.
	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 16 << 10
)

func (g *Gateway) listen() ([]*server, error) {
	listeners := []struct {
		address       string
		receiveBuffer int
		handler       http.Handler
		unanswered    func(ingress.Unanswered)
		options       []ingress.Option
	}{
		{g.config.CallerAddress, connections.CallersBuffer, g.gate.Wrap(g.relay), g.requestUnanswered, nil},
		{g.config.ReadyAddress, connections.OtherBuffer, ingress.WithoutBodies(g.ready), func(ingress.Unanswered) {}, []ingress.Option{ingress.WithReserve()}},
		{g.config.DirectoryAddress, connections.OtherBuffer, ingress.WithoutBodies(g.lookup), func(ingress.Unanswered) {}, nil},
		{g.config.MetricsAddress, connections.OtherBuffer, ingress.WithoutBodies(g.metrics), func(ingress.Unanswered) {}, []ingress.Option{ingress.WithReserve()}},
	}
	var servers []*server
	for _, m := range listeners {
		listener, err := ingress.Listen(m.address, m.receiveBuffer)
		if err != nil {
			return nil, err
		}
		servers = append(servers, &server{
			listener: listener,
			http: ingress.New(&http.Server{
				Handler: m.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
				ConnContext: framing.WithConn,
				ErrorLog:    log.New(io.Discard, "", 0), // the relay reports failures of requests
			}, m.unanswered, append(m.options, ingress.WithConnections(g.callers))...),
		})
	}
	return servers, nil
}

// ready answers the platform's readiness checks.
func (g *Gateway) ready(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path != platform.PathReady {
		http.NotFound(w, request)
		return
	}
	if g.leaving.Load() || g.catalog.Table() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// lookup answers a caller's query for the entries to use.
func (g *Gateway) lookup(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path != platform.PathLookup {
		http.NotFound(w, request)
		return
	}
	if !g.knowsEntries() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	asked := platform.DecodeLookup(request)
	addresses, keep := g.roster.Answer(directory.Caller{Place: asked.Region, FailureDomain: asked.Zone})
	body, err := json.Marshal(platform.NewLookupAnswer(addresses, keep))
	if err != nil || len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // a caller that lost its connection asks again
}

// startupHoldoff is how long a process that joins running entries answers no look-ups before it has learned which entries are live. An
// entry connects to the leader within about four seconds, even when all have started at once; callers keep their last answer
// meanwhile.
const startupHoldoff = 8 * time.Second

// knowsEntries reports whether this process can tell which entries are live. The registrations include entries that were lost for
// good, and a process that has just started would send callers there. Callers ask another entry meanwhile.
func (g *Gateway) knowsEntries() bool {
	return g.config.FirstStart || g.leaderState.hasMembership() || time.Since(g.started) > startupHoldoff
}

func (g *Gateway) metrics(w http.ResponseWriter, _ *http.Request) {
	metrics.WriteOnce(g.registry, w)
}

// drainPollInterval is how often a stopping process checks whether its requests are finished.
const drainPollInterval = 20 * time.Millisecond

// drain performs a planned stop: it takes the entry out of the directory and reports not ready at once, goes on serving while callers
// may still send requests, and returns shortly before the grace period ends, or earlier once no more requests arrive.
func (g *Gateway) drain(servers []*server) {
	g.log.Info(logline.Leaving)
	g.leaving.Store(true)
	g.gate.Leave()
	plan, began := stopping.NewPlan(g.config.stopGrace()), time.Now()
	g.relay.Stop(plan)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(plan.Exit))
	defer cancel()
	go g.roster.Leave(ctx)
	g.serveUntilQuiet(ctx, began.Add(plan.Accept))
	callers := servers[0].http
	if !g.finishRequests(callers, time.Until(began.Add(plan.Answer))) {
		g.relay.EndRequests()
		// A process that was suspended may be late. Its requests are answered all the same, unless it is killed first.
		g.finishRequests(callers, plan.Exit-plan.Answer)
	}
	g.logUnfinished(callers)
	for _, server := range servers[1:] {
		_ = server.http.Shutdown(ctx)
	}
}

// finishRequests waits until no request is in progress and callers' connections are closed, for at most a timeout, and reports whether that is so.
func (g *Gateway) finishRequests(callers *ingress.Server, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if callers.Shutdown(ctx) != nil {
		return false
	}
	for g.relay.InProgress() > 0 {
		if !wait.Pause(ctx, drainPollInterval) {
			return false
		}
	}
	return true
}

// quietPeriod is how long no request may be in progress before the listener is closed.
const quietPeriod = 1500 * time.Millisecond

// serveUntilQuiet returns when callers have stopped sending requests, or at a time.
func (g *Gateway) serveUntilQuiet(ctx context.Context, latest time.Time) {
	quiet := time.Now()
	for time.Now().Before(latest) && time.Since(quiet) < quietPeriod && ctx.Err() == nil {
		if g.relay.InProgress() > 0 {
			quiet = time.Now()
		}
		time.Sleep(drainPollInterval)
	}
}
