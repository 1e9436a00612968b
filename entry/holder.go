package entry

import (
	"context"
	"time"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/outcome"
	"github.com/skylarkpond/skylarkpond/entry/member"
	"github.com/skylarkpond/skylarkpond/link/peer"
)

// Paths of the queries to the holder of a claim.
const (
	pathWorking = "/peer/v1/working"
	pathGaveUp  = "/peer/v1/gave-up"
)

// claimQuery asks the holder of a claim for the claim's status.
type claimQuery struct {
	Incarnation string `cbor:"1,keyasint"`
	RequestID   string `cbor:"2,keyasint"`
	// Nonce is the nonce of the claim.
	Nonce string `cbor:"3,keyasint,omitempty"`
}

// ClaimStatus implements front.ClaimHolders. A missing answer counts as HolderSilent. The caller is then told that
// the outcome is unknown, which is true whatever the holder does.
func (d *dispatcher) ClaimStatus(ctx context.Context, claim contract.AttemptRecord) outcome.HolderAnswer {
	query := claimQuery{Incarnation: claim.Incarnation, RequestID: claim.RequestID, Nonce: claim.Nonce}
	if claim.Home == d.self {
		return d.localClaimStatus(query)
	}
	holder, ok := d.findHolder(claim)
	if !ok {
		return outcome.HolderSilent
	}
	if holder.State == member.Dead || holder.Unreachable {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, deadHolderTimeout)
		defer cancel()
	}
	call := func(path string) bool {
		var answer bool
		return d.client.Call(ctx, holder.PeerAddress, path, query, &answer) == nil && answer
	}
	// Whether the holder is working is asked first: a holder that gives the claim up between the two queries
	// answers yes to the second.
	switch {
	case call(pathWorking):
		return outcome.HolderWorking
	case call(pathGaveUp):
		return outcome.HolderGaveUp
	default:
		return outcome.HolderSilent
	}
}

// deadHolderTimeout limits a query to a holder that is considered dead. The holder may be running again, or be
// unreachable only for others, and then answers within milliseconds. The caller waits for this query.
const deadHolderTimeout = 300 * time.Millisecond

// findHolder returns the entry that holds a claim, whatever its state: a leaving entry finishes its work, and an
// entry considered dead may be running. A later incarnation of the entry knows nothing about the claim.
func (d *dispatcher) findHolder(claim contract.AttemptRecord) (member.Peer, bool) {
	for _, p := range d.members.Peers() {
		if p.Name == claim.Home {
			return p, p.Incarnation == claim.Incarnation
		}
	}
	return member.Peer{}, false
}

// localClaimStatus returns the status of a claim held by this entry.
func (d *dispatcher) localClaimStatus(query claimQuery) outcome.HolderAnswer {
	if query.Incarnation != d.incarnation {
		return outcome.HolderSilent
	}
	return d.home.ClaimStatus(query.RequestID, query.Nonce)
}

// registerClaimQueries registers the handlers for the queries of other entries' fronts.
func (d *dispatcher) registerClaimQueries(server *peer.Server) {
	for path, wanted := range map[string]outcome.HolderAnswer{pathWorking: outcome.HolderWorking, pathGaveUp: outcome.HolderGaveUp} {
		peer.Handle(server, path, func(_ context.Context, _ string, query claimQuery) (bool, error) {
			return d.localClaimStatus(query) == wanted, nil
		})
	}
}
