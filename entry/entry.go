// Package entry assembles an entry from its roles (front, home, controller, directory) and the components they share.
// An entry is one proxy process that callers connect to; it runs on an entry VM.
//
// A group is a set of VMs that together run one replica of a service. A request passes from its front, the entry that
// the caller is connected to, through the dispatcher to the home of the group, the entry (chosen by rendezvous
// hashing) that queues the group's requests and sends them to its backend servers, and on to the engine of the group's
// head, the member that takes the requests. Placements, settings and entries are received through the mirror;
// liveness and group states through gossip between the entries.
package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/skylarkpond/skylarkpond/contract/attempt"
	"github.com/skylarkpond/skylarkpond/domain"
	"github.com/skylarkpond/skylarkpond/entry/admission"
	"github.com/skylarkpond/skylarkpond/entry/controller"
	"github.com/skylarkpond/skylarkpond/entry/directory"
	"github.com/skylarkpond/skylarkpond/entry/drain"
	"github.com/skylarkpond/skylarkpond/entry/front"
	"github.com/skylarkpond/skylarkpond/entry/guard"
	"github.com/skylarkpond/skylarkpond/entry/member"
	"github.com/skylarkpond/skylarkpond/entry/mirror"
	"github.com/skylarkpond/skylarkpond/entry/operator"
	"github.com/skylarkpond/skylarkpond/entry/prober"
	"github.com/skylarkpond/skylarkpond/entry/reach"
	"github.com/skylarkpond/skylarkpond/entry/routing"
	"github.com/skylarkpond/skylarkpond/internal/wait"
	"github.com/skylarkpond/skylarkpond/link/framing"
	"github.com/skylarkpond/skylarkpond/link/ingress"
	"github.com/skylarkpond/skylarkpond/link/peer"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/logline"
	"github.com/skylarkpond/skylarkpond/timeline"
)

// errNotLive is reported to operators for an entry that is considered dead.
var errNotLive = eris.New("entry is held dead")

// ErrSuperseded is returned by a process whose entry name has been taken over by another process.
var ErrSuperseded = eris.New("another process has taken this entry's name")

// Entry is one assembled process. Run starts its roles.
type Entry struct {
	config          Config
	log             *logrus.Entry
	recorder        *timeline.Recorder
	registration    *registration
	members         *member.Members
	homes           *homeCandidates
	pinger          member.Pinger
	mirror          *mirror.Mirror
	follower        *mirror.Follower
	prober          *prober.Prober
	admission       *admission.Admission
	purger          *attempt.Purger
	membership      liveMembership
	reach           *reach.Tracker
	guard           *guard.Guard
	controller      *controller.Controller
	front           *front.Front
	directory       *directory.Directory
	gate            *drain.Gate
	callers         *ingress.Connections
	operator        *operator.Server
	statusCollector *statusCollector
	dispatcher      *dispatcher
	router          *routing.Router
	peerClient      *peer.Client
	peerServer      *peer.Server
	inForce         *settingsInForce
	metrics         *processMetrics
	// settingsReady is closed once settings that have been compared with those of other entries are in force.
	settingsReady chan struct{}
}

// finishTimeoutMargin is how much longer than the longest request a planned stop waits.
const finishTimeoutMargin = 30 * time.Second

// role is a component that runs as long as the entry does. An error returned by a role stops the entry.
type role func(ctx context.Context) error

// untilDone adapts a function that runs until its context ends to a role.
func untilDone(run func(ctx context.Context)) role {
	return func(ctx context.Context) error {
		run(ctx)
		return nil
	}
}

func (e *Entry) roles(sockets *sockets, public, admin *ingress.Server) []role {
	return []role{
		func(ctx context.Context) error { return e.peerServer.Serve(ctx, sockets.peer) },
		func(ctx context.Context) error { return e.members.Run(ctx, e.pinger) },
		untilDone(e.homes.Run),
		untilDone(e.follower.Run),
		untilDone(e.prober.Run),
		untilDone(e.admission.Run),
		untilDone(e.guard.Run),
		untilDone(e.reach.Run),
		untilDone(e.controller.Run),
		untilDone(e.directory.Run),
		untilDone(func(ctx context.Context) { e.purger.Run(ctx, purgeInterval, e.isPurger, e.logPurge) }),
		e.watchMembers,
		untilDone(e.syncSettings),
		untilDone(e.boundConnections),
		func(ctx context.Context) error { return e.serveWhenReady(ctx, public, sockets.public) },
		func(ctx context.Context) error { return e.serveWhenReady(ctx, admin, sockets.admin) },
	}
}

// connectionsInterval is the interval between checks whether the process's own connections leave room for those of callers.
const connectionsInterval = time.Second

func (e *Entry) boundConnections(ctx context.Context) {
	for wait.Pause(ctx, connectionsInterval) {
		e.callers.Enforce()
	}
}

// readHeaderTimeout limits how long a client may take to send a request's header, maxHeaderBytes its size.
const (
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 32 << 10
)

