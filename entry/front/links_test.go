package front_test

import (
	"context"
	"io"
	"strings"
	"sync"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/outcome"
	"github.com/skylarkpond/skylarkpond/entry/front"
	"github.com/skylarkpond/skylarkpond/vm"
)

// fault befalls a dispatch at its frame of this kind.
type fault struct {
	at   contract.FrameKind
	what what
}

type what uint8

const (
	none        what = iota
	unreachable      // the home is not reached
	cut              // the front hears no more; the home goes on
	freeze           // the front hears no more; the home stops right there until it is woken
	lose             // one frame is lost
	unheard          // the home sends into a dead connection, which looks sent; the front hears no more
)

// Ask asks the home, unless it is frozen or can't be reached.
func (f *fleet) Ask(_ context.Context, claim contract.AttemptRecord) outcome.HolderAnswer {
	id := vm.GroupID(strings.TrimPrefix(claim.Home, "home-"))
	f.mu.Lock()
	silent := f.fault[id].what == freeze || f.silent
	f.mu.Unlock()
	if silent {
		return outcome.HolderSilent
	}
	return f.homes[id].Holds(claim.RequestID, claim.Nonce)
}

func (f *fleet) wake() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = make(map[vm.GroupID]fault)
	close(f.frozen)
}

type frames struct {
	ctx    context.Context
	cancel context.CancelFunc
	frames chan contract.Frame
	lost   chan struct{}
	once   sync.Once
}

func (l *frames) lose() { l.once.Do(func() { close(l.lost) }) }

func (l *frames) isLost() bool {
	select {
	case <-l.lost:
		return true
	default:
		return false
	}
}

func (l *frames) Next() (contract.Frame, error) {
	select {
	case frame, ok := <-l.frames:
		if !ok {
			return frame, io.EOF
		}
		return frame, nil
	case <-l.lost:
		return contract.Frame{}, io.ErrUnexpectedEOF
	}
}

func (l *frames) Close() { l.cancel() }

func (f *fleet) Dispatch(ctx context.Context, d contract.Dispatch) (front.Frames, error) {
	f.mu.Lock()
	fault := f.fault[d.Group]
	f.mu.Unlock()
	if fault.what == unreachable {
		return nil, front.ErrNotSent
	}
	ctx, cancel := context.WithCancel(ctx)
	l := &frames{ctx: ctx, cancel: cancel, frames: make(chan contract.Frame), lost: make(chan struct{})}
	homeCtx := ctx
	if fault.what == unheard {
		homeCtx = context.WithoutCancel(ctx)
	}
	go func() {
		defer close(l.frames)
		_ = f.homes[d.Group].Dispatch(homeCtx, d, func(frame contract.Frame) error {
			if fault.what == unheard && (frame.Kind == fault.at || l.isLost()) {
				l.lose()
				return nil
			}
			if fault.what != none && frame.Kind == fault.at {
				what := fault.what
				fault.what = none
				switch what {
				case lose:
					return nil
				case freeze:
					close(l.lost)
					<-f.frozen
					return io.ErrClosedPipe
				default:
					close(l.lost)
					return io.ErrClosedPipe
				}
			}
			select {
			case l.frames <- frame:
				f.passed.Add(1)
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
	}()
	return l, nil
}
