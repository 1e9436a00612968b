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

// fault affects a dispatch at its first frame of the kind at.
type fault struct {
	at   contract.FrameKind
	kind faultKind
}

type faultKind uint8

const (
	noFault       faultKind = iota
	unreachable             // the dispatch does not reach the home
	cutLink                 // the link breaks; the home continues
	freezeHome              // the link breaks; the home blocks until clearFaults
	dropFrame               // one frame is lost
	blackholeLink           // the link breaks, but the home's writes appear to succeed
)

// ClaimStatus queries the home, unless that is frozen or can't be reached.
func (f *fleet) ClaimStatus(_ context.Context, claim contract.AttemptRecord) outcome.HolderAnswer {
	id := vm.GroupID(strings.TrimPrefix(claim.Home, "home-"))
	f.mu.Lock()
	silent := f.fault[id].kind == freezeHome || f.holdersSilent
	f.mu.Unlock()
	if silent {
		return outcome.HolderSilent
	}
	return f.homes[id].ClaimStatus(claim.RequestID, claim.Nonce)
}

func (f *fleet) clearFaults() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = make(map[vm.GroupID]fault)
	close(f.frozen)
}

type frameLink struct {
	ctx    context.Context
	cancel context.CancelFunc
	frames chan contract.Frame
	lost   chan struct{}
	once   sync.Once
}

func (l *frameLink) cutOff() { l.once.Do(func() { close(l.lost) }) }

func (l *frameLink) isCutOff() bool {
	select {
	case <-l.lost:
		return true
	default:
		return false
	}
}

func (l *frameLink) Next() (contract.Frame, error) {
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

func (l *frameLink) Close() { l.cancel() }

func (f *fleet) Dispatch(ctx context.Context, homeName string, d contract.Dispatch) (front.FrameStream, error) {
	asked := f.homes[d.Group]
	if stranger := f.strangers[homeName]; stranger != nil {
		asked = stranger
	}
	f.mu.Lock()
	fault := f.fault[d.Group]
	f.mu.Unlock()
	if fault.kind == unreachable {
		return nil, front.ErrNotSent
	}
	ctx, cancel := context.WithCancel(ctx)
	l := &frameLink{ctx: ctx, cancel: cancel, frames: make(chan contract.Frame), lost: make(chan struct{})}
	homeCtx := ctx
	if fault.kind == blackholeLink {
		homeCtx = context.WithoutCancel(ctx)
	}
	go func() {
		defer close(l.frames)
		_ = asked.Dispatch(homeCtx, d, func(frame contract.Frame) error {
			if fault.kind == blackholeLink && (frame.Kind == fault.at || l.isCutOff()) {
				l.cutOff()
				return nil
			}
			if fault.kind != noFault && frame.Kind == fault.at {
				kind := fault.kind
				fault.kind = noFault
				switch kind {
				case dropFrame:
					return nil
				case freezeHome:
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
				f.framesTaken.Add(1)
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
	}()
	return l, nil
}
