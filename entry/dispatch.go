package entry

import (
	"context"
	"errors"
	"io"
	"sync/atomic"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/entry/fleet"
	"github.com/skylarkpond/skylarkpond/entry/front"
	"github.com/skylarkpond/skylarkpond/entry/home"
	"github.com/skylarkpond/skylarkpond/entry/member"
	"github.com/skylarkpond/skylarkpond/link/peer"
	"github.com/skylarkpond/skylarkpond/timeline"
)

// pathDispatch is where the fronts of other entries send dispatches.
const pathDispatch = "/peer/v1/dispatch"

// dispatcher carries dispatches from the own front to the home of a group: by a function call if this
// entry is the home, else over the peer link.
type dispatcher struct {
	self     string
	table    *fleet.Table
	home     *home.Home
	members  *member.Members
	life     string // the own incarnation
	client   *peer.Client
	recorder *timeline.Recorder
	// serving counts the dispatches under way at the own home role, of any front. A claimed one goes on when
	// its caller left, so a planned stop waits for it here, not at the caller's connection.
	serving atomic.Int64
}

// Dispatch implements front.Dispatcher.
func (d *dispatcher) Dispatch(ctx context.Context, request contract.Dispatch) (front.FrameStream, error) {
	owner := d.table.HomeOf(request.Group)
	request.HLCTime = d.recorder.Now()
	d.recorder.Record(timeline.Event{
		Kind: timeline.RequestDispatched, Request: request.RequestID, Group: string(request.Group), Peer: owner,
	})
	if owner == d.self {
		return d.observed(request, d.local(ctx, request)), nil
	}
	address, ok := d.liveAddress(owner)
	if !ok {
		return nil, front.ErrNotSent
	}
	receiver, err := d.client.Stream(ctx, address, pathDispatch, request)
	if errors.Is(err, peer.ErrNotSent) {
		return nil, front.ErrNotSent
	}
	if err != nil {
		return nil, err
	}
	return d.observed(request, &remoteFrames{receiver: receiver}), nil
}

func (d *dispatcher) observed(request contract.Dispatch, frames front.FrameStream) front.FrameStream {
	return &observedFrames{FrameStream: frames, request: request, table: d.table, recorder: d.recorder}
}

// observedFrames takes what frames tell beside the answer: the group's load and the sender's time.
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

// remoteFrames are the frames of a home in another process.
type remoteFrames struct{ receiver *peer.Receiver }

// Next implements front.FrameStream.
func (r *remoteFrames) Next() (contract.Frame, error) {
	var frame contract.Frame
	err := r.receiver.Next(&frame)
	return frame, err
}

// Close implements front.FrameStream.
func (r *remoteFrames) Close() { r.receiver.Close() }

// localFrames are the frames of the own home role. A slow caller holds the home up after localBacklog
// frames, as a full stream window does between processes.
type localFrames struct {
	ctx    context.Context
	cancel context.CancelFunc
	frames chan contract.Frame
}

const localBacklog = 64

func (d *dispatcher) local(ctx context.Context, request contract.Dispatch) front.FrameStream {
	ctx, cancel := context.WithCancel(ctx)
	l := &localFrames{ctx: ctx, cancel: cancel, frames: make(chan contract.Frame, localBacklog)}
	d.serving.Add(1)
	go func() {
		defer d.serving.Add(-1)
		defer close(l.frames)
		_ = d.home.Dispatch(ctx, request, l.send)
	}()
	return l
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

// liveAddress returns where a live entry takes calls from other entries.
func (d *dispatcher) liveAddress(name string) (string, bool) {
	for _, p := range d.members.Live() {
		if p.Name == name {
			return p.PeerAddress, true
		}
	}
	return "", false
}

// register makes the calls that other entries' fronts make.
func (d *dispatcher) register(server *peer.Server) {
	peer.HandleStream(server, pathDispatch, func(ctx context.Context, _ string, request contract.Dispatch, send func(v any) error) error {
		d.serving.Add(1)
		defer d.serving.Add(-1)
		return d.home.Dispatch(ctx, request, func(frame contract.Frame) error { return send(frame) })
	})
	d.registerHolder(server)
}
