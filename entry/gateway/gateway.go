package gateway

import (
	"context"
	"encoding/json"
	"errors"
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

	"github.com/skylarkpond/skylarkpond/entry/catalog"
	"github.com/skylarkpond/skylarkpond/entry/drain"
	"github.com/skylarkpond/skylarkpond/entry/grouping"
	"github.com/skylarkpond/skylarkpond/entry/leader"
	"github.com/skylarkpond/skylarkpond/entry/lease"
	"github.com/skylarkpond/skylarkpond/entry/relay"
	"github.com/skylarkpond/skylarkpond/entry/roster"
	"github.com/skylarkpond/skylarkpond/entry/suspects"
	"github.com/skylarkpond/skylarkpond/entry/turn"
	"github.com/skylarkpond/skylarkpond/internal/lateread"
	"github.com/skylarkpond/skylarkpond/internal/wait"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	"github.com/skylarkpond/skylarkpond/link/peer"
	"github.com/skylarkpond/skylarkpond/link/upstream"
	"github.com/skylarkpond/skylarkpond/logline"
	"github.com/skylarkpond/skylarkpond/platform"
	directory "github.com/skylarkpond/skylarkpond/policy/directory"
)

// Gateway is one assembled process. Run makes it work.
type Gateway struct {
	*shell
	parts
}

// shell is what is there before the parts are made. Parts that need each other both ways reach one another through it: parts is set once
// all are made, and used only from Run on.
type shell struct {
	config    Config
	log       *logrus.Entry
	registry  metrics.Registry
	following *following
	// first and took are the times to the first part of an answer and to its end.
	first, took metrics.Histogram
	leaving     atomic.Bool
	started     time.Time

	parts *parts
}

// parts are the objects that a process works with.
type parts struct {
	catalog    *catalog.Catalog
	roster     *roster.Roster
	lease      *lease.Lease
	controller *grouping.Controller
	relay      *relay.Relay
	local      *turn.Local
	remote     *turn.Remote
	suspects   *suspects.Watch
	retries    *relay.Retries
	leader     *leader.Leader
	links      *link.Server
	identity   *peer.Identity
	pool       *upstream.Pool
	gate       *drain.Gate
}

// Serve runs one gateway until ctx ends and it has drained. reload tells that the platform has changed the settings file.
func Serve(ctx context.Context, config Config, reload <-chan os.Signal) error {
	// Memory is bounded well below that of the VM, so that the collector works harder before the process is killed.
	debug.SetMemoryLimit(int64(config.MemoryMB) << 20 / 2)
	shell, err := newShell(config)
	if err != nil {
		return err
	}
	g, err := assemble(shell)
	if err != nil {
		return err
	}
	g.connect()
	go g.reloads(ctx, reload)
	return g.Run(ctx)
}

