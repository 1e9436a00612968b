// Package entry assembles one process of an entry VM from its roles: front, home, controller, directory,
// and what they share.
//
// The flow of a request: front (this entry, to which the caller connected) -> dispatcher -> home of the
// group (an entry named by rendezvous hashing) -> engine of the group's head. Placements, settings and
// entries come by the mirror; liveness and the state of groups by rumours among the entries.
package entry

import (
	"context"
	"errors"
	"net"
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
	"github.com/skylarkpond/skylarkpond/internal/lateread"
	"github.com/skylarkpond/skylarkpond/internal/wait"
	"github.com/skylarkpond/skylarkpond/link/peer"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/timeline"
)

// errNotLive is shown to operators for an entry that is held dead.
var errNotLive = eris.New("entry is held dead")

// ErrSuperseded ends an entry whose name another process has taken.
var ErrSuperseded = eris.New("another process has taken this entry's name")

// Entry is one assembled process. Run makes it work.
type Entry struct {
	config       Config
	log          *logrus.Entry
	recorder     *timeline.Recorder
	registration *registration
	members      *member.Members
	homes        *homes
	pinger       member.Pinger
	mirror       *mirror.Mirror
	follower     *mirror.Follower
	prober       *prober.Prober
	admission    *admission.Admission
	purger       *attempt.Purger
	owners       owners
	reach        *reach.Reach
	guard        *guard.Guard
	controller   *controller.Controller
	front        *front.Front
	directory    *directory.Directory
	gate         *drain.Gate
	operator     *operator.Server
	overview     *overview
	dispatcher   *dispatcher
	router       *routing.Router
	peerClient   *peer.Client
	peerServer   *peer.Server
	inForce      *settingsInForce
	metrics      *measures
	// settled is closed once settings are in force that were compared with those of others.
	settled chan struct{}
}

// finishMargin is what a planned stop waits beyond the longest time that a request may last.
const finishMargin = 30 * time.Second

// role is a part of the entry that runs for as long as the entry does. One that returns an error ends it.
type role func(ctx context.Context) error

// always makes a role of what runs until its context ends.
func always(run func(ctx context.Context)) role {
	return func(ctx context.Context) error {
		run(ctx)
		return nil
	}
}

func (e *Entry) roles(sockets *sockets, public, admin *http.Server) []role {
	return []role{
		func(ctx context.Context) error { return e.peerServer.Serve(ctx, sockets.peer) },
		func(ctx context.Context) error { return e.members.Run(ctx, e.pinger) },
		always(e.homes.Run),
		always(e.follower.Run),
		always(e.prober.Run),
		always(e.admission.Run),
		always(e.guard.Run),
		always(e.reach.Run),
		always(e.controller.Run),
		always(e.directory.Run),
		always(func(ctx context.Context) { e.purger.Run(ctx, purgeInterval, e.purges, e.purged) }),
		e.watchMembers,
		always(e.settle),
		func(ctx context.Context) error { return e.serveSettled(ctx, public, sockets.public) },
		func(ctx context.Context) error { return e.serveSettled(ctx, admin, sockets.admin) },
	}
}

// readHeaderTimeout bounds how long a client may take to send a request's header.
const readHeaderTimeout = 10 * time.Second

// Run serves until ctx ends, then drains: it leaves the directory, keeps serving for longer than callers
// may keep its address, finishes the requests in progress, and returns. The roles go on until then.
func (e *Entry) Run(ctx context.Context, sockets *sockets) error {
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	var running sync.WaitGroup
	defer running.Wait()
	defer stopWork()
	public := &http.Server{Handler: e.publicHandler(), ReadHeaderTimeout: readHeaderTimeout}
	admin := &http.Server{Handler: e.adminHandler(), ReadHeaderTimeout: readHeaderTimeout}
	defer func() { _ = admin.Close() }()
	defer func() { _ = public.Close() }()
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

func serveHTTP(server *http.Server, listener net.Listener) error {
	err := server.Serve(lateread.Listen(listener))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// drain is the planned stop. Callers' requests are over when their connections are closed, which is after
// the last byte of each answer; those of other entries' fronts are counted with them.
func (e *Entry) drain(public *http.Server) error {
	e.log.Info("leaving")
	closed := make(chan struct{})
	steps := drain.Steps{
		Leave: func() {
			e.members.Leave()
			e.gate.Leave()
		},
		Publish:          func(ctx context.Context) error { return e.registration.publish(ctx, true) },
		AddressHeldUntil: e.directory.KeptUntil,
		Close: func() {
			go func() {
				defer close(closed)
				_ = public.Shutdown(context.Background())
			}()
		},
		InProgress: func() int {
			return int(e.dispatcher.serving.Load()) + e.dispatcher.home.PendingReleases() + max(e.gate.InProgress(), unfinished(closed))
		},
		OnPhase: e.recordPhase,
	}
	config := drain.Config{Margin: e.config.DrainMargin, FinishTimeout: e.longestRequest() + finishMargin}
	return drain.New(config, steps, drain.SystemClock{}).Run(context.Background())
}

// longestRequest is the longest deadline that a caller may name.
func (e *Entry) longestRequest() time.Duration {
	longest := time.Duration(0)
	for _, service := range e.inForce.Snapshot().Services {
		longest = max(longest, service.MaxRequestTimeout)
	}
	return longest
}

// unfinished is 1 until closed is.
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

// purgeInterval is how often expired attempt records are looked for: one list of the kind, by one entry.
const purgeInterval = 10 * time.Minute

// purges says whether this entry is the one that purges attempt records.
func (e *Entry) purges() bool {
	return domain.Owner(string(platform.KindAttempt), e.owners.Live()) == e.config.Name
}

func (e *Entry) purged(deleted int, err error) {
	log := e.log.WithField("deleted", deleted)
	if err != nil {
		log.WithError(err).Warn("attempt records could not all be purged")
		return
	}
	log.Debug("attempt records purged")
}

const membersCheck = time.Second

// watchMembers stops an old process whose name was given to a new one, and tells the router how many
// fronts share the load.
func (e *Entry) watchMembers(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.Pause(ctx, membersCheck)
		e.router.SetFrontCount(len(e.members.Live()))
		if e.members.Superseded() {
			return ErrSuperseded
		}
	}
	return nil
}
