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

// ClaimStatus implements front.ClaimHolders. No answer counts as silent: the caller is then told unknown, which is
// true whatever the holder does.
func (d *dispatcher) ClaimStatus(ctx context.Context, claim contract.AttemptRecord) outcome.HolderAnswer {
	question := holderQuestion{Incarnation: claim.Incarnation, RequestID: claim.RequestID, Nonce: claim.Nonce}
	if claim.Home == d.self {
		return d.answer(question)
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
	// The first question is whether it is at work: a holder that gives the claim up in between says so to the second.
	switch {
	case call(pathWorking):
		return outcome.HolderWorking
	case call(pathGaveUp):
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
func (d *dispatcher) holder(claim contract.AttemptRecord) (member.Peer, bool) {
	for _, p := range d.members.Peers() {
		if p.Name == claim.Home {
			return p, p.Incarnation == claim.Incarnation
		}
	}
	return member.Peer{}, false
}

// answer says what became of a claim of this entry.
func (d *dispatcher) answer(question holderQuestion) outcome.HolderAnswer {
	if question.Incarnation != d.life {
		return outcome.HolderSilent
	}
	return d.home.ClaimStatus(question.RequestID, question.Nonce)
}

// registerHolder answers the questions of other entries' fronts.
func (d *dispatcher) registerHolder(server *peer.Server) {
	for path, wanted := range map[string]outcome.HolderAnswer{pathWorking: outcome.HolderWorking, pathGaveUp: outcome.HolderGaveUp} {
		peer.Handle(server, path, func(_ context.Context, _ string, question holderQuestion) (bool, error) {
			return d.answer(question) == wanted, nil
		})
	}
}
