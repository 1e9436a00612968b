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

	"github.com/skylarkpond/skylarkpond/entry/admission"
	"github.com/skylarkpond/skylarkpond/entry/controller"
	"github.com/skylarkpond/skylarkpond/entry/front"
	"github.com/skylarkpond/skylarkpond/entry/member"
	"github.com/skylarkpond/skylarkpond/entry/mirror"
	"github.com/skylarkpond/skylarkpond/entry/operator"
	"github.com/skylarkpond/skylarkpond/entry/prober"
	"github.com/skylarkpond/skylarkpond/entry/routing"
	"github.com/skylarkpond/skylarkpond/link/peer"
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
	pinger       member.Pinger
	mirror       *mirror.Mirror
	follower     *mirror.Follower
	prober       *prober.Prober
	admission    *admission.Admission
	controller   *controller.Controller
	front        *front.Front
	operator     *operator.Server
	overview     *overview
	dispatcher   *dispatcher
	router       *routing.Router
	peerClient   *peer.Client
	peerServer   *peer.Server
	inForce      *settingsInForce
	metrics      *measures
}

// shutdownTimeout bounds the wait for requests in progress after the listeners are closed.
const shutdownTimeout = 5 * time.Minute

// Run serves until ctx ends, then drains: it leaves the directory, keeps serving for longer than callers
// may keep its address, finishes the requests in progress, and returns.
func (e *Entry) Run(ctx context.Context, sockets *sockets) error {
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	var running sync.WaitGroup
	defer running.Wait()
	defer stopWork()
	failed := make(chan error, 4)
	start := func(f func(ctx context.Context) error) {
		running.Go(func() {
			if err := f(work); err != nil {
				failed <- err
			}
		})
	}
	public := &http.Server{Handler: e.publicHandler(), ReadHeaderTimeout: 10 * time.Second}
	admin := &http.Server{Handler: e.adminHandler(), ReadHeaderTimeout: 10 * time.Second}

	start(func(ctx context.Context) error { return e.peerServer.Serve(ctx, sockets.peer) })
	start(func(ctx context.Context) error { return e.members.Run(ctx, e.pinger) })
	start(func(ctx context.Context) error { e.follower.Run(ctx); return nil })
	start(func(ctx context.Context) error { e.prober.Run(ctx); return nil })
	start(func(ctx context.Context) error { e.admission.Run(ctx); return nil })
	start(func(ctx context.Context) error { e.controller.Run(ctx); return nil })
	start(func(ctx context.Context) error { return e.watchMembers(ctx) })
	start(func(context.Context) error { return serveHTTP(public, sockets.public) })
	start(func(context.Context) error { return serveHTTP(admin, sockets.admin) })
	e.recorder.Record(timeline.Event{Kind: timeline.EntryStarted, Entry: e.config.Name, Detail: e.registration.self.Incarnation})
	e.log.WithField("public", sockets.public.Addr().String()).Info("serving")

	select {
	case err := <-failed:
		_ = public.Close()
		_ = admin.Close()
		return err
	case <-ctx.Done():
	}
	e.drain(public)
	_ = admin.Close()
	e.recorder.Record(timeline.Event{Kind: timeline.EntryStopped, Entry: e.config.Name})
	return nil
}

func serveHTTP(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// drain is the planned stop. No request is cut: callers that keep the address go on being served until
// none may, homes move as soon as the others hear that this entry leaves, and both listeners wait for
// what is in progress.
func (e *Entry) drain(public *http.Server) {
	e.log.Info("leaving")
	e.recorder.Record(timeline.Event{Kind: timeline.EntryLeaving, Entry: e.config.Name})
	e.members.Leave()
	published, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	go func() { _ = e.registration.publish(published, true) }()
	time.Sleep(e.inForce.Snapshot().AddressTTL + e.config.DrainMargin)
	stopping, cancelStop := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancelStop()
	_ = public.Shutdown(stopping)
	e.waitForDispatches(stopping)
}

// waitForDispatches waits until the homes' work for other fronts is over too.
func (e *Entry) waitForDispatches(ctx context.Context) {
	for ctx.Err() == nil && e.dispatcher.serving.Load() > 0 {
		pause(ctx, 50*time.Millisecond)
	}
}

const membersCheck = time.Second

// watchMembers stops an old process whose name was given to a new one, and tells the router how many
// fronts share the load.
func (e *Entry) watchMembers(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, membersCheck)
		e.router.SetFronts(len(e.members.Live()))
		if e.members.Superseded() {
			return ErrSuperseded
		}
	}
	return nil
}
