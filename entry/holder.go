package entry

import (
	"context"
	"time"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/outcome"
	"github.com/skylarkpond/skylarkpond/entry/member"
	"github.com/skylarkpond/skylarkpond/link/peer"
)

// Paths of the questions to the holder of a claim.
const (
	pathWorking = "/peer/v1/working"
	pathGaveUp  = "/peer/v1/gave-up"
)

// holderQuestion asks the holder of a claim what became of it.
type holderQuestion struct {
	Incarnation string `cbor:"1,keyasint"`
	RequestID   string `cbor:"2,keyasint"`
	// Nonce is that of the claim.
	Nonce string `cbor:"3,keyasint,omitempty"`
}

// Ask implements front.Holders. No answer counts as silent: the caller is then told unknown, which is true whatever
// the holder does.
func (d *dispatcher) Ask(ctx context.Context, claim contract.Attempt) outcome.HolderAnswer {
	question := holderQuestion{Incarnation: claim.Incarnation, RequestID: claim.RequestID, Nonce: claim.Nonce}
	if claim.Home == d.self {
		return holderAnswer(func(string) bool { return d.atWork(question) }, func(string) bool { return d.gaveUp(question) })
	}
	holder, ok := d.holder(claim)
	if !ok {
		return outcome.HolderSilent
	}
	if holder.State == member.Dead || holder.Unreachable {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, lostHolderTimeout)
		defer cancel()
	}
	call := func(path string) bool {
		var answer bool
		return d.client.Call(ctx, holder.PeerAddress, path, question, &answer) == nil && answer
	}
	return holderAnswer(call, call)
}

// holderAnswer asks first whether the holder is at work: one that gives the claim up in between then says so.
func holderAnswer(atWork, gaveUp func(path string) bool) outcome.HolderAnswer {
	switch {
	case atWork(pathWorking):
		return outcome.HolderWorking
	case gaveUp(pathGaveUp):
		return outcome.HolderGaveUp
	default:
		return outcome.HolderSilent
	}
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

// atWork says whether this entry is at work under the claim. A request that is given up counts as at work for a moment
// longer at its home.
func (d *dispatcher) atWork(question holderQuestion) bool {
	return question.Incarnation == d.life && d.home.Working(question.RequestID) && !d.home.GaveUp(question.Nonce)
}

func (d *dispatcher) gaveUp(question holderQuestion) bool {
	return question.Incarnation == d.life && d.home.GaveUp(question.Nonce)
}

// registerHolder answers the questions of other entries' fronts.
func (d *dispatcher) registerHolder(server *peer.Server) {
	peer.Handle(server, pathWorking, func(_ context.Context, _ string, question holderQuestion) (bool, error) {
		return d.atWork(question), nil
	})
	peer.Handle(server, pathGaveUp, func(_ context.Context, _ string, question holderQuestion) (bool, error) {
		return d.gaveUp(question), nil
	})
}
