package relay

import (
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/entry/turn"
	"github.com/skylarkpond/skylarkpond/link/upstream"
	"github.com/skylarkpond/skylarkpond/platform"
)

// This file passes requests on to other entries while this entry can't reach the servers. The other entry handles the request like a
// caller's, with its own turn and retry budget, and with what is left of the time and of the attempts. A request is passed on once: an entry
// that can't serve one that was passed on to it says that it did not run it.

const (
	// maxPeers bounds the entries that one request is passed on to, one after the other as long as each says that it did not run it.
	maxPeers = 2
	// unreachableBeforePeers is how many servers a request has failed to reach when it is passed on although the entry does not count as
	// isolated: it may have lost most servers.
	unreachableBeforePeers = 2
)

// acquireTurn acquires a turn at a server, or at another entry if this one can't reach the servers.
func (e *exchange) acquireTurn(request turn.Request) (*turn.Turn, *turn.Refusal) {
	if t := e.peerTurn(); t != nil {
		return t, nil
	}
	return e.relay.deps.Turns.Acquire(e.ctx, request)
}

// mayPassOn reports whether the request may be passed on to another entry.
func (e *exchange) mayPassOn() bool {
	return e.call.Forwarded == nil && len(e.peersTried) < maxPeers &&
		(e.unreachable >= unreachableBeforePeers || e.relay.deps.Isolation.Isolated(e.service))
}

func (e *exchange) peerTurn() *turn.Turn {
	if !e.mayPassOn() {
		return nil
	}
	peer, ok := e.relay.deps.Peer(e.peersTried)
	if !ok {
		return nil
	}
	e.peersTried = append(e.peersTried, peer.Name)
	return &turn.Turn{
		Server: &backend.Server{ID: backend.ID(peer.Name), Address: peer.Address}, Peer: true,
		ReportLoad: func(int, int, int) {}, ReportStall: func() {}, Accepted: func() {}, Done: func(turn.Result) {},
	}
}

// lastPeerTurn acquires a turn at another entry for a request that would be refused, if this entry has failed to reach a server.
func (e *exchange) lastPeerTurn() *turn.Turn {
	if e.unreachable == 0 || e.ctx.Err() != nil {
		return nil
	}
	e.unreachable = max(e.unreachable, unreachableBeforePeers)
	return e.peerTurn()
}

// errPeerCannot means that another entry can't serve the request and has not run it.
var errPeerCannot = eris.New("the other entry can't serve the request either")

// sendToPeer passes the request on. It returns upstream.ErrNotSent or errPeerCannot if the request has not run. Otherwise the other entry has
// made all attempts that were left.
func (e *exchange) sendToPeer(t *turn.Turn, lastEvent string) (*upstream.Response, error) {
	e.summary.Via = string(t.Server.ID)
	answer, err := e.send(t, lastEvent)
	if errors.Is(err, upstream.ErrNotSent) {
		return nil, err
	}
	if err == nil && platform.DecodeResponse(answer.Status, answer.Header).NotRun {
		_ = answer.Body.Close()
		e.endAttempt()
		return nil, errPeerCannot
	}
	e.attempts++
	e.passedOn = true
	return answer, err
}

// attemptAtPeer passes the request on to another entry and reports whether the request is done.
func (e *exchange) attemptAtPeer(t *turn.Turn) bool {
	answer, err := e.sendToPeer(t, "")
	switch {
	case errors.Is(err, upstream.ErrNotSent) || errors.Is(err, errPeerCannot):
		return false
	case err != nil:
		e.mayHaveRun = true
		return e.doneAfterFailure("no answer of " + e.summary.Via + ": " + err.Error())
	case !platform.HasSignature(answer.Header) && answer.Status == http.StatusServiceUnavailable && e.mayHaveRun:
		_ = answer.Body.Close()
		e.endAttempt()
		return e.doneAfterFailure("refused by " + e.summary.Via)
	}
	if platform.HasSignature(answer.Header) {
		e.mayHaveRun = true
	}
	if e.route.Kind == route.Streaming && answer.Status == http.StatusOK {
		return e.relayStream(t, answer)
	}
	return e.relayWhole(t, answer)
}

// outcomeOf returns the outcome of a whole answer. An answer without a signature is another entry's own.
func (e *exchange) outcomeOf(t *turn.Turn, answer *upstream.Response) Outcome {
	switch {
	case !t.Peer || platform.HasSignature(answer.Header) || answer.Status < http.StatusMultipleChoices:
		return Served
	case answer.Status == http.StatusServiceUnavailable:
		return Refused
	case answer.Status == http.StatusGatewayTimeout:
		return TimedOut
	case answer.Status == http.StatusNotFound:
		return NoRoute
	case answer.Status == http.StatusUnauthorized:
		return NoKey
	default:
		return Unknown
	}
}

// retryAfterPassedOn is for requests that were passed on to an entry that can't serve them either. The entry that passed them on tries
// another one, and tells its caller otherwise.
const retryAfterPassedOn = 500 * time.Millisecond

// canServePassedOn reports whether this entry can serve a request that another entry passes on, and refuses the request otherwise. With an older
// configuration than the other entry it can't: a caller that has seen a newer one must not be answered by an older one.
func (e *exchange) canServePassedOn() bool {
	if e.call.Forwarded == nil {
		return true
	}
	if e.table == nil || e.table.Version < e.call.Forwarded.ConfigVersion {
		return e.refuseElsewhere("the configuration of the entry that passed the request on is newer")
	}
	return true
}

// refuseElsewhere refuses a request that another entry passed on, so that it is passed on to a third one.
func (e *exchange) refuseElsewhere(detail string) bool {
	e.writer.Header().Set(platform.HeaderNotRun, "1")
	return e.refuse(Refused, http.StatusServiceUnavailable, retryAfterPassedOn, detail)
}
