package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync/atomic"
	"time"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/entry/fleet"
	"github.com/skylarkpond/skylarkpond/entry/front"
	"github.com/skylarkpond/skylarkpond/entry/home"
	"github.com/skylarkpond/skylarkpond/entry/member"
	"github.com/skylarkpond/skylarkpond/internal/wait"
	"github.com/skylarkpond/skylarkpond/link/peer"
	"github.com/skylarkpond/skylarkpond/policy/shift"
	"github.com/skylarkpond/skylarkpond/timeline"
	"github.com/skylarkpond/skylarkpond/vm"
)

// pathDispatch is the path to which the fronts of other entries send dispatches.
const pathDispatch = "/peer/v1/dispatch"

// dispatcher sends dispatches from this entry's front to the home of a group: by a function call if this entry is
// the home, otherwise over the peer link.
type dispatcher struct {
	self        string
	table       *fleet.Table
	homes       *homeCandidates
	home        *home.Home
	members     *member.Members
	incarnation string // of this process
	client      *peer.Client
	recorder    *timeline.Recorder
	// ready is closed once the settings of this entry are in force.
	ready <-chan struct{}
	// serving counts the dispatches in progress at this entry's home role, from any front. A claimed request
	// continues after its caller has disconnected, so a planned stop must wait for this count and not only for the
	// callers' connections.
	serving atomic.Int64
}

// Next implements front.Homes.
func (d *dispatcher) Next(group vm.GroupID, asked []string, named string) (string, bool) {
	query := shift.HomeQuery{Computed: d.table.HomeOf(group), Asked: asked}
	if query.Computed != "" && len(asked) == 0 {
		return query.Next()
	}
	live := liveMembership{d.members}.Live()
	if _, ok := d.addressOf(named); ok {
		query.Named = named
	}
	// The role of the home at this entry refuses what this entry does not compute itself.
	others := slices.DeleteFunc(live, func(name string) bool { return name == d.self })
	query.Ranked = fleet.RankHomes(group, others, shift.MaxAsked)
	return query.Next()
}

// Eligible implements front.Homes.
func (d *dispatcher) Eligible() ([]string, time.Duration) {
	return d.homes.Eligible(), d.homes.EligibleFor()
}

// Dispatch implements front.Dispatcher.
func (d *dispatcher) Dispatch(ctx context.Context, homeName string, request contract.Dispatch) (front.FrameStream, error) {
	request.HLCTime = d.recorder.Now()
	d.recorder.Record(timeline.Event{
		Kind: timeline.RequestDispatched, Request: request.RequestID, Group: string(request.Group), Peer: homeName,
	})
	if homeName == d.self {
		return d.observe(request, d.dispatchLocally(ctx, request)), nil
	}
	address, ok := d.addressOf(homeName)
	if !ok {
		return nil, fmt.Errorf("%w: %s is not live", front.ErrNotSent, homeName)
	}
	receiver, err := d.send(ctx, address, request)
	if errors.Is(err, peer.ErrNotSent) {
		return nil, fmt.Errorf("%w: %w", front.ErrNotSent, err)
	}
	if err != nil {
		return nil, err
	}
	return d.observe(request, &remoteFrames{receiver: receiver}), nil
}

// send sends a dispatch to the entry at address. It waits for a moment if that entry does not know this process yet.
func (d *dispatcher) send(ctx context.Context, address string, request contract.Dispatch) (*peer.Receiver, error) {
	start, timeout := time.Now(), request.Timeout
	for {
		receiver, err := d.client.Stream(ctx, address, pathDispatch, request)
		if !errors.Is(err, peer.ErrUntrusted) {
			return receiver, err
		}
		pause, ok := shift.AwaitIntroduction(d.members.Self().Joining, time.Since(start))
		if !ok || !wait.Pause(ctx, pause) {
			return nil, err
		}
		request.Timeout = timeout - time.Since(start)
	}
}

