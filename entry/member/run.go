package member

import (
	"context"
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/link/peer"
)

// Request paths between entries.
const (
	pathPing     = "/member/ping"
	pathRelay    = "/member/relay"
	pathDigest   = "/member/digest"
	pathExchange = "/member/exchange"
)

const (
	// workers is the number of goroutines that make calls. Three pings a second of at most 1.2 s each,
	// with their relays, and a sync need fewer.
	workers = 16
	// maxPending bounds the calls that wait for a worker. Calls beyond it fail at once.
	maxPending = 256
)

// NewPinger returns a Pinger that sends through client.
func NewPinger(client *peer.Client) Pinger { return &peerPinger{client} }

type peerPinger struct{ client *peer.Client }

func (p *peerPinger) Ping(ctx context.Context, address string, m Ping) (Ack, error) {
	var ack Ack
	err := p.client.Call(ctx, address, pathPing, m, &ack)
	return ack, err
}

func (p *peerPinger) Relay(ctx context.Context, address string, m Relay) (RelayReply, error) {
	var answer RelayReply
	err := p.client.Call(ctx, address, pathRelay, m, &answer)
	return answer, err
}

func (p *peerPinger) Digest(ctx context.Context, address string, m Digest) (DigestReply, error) {
	var reply DigestReply
	err := p.client.Call(ctx, address, pathDigest, m, &reply)
	return reply, err
}

func (p *peerPinger) Exchange(ctx context.Context, address string, m Exchange) (ExchangeReply, error) {
	var answer ExchangeReply
	err := p.client.Call(ctx, address, pathExchange, m, &answer)
	return answer, err
}

func (p *peerPinger) Disconnect(address string) { p.client.Disconnect(address) }

// Register adds the handlers of m to a server; it must be called before the server starts. pinger makes
// the pings that other entries ask for.
func (m *Members) Register(s *peer.Server, pinger Pinger) {
	peer.Handle(s, pathPing, func(_ context.Context, from string, ping Ping) (Ack, error) {
		return m.handlePing(m.clock(), from, ping)
	})
	peer.Handle(s, pathDigest, func(_ context.Context, from string, d Digest) (DigestReply, error) {
		return m.handleDigest(m.clock(), from, d)
	})
	peer.Handle(s, pathExchange, func(_ context.Context, from string, e Exchange) (ExchangeReply, error) {
		return m.handleExchange(m.clock(), from, e)
	})
	peer.Handle(s, pathRelay, func(ctx context.Context, _ string, request Relay) (RelayReply, error) {
		c, err := m.prepareRelay(m.clock(), request)
		if err != nil {
			return RelayReply{}, err
		}
		ctx, cancel := context.WithTimeout(ctx, relayedPingTimeout)
		defer cancel()
		r := perform(ctx, pinger, c)
		return m.completeRelay(m.clock(), c, r), nil
	})
}

// perform makes one call.
func perform(ctx context.Context, pinger Pinger, c call) result {
	var r result
	switch c.kind {
	case callPing:
		r.ack, r.err = pinger.Ping(ctx, c.address, c.ping)
	case callRelay:
		r.relayReply, r.err = pinger.Relay(ctx, c.address, c.relay)
	case callDigest:
		r.digestReply, r.err = pinger.Digest(ctx, c.address, c.digest)
	case callExchange:
		r.exchangeReply, r.err = pinger.Exchange(ctx, c.address, c.exchange)
	case callDisconnect:
		pinger.Disconnect(c.address)
	}
	return r
}

func timeoutOf(kind callKind) time.Duration {
	switch kind {
	case callPing:
		return pingTimeout
	case callRelay:
		return relayTimeout
	default:
		return syncTimeout
	}
}

// Run maintains the table until ctx ends. It returns once all of its calls have ended.
func (m *Members) Run(ctx context.Context, pinger Pinger) error {
	pending := make(chan call, maxPending)
	var wait sync.WaitGroup
	for range workers {
		wait.Go(func() { m.runWorker(ctx, pinger, pending) })
	}
	wait.Go(func() { m.dispatchUntil(ctx) })
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			wait.Wait()
			return nil
		case <-ticker.C:
			m.enqueue(pending, m.tick(m.clock()))
		}
	}
}

func (m *Members) enqueue(pending chan<- call, calls []call) {
	for _, c := range calls {
		select {
		case pending <- c:
		default:
			m.finish(m.clock(), c, result{err: errBusy})
		}
	}
}

func (m *Members) runWorker(ctx context.Context, pinger Pinger, pending chan call) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-pending:
			r := performBounded(ctx, pinger, c)
			if ctx.Err() == nil {
				m.enqueue(pending, m.finish(m.clock(), c, r))
			}
		}
	}
}

func performBounded(ctx context.Context, pinger Pinger, c call) result {
	ctx, cancel := context.WithTimeout(ctx, timeoutOf(c.kind))
	defer cancel()
	return perform(ctx, pinger, c)
}

func (m *Members) dispatchUntil(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.inboxReady:
			m.dispatch()
		}
	}
}