// Run serves until ctx ends and then drains: the entry leaves the directory, keeps serving for longer than callers
// may cache its address, finishes the requests in progress and returns. The roles keep running until then.
func (e *Entry) Run(ctx context.Context, sockets *sockets) error {
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	var running sync.WaitGroup
	defer running.Wait()
	defer stopWork()
	public := ingress.New(&http.Server{
		Handler: e.publicHandler(), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, ConnContext: framing.WithConn,
	}, e.requestUnanswered, ingress.WithConnections(e.callers))
	admin := ingress.New(&http.Server{
		Handler: e.adminHandler(), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
	}, e.requestUnanswered, ingress.WithConnections(e.callers), ingress.WithReserve())
	defer shutDown(e.log, admin, adminShutdownTimeout)
	defer shutDown(e.log, public, endTimeout)
	defer e.front.EndRequests() // there are none unless a role has failed
	failed := make(chan error, 1)
	for _, run := range e.roles(sockets, public, admin) {
		running.Go(func() {
			if err := run(work); err != nil {
				select {
				case failed <- err:
				default:
				}
			}
		})
	}
	e.recorder.Record(timeline.Event{Kind: timeline.EntryStarted, Entry: e.config.Name, Detail: e.registration.self.Incarnation})
	e.log.WithField("public", sockets.public.Addr().String()).Info("serving")
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return e.drain(public)
	}
}

const (
	// endTimeout limits the wait for the answers to requests that are ended. It covers a seal, a look-up and a query to the holder of a claim.
	endTimeout = 5 * time.Second
	// adminShutdownTimeout is longer than an operator's request takes.
	adminShutdownTimeout = 20 * time.Second
)

// shutDown answers the requests that a server has read and closes it.
func shutDown(log logrus.FieldLogger, server *ingress.Server, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		log.WithField("open", len(server.Open())).Warn("the process ends with requests in progress")
	}
	_ = server.Close()
}

// requestUnanswered logs a connection that ended without an answer to its request, unless its caller closed it first or had not sent the whole
// header.
func (e *Entry) requestUnanswered(request ingress.Unanswered) {
	if request.CallerClosed || request.State == ingress.Header {
		return
	}
	e.log.WithFields(logrus.Fields{
		"caller": request.Remote, "state": request.State, "since_last_byte_ms": request.SinceLastByte.Milliseconds(),
	}).Warn(logline.RequestUnanswered)
}

// drain performs a planned stop. The requests of this entry's callers are finished when their connections are
// closed, which happens after the last byte of each response. Requests from other entries' fronts are counted too.
func (e *Entry) drain(public *ingress.Server) error {
	e.log.Info("leaving")
	closed := make(chan struct{})
	steps := drain.Steps{
		Leave: func() {
			e.members.Leave()
			e.gate.Leave()
		},
		Publish:          func(ctx context.Context) error { return e.registration.publish(ctx, true) },
		AddressHeldUntil: e.directory.LatestExpiry,
		Close: func() {
			go func() {
				defer close(closed)
				_ = public.Shutdown(context.Background())
			}()
		},
		End: e.front.EndRequests,
		InProgress: func() int {
			return int(e.dispatcher.serving.Load()) + e.dispatcher.home.PendingReleases() + max(e.gate.InProgress(), unfinished(closed))
		},
		OnPhase: e.recordPhase,
	}
	config := drain.Config{Margin: e.config.DrainMargin, FinishTimeout: e.longestRequest() + finishTimeoutMargin, EndTimeout: endTimeout}
	return drain.New(config, steps, drain.SystemClock{}).Run(context.Background())
}

// longestRequest returns the longest request timeout that callers of any service may ask for.
func (e *Entry) longestRequest() time.Duration {
	longest := time.Duration(0)
	for _, service := range e.inForce.Snapshot().Services {
		longest = max(longest, service.MaxRequestTimeout)
	}
	return longest
}

// unfinished returns 1 until closed is closed, then 0.
func unfinished(closed <-chan struct{}) int {
	select {
	case <-closed:
		return 0
	default:
		return 1
	}
}

func (e *Entry) recordPhase(phase drain.Phase) {
	kinds := map[drain.Phase]timeline.Kind{drain.Leaving: timeline.EntryLeaving, drain.Stopped: timeline.EntryStopped}
	if kind, ok := kinds[phase]; ok {
		e.recorder.Record(timeline.Event{Kind: kind, Entry: e.config.Name})
	}
}

// purgeInterval is how often expired attempt records are purged. Each purge lists all objects of the kind, from
// one entry.
const purgeInterval = 10 * time.Minute

// isPurger reports whether this entry is the one that purges attempt records.
func (e *Entry) isPurger() bool {
	return domain.Owner(string(platform.KindAttempt), e.membership.Live()) == e.config.Name
}

func (e *Entry) logPurge(deleted int, err error) {
	log := e.log.WithField("deleted", deleted)
	if err != nil {
		log.WithError(err).Warn("failed to purge some attempt records")
		return
	}
	log.Debug("attempt records purged")
}

const memberCheckInterval = time.Second

// watchMembers tells the router how many fronts share the load, and returns ErrSuperseded if a new process has
// taken this entry's name.
func (e *Entry) watchMembers(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.Pause(ctx, memberCheckInterval)
		e.router.SetFrontCount(len(e.members.Live()))
		if e.members.Superseded() {
			return ErrSuperseded
		}
	}
	return nil
}