func (d *dispatcher) observe(request contract.Dispatch, frames front.FrameStream) front.FrameStream {
	return &observedFrames{FrameStream: frames, request: request, table: d.table, recorder: d.recorder}
}

// observedFrames records the group's load and the sender's time that frames carry in addition to the response.
type observedFrames struct {
	front.FrameStream
	request  contract.Dispatch
	table    *fleet.Table
	recorder *timeline.Recorder
}

// Next implements front.FrameStream.
func (o *observedFrames) Next() (contract.Frame, error) {
	frame, err := o.FrameStream.Next()
	if err != nil {
		return frame, err
	}
	if frame.Load != nil {
		o.table.ReportLoad(o.request.Group, *frame.Load)
	}
	if frame.HLCTime != 0 {
		o.recorder.Observe(frame.HLCTime)
	}
	return frame, nil
}

// remoteFrames reads the frames sent by a home in another process.
type remoteFrames struct{ receiver *peer.Receiver }

// Next implements front.FrameStream.
func (r *remoteFrames) Next() (contract.Frame, error) {
	var frame contract.Frame
	err := r.receiver.Next(&frame)
	return frame, err
}

// Close implements front.FrameStream.
func (r *remoteFrames) Close() { r.receiver.Close() }

// localFrames passes on the frames of this entry's home role. After localFrameBuffer frames a slow caller blocks
// the home, as a full stream window does between processes.
type localFrames struct {
	ctx    context.Context
	cancel context.CancelFunc
	frames chan contract.Frame
}

const localFrameBuffer = 64

func (d *dispatcher) dispatchLocally(ctx context.Context, request contract.Dispatch) front.FrameStream {
	ctx, cancel := context.WithCancel(ctx)
	l := &localFrames{ctx: ctx, cancel: cancel, frames: make(chan contract.Frame, localFrameBuffer)}
	d.serving.Add(1)
	go func() {
		defer d.serving.Add(-1)
		defer close(l.frames)
		_ = d.serve(ctx, request, l.send)
	}()
	return l
}

// serve passes a dispatch to this entry's home role. Other entries make this one the home of groups as soon as it is
// live, which may be before it has settings. The home refuses what its settings don't declare yet.
func (d *dispatcher) serve(ctx context.Context, request contract.Dispatch, send func(contract.Frame) error) error {
	start := time.Now()
	timer := time.NewTimer(shift.MaxPreparation)
	defer timer.Stop()
	select {
	case <-d.ready:
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	request.Timeout -= time.Since(start)
	return d.home.Dispatch(ctx, request, send)
}

func (l *localFrames) send(frame contract.Frame) error {
	select {
	case l.frames <- frame:
		return nil
	case <-l.ctx.Done():
		return l.ctx.Err()
	}
}

// Next implements front.FrameStream.
func (l *localFrames) Next() (contract.Frame, error) {
	select {
	case frame, ok := <-l.frames:
		if !ok {
			return frame, io.EOF
		}
		return frame, nil
	case <-l.ctx.Done():
		return contract.Frame{}, l.ctx.Err()
	}
}

// Close implements front.FrameStream.
func (l *localFrames) Close() { l.cancel() }

// addressOf returns the address at which another entry accepts calls, and false if that entry is not live. While this
// entry is joining, it has not heard of all live ones yet, and takes the word of those that name one to it.
func (d *dispatcher) addressOf(name string) (string, bool) {
	known := d.members.Live()
	if d.members.Self().Joining {
		known = d.members.Peers()
	}
	for _, p := range known {
		if p.Name == name {
			return p.PeerAddress, !p.Leaving
		}
	}
	return "", false
}

// register registers the handlers for the calls of other entries' fronts.
func (d *dispatcher) register(server *peer.Server) {
	peer.HandleStream(server, pathDispatch, func(ctx context.Context, _ string, request contract.Dispatch, send func(v any) error) error {
		d.serving.Add(1)
		defer d.serving.Add(-1)
		return d.serve(ctx, request, func(frame contract.Frame) error { return send(frame) })
	})
	d.registerClaimQueries(server)
}