// reloads notes each wish to read the settings anew. Those of this process come with its start, and everything that changes while it
// runs comes from the platform; without the handler the signal would end the process and cut its requests.
func (g *Gateway) reloads(ctx context.Context, reload <-chan os.Signal) {
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
	socket, err := net.ListenPacket("udp", g.config.Peer)
	if err != nil {
		return eris.Wrap(err, "listening at "+g.config.Peer)
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
	for _, role := range []func(context.Context){g.catalog.Run, g.roster.Run, g.lease.Run, g.controller.Run, g.leader.Run, g.follow, g.sweep} {
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

// sweepEvery is how often what is no longer needed is let go.
const sweepEvery = time.Second

func (g *Gateway) sweep(ctx context.Context) {
	for wait.Pause(ctx, sweepEvery) {
		listing := g.catalog.Listing()
		g.pool.CloseStale(func(to upstream.Endpoint) bool {
			server := listing.Servers[to.ID]
			return server != nil && upstream.EndpointOf(server) == to
		})
		g.local.Sweep()
		if n := g.roster.Len(); n > 1 {
			g.retries.Resize(n)
		}
	}
}

// server is one listener with its handler.
type server struct {
	http     *http.Server
	listener net.Listener
}

func (s *server) serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		select {} // it was closed in order; Run returns
	}
	return err
}

const (
	// idleTimeout is above what operators tell callers, so that it is the caller who closes an idle connection.
	idleTimeout = 60 * time.Second
	// headerTimeout and headerBytes bound a request's header.
	headerTimeout = 5 * time.Second
	headerBytes   = 16 << 10
)

func (g *Gateway) listen() ([]*server, error) {
	mux := []struct {
		address string
		handler http.Handler
	}{
		{g.config.Callers, g.gate.Wrap(g.relay)},
		{g.config.Ready, http.HandlerFunc(g.ready)},
		{g.config.Directory, http.HandlerFunc(g.lookup)},
		{g.config.Metrics, http.HandlerFunc(g.metrics)},
	}
	var servers []*server
	for _, m := range mux {
		listener, err := net.Listen("tcp", m.address)
		if err != nil {
			return nil, eris.Wrap(err, "listening at "+m.address)
		}
		servers = append(servers, &server{
			listener: lateread.Listen(listener),
			http: &http.Server{
				Handler: m.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
				ErrorLog: log.New(io.Discard, "", 0), // what matters of a request is reported by the relay
			},
		})
	}
	return servers, nil
}

// ready answers the platform's checks.
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

// lookup tells a caller which entries to use.
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
	_, _ = w.Write(body) // a caller that is gone asks again
}

// uninformedFor is how long a process that starts among others answers no caller before it has heard which of them are live. An entry links
// to the one in charge within some four seconds also when all have started at once; callers keep their last answer meanwhile.
const uninformedFor = 8 * time.Second

// knowsEntries says whether this process can tell which entries work. What is registered includes those that were lost for good: right
// after its start it would send callers there. Callers ask another entry meanwhile.
func (g *Gateway) knowsEntries() bool {
	return g.config.First || g.following.informed() || time.Since(g.started) > uninformedFor
}

func (g *Gateway) metrics(w http.ResponseWriter, _ *http.Request) {
	metrics.WriteOnce(g.registry, w)
}

// drainLook is how often a stopping process looks whether its requests are done.
const drainLook = 20 * time.Millisecond

// drain is the planned stop: out of the directory and not ready at once; it serves on while callers may still come, and
// ends when the grace is nearly over, or earlier once nothing comes any more.
func (g *Gateway) drain(servers []*server) {
	g.log.Info(logline.Leaving)
	g.leaving.Store(true)
	g.gate.Leave()
	deadline := time.Now().Add(g.config.grace() - graceMargin)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	go g.roster.Leave(ctx)
	g.serveOn(ctx)
	closed := make(chan struct{})
	go func() {
		_ = servers[0].http.Shutdown(ctx)
		close(closed)
	}()
	select {
	case <-closed:
	case <-ctx.Done():
	}
	for g.relay.InProgress() > 0 && ctx.Err() == nil {
		time.Sleep(drainLook)
	}
	g.log.WithField("unfinished", g.relay.InProgress()).Info(logline.Stopped)
}

const (
	// graceMargin is left of the grace, so that the process ends by itself.
	graceMargin = 300 * time.Millisecond
	// takeFor is how long a stopping process takes new requests at the most, and half of the grace in any case. A stream may last nearly as
	// long as the grace; one that is taken later is cut when the grace is over, while other entries could have served it whole.
	// Operators excuse that for what was sent up to 3 s after the signal.
	takeFor = 2800 * time.Millisecond
	// quietFor is how long no request must have come before the listener is closed.
	quietFor = 1500 * time.Millisecond
)

// serveOn returns when callers have stopped coming, or when what comes later might not end inside the grace.
func (g *Gateway) serveOn(ctx context.Context) {
	latest := time.Now().Add(min(takeFor, g.config.grace()/2))
	quiet := time.Now()
	for time.Now().Before(latest) && time.Since(quiet) < quietFor && ctx.Err() == nil {
		if g.relay.InProgress() > 0 {
			quiet = time.Now()
		}
		time.Sleep(drainLook)
	}
}
