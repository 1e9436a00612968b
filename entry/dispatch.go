package entry

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/outcome"
	"github.com/skylarkpond/skylarkpond/entry/fleet"
	"github.com/skylarkpond/skylarkpond/entry/front"
	"github.com/skylarkpond/skylarkpond/entry/home"
	"github.com/skylarkpond/skylarkpond/entry/member"
	"github.com/skylarkpond/skylarkpond/link/peer"
	"github.com/skylarkpond/skylarkpond/timeline"
	"github.com/skylarkpond/skylarkpond/vm"
)

// Paths of the calls between entries.
const (
	pathDispatch = "/peer/v1/dispatch"
	pathWorking  = "/peer/v1/working"
	pathGaveUp   = "/peer/v1/gave-up"
)

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
	// loadOf gives the load of a group at the own home role.
	loadOf func(vm.GroupID) contract.GroupLoad
}

// Dispatch implements front.Dispatcher.
func (d *dispatcher) Dispatch(ctx context.Context, request contract.Dispatch) (front.Frames, error) {
	owner := d.table.HomeOf(request.Group)
	request.Time = d.recorder.Now()
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

func (d *dispatcher) observed(request contract.Dispatch, frames front.Frames) front.Frames {
	return &observedFrames{Frames: frames, request: request, table: d.table, recorder: d.recorder}
}

// observedFrames takes what frames tell beside the answer: the group's load and the sender's time.
type observedFrames struct {
	front.Frames
	request  contract.Dispatch
	table    *fleet.Table
	recorder *timeline.Recorder
}

// Next implements front.Frames.
func (o *observedFrames) Next() (contract.Frame, error) {
	frame, err := o.Frames.Next()
	if err != nil {
		return frame, err
	}
	if frame.Load != nil {
		o.table.ReportLoad(o.request.Group, *frame.Load)
	}
	if frame.Time != 0 {
		o.recorder.Observe(frame.Time)
	}
	return frame, nil
}

// remoteFrames are the frames of a home in another process.
type remoteFrames struct{ receiver *peer.Receiver }

// Next implements front.Frames.
func (r *remoteFrames) Next() (contract.Frame, error) {
	var frame contract.Frame
	err := r.receiver.Next(&frame)
	return frame, err
}

// Close implements front.Frames.
func (r *remoteFrames) Close() { r.receiver.Close() }

// localFrames are the frames of the own home role. A slow caller holds the home up after localBacklog
// frames, as a full stream window does between processes.
type localFrames struct {
	ctx    context.Context
	cancel context.CancelFunc
	frames chan contract.Frame
}

const localBacklog = 64

func (d *dispatcher) local(ctx context.Context, request contract.Dispatch) front.Frames {
	ctx, cancel := context.WithCancel(ctx)
	l := &localFrames{ctx: ctx, cancel: cancel, frames: make(chan contract.Frame, localBacklog)}
	d.serving.Add(1)
	go func() {
		defer d.serving.Add(-1)
		defer close(l.frames)
		_ = d.home.Dispatch(ctx, request, func(frame contract.Frame) error { return l.send(d.stamped(request, frame)) })
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

// Next implements front.Frames.
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

// Close implements front.Frames.
func (l *localFrames) Close() { l.cancel() }

// stamped adds to a frame what it tells beside the answer. Every first and last frame carries the load;
// those between would only repeat it.
func (d *dispatcher) stamped(request contract.Dispatch, frame contract.Frame) contract.Frame {
	frame.Time = d.recorder.Now()
	switch frame.Kind {
	case contract.FrameQueued, contract.FrameRefused, contract.FrameEnd, contract.FrameBroken:
		load := d.loadOf(request.Group)
		frame.Load = &load
	}
	return frame
}

// working is asked of the holder of a claim.
type working struct {
	Incarnation string `cbor:"1,keyasint"`
	RequestID   string `cbor:"2,keyasint"`
	// Nonce is that of the claim.
	Nonce string `cbor:"3,keyasint,omitempty"`
}

// Ask implements front.Holders. No answer counts as silent: the caller is then told unknown, which is true whatever
// the holder does.
func (d *dispatcher) Ask(ctx context.Context, claim contract.Attempt) outcome.HolderAnswer {
	question := working{Incarnation: claim.Incarnation, RequestID: claim.RequestID, Nonce: claim.Nonce}
	address := ""
	if claim.Home != d.self {
		holder, ok := d.holder(claim)
		if !ok {
			return outcome.HolderSilent
		}
		address = holder.PeerAddress
		if holder.State == member.Dead || holder.Unreachable {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, lostHolderTimeout)
			defer cancel()
		}
	}
	switch {
	case d.answers(ctx, claim.Home, address, pathWorking, question, d.atWork):
		return outcome.HolderWorking
	case d.answers(ctx, claim.Home, address, pathGaveUp, question, d.gaveUp):
		return outcome.HolderGaveUp
	}
	return outcome.HolderSilent
}

// lostHolderTimeout bounds the question to a holder that is held dead. It may be awake again, or cut off from others
// alone; then it answers in milliseconds. The caller waits for it.
const lostHolderTimeout = 300 * time.Millisecond

// holder returns the entry that holds a claim, in whatever state: one that is leaving finishes its work, and one that
// is held dead may live. A later life of the entry knows nothing of the claim.
func (d *dispatcher) holder(claim contract.Attempt) (member.Peer, bool) {
	for _, p := range d.members.Peers() {
		if p.Name == claim.Home {
			return p, p.Incarnation == claim.Incarnation
		}
	}
	return member.Peer{}, false
}

// answers puts a question to the holder, by a function call if that is this entry.
func (d *dispatcher) answers(ctx context.Context, holder, address, path string, question working, own func(working) bool) bool {
	if holder == d.self {
		return own(question)
	}
	var answer bool
	err := d.client.Call(ctx, address, path, question, &answer)
	return err == nil && answer
}

func (d *dispatcher) atWork(question working) bool {
	return question.Incarnation == d.life && d.home.Working(question.RequestID)
}

func (d *dispatcher) gaveUp(question working) bool {
	return question.Incarnation == d.life && d.home.GaveUp(question.Nonce)
}

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
		return d.home.Dispatch(ctx, request, func(frame contract.Frame) error {
			return send(d.stamped(request, frame))
		})
	})
	peer.Handle(server, pathWorking, func(_ context.Context, _ string, question working) (bool, error) {
		return d.atWork(question), nil
	})
	peer.Handle(server, pathGaveUp, func(_ context.Context, _ string, question working) (bool, error) {
		return d.gaveUp(question), nil
	})
}
