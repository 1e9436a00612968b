package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/entry/lease"
	"github.com/skylarkpond/skylarkpond/internal/wait"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	"github.com/skylarkpond/skylarkpond/logline"
)

// relinkPause is the pause between two attempts to connect to the leader.
const relinkPause = 150 * time.Millisecond

// follow keeps this entry connected to the leader, which may be this entry itself.
func (g *Gateway) follow(ctx context.Context) {
	for ctx.Err() == nil {
		holder, known := g.lease.Holder()
		switch {
		case g.lease.IsLeader():
			g.followSelf(ctx)
		case known && holder.Entry != g.config.Name:
			g.followOther(ctx, holder)
		}
		wait.Pause(ctx, relinkPause)
	}
}

// loopbackQueueSize bounds the messages from the leader to its own entry that wait to be handled.
const loopbackQueueSize = 4096

// loopbackLink delivers the leader's messages to its own entry. They are queued because the leader sends while it holds its lock.
type loopbackLink struct{ queue chan link.Down }

// Send queues a message and drops it if the queue is full. The entry then decides by itself on a request whose reply was dropped.
func (s *loopbackLink) Send(message link.Down) {
	select {
	case s.queue <- message:
	default:
	}
}

// SendShared queues a message that the leader sends to several entries.
func (s *loopbackLink) SendShared(message *link.Shared) { s.Send(message.Down) }

// followSelf handles the leader's messages while this entry is the leader.
func (g *Gateway) followSelf(ctx context.Context) {
	self := &loopbackLink{queue: make(chan link.Down, loopbackQueueSize)}
	send := func(message link.Up) { g.leader.Receive(g.config.Name, self, message) }
	version, _ := g.catalog.Config()
	g.leader.RefreshGroups()
	g.leader.Join(g.config.Name, self, link.Hello{
		Entry: g.config.Name, ConfigVersion: version, Crashes: g.suspects.Reports(), Holds: g.suspects.Holds(), Limits: g.limits.Limits(), Pauses: g.backoff.Pauses(), Cold: g.standing.Heard(),
	})
	g.attach(send)
	g.leaderState.leaderChanged()
	defer g.remote.Attach(nil)
	check := time.NewTicker(relinkPause)
	defer check.Stop()
	for {
		select {
		case message := <-self.queue:
			g.handleLeaderMessage(ctx, send, message)
		case <-check.C:
			if !g.lease.IsLeader() {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// followOther connects to another entry that is the leader and handles its messages until the link ends or the lease has another
// holder.
func (g *Gateway) followOther(ctx context.Context, holder lease.Holder) {
	version, _ := g.catalog.Config()
	hello := link.Hello{
		Entry: g.config.Name, Token: holder.Token, ConfigVersion: version,
		Revisions: g.catalog.Revisions(), RoutableOnly: g.holdsRoutableOnly(), Crashes: g.suspects.Reports(), Holds: g.suspects.Holds(), Limits: g.limits.Limits(), Pauses: g.backoff.Pauses(), Cold: g.standing.Heard(),
	}
	dialling, stopDialling := context.WithCancel(ctx)
	defer stopDialling()
	go g.stopOnHolderChange(dialling, stopDialling, holder)
	to, err := link.Dial(dialling, g.identity, sourceIP(g.config.CallerAddress), holder.Address, holder.Fingerprint, hello)
	if err != nil {
		g.log.WithError(err).WithField("leader", holder.Entry).Debug("no link to the leader")
		g.lease.HolderUnreachable()
		return
	}
	g.log.WithField("leader", holder.Entry).Info(logline.Linked)
	g.attach(to.Send)
	g.leaderState.leaderChanged()
	g.catalog.LeaderChanged()
	defer g.remote.Attach(nil)
	defer to.Close("over")
	stopDialling()
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	go g.stopOnHolderChange(watching, func() { to.Close("not in charge") }, holder)
	context.AfterFunc(ctx, func() { to.Close("stopping") })
	err = to.Receive(func(message link.Down) { g.handleLeaderMessage(ctx, to.Send, message) })
	g.log.WithError(err).WithField("leader", holder.Entry).Info(logline.LinkEnded)
	if link.IsIdleTimeout(err) {
		g.leaderState.leaderLost(holder.Entry)
	}
}

// attach starts to use a link to the leader, and tells it whether callers' requests have arrived here and whether this entry is isolated.
func (g *Gateway) attach(send func(link.Up)) {
	g.remote.Attach(send)
	if g.relay.HasReceived() {
		g.remote.Send(link.Up{RequestSeen: true})
	}
	// Sent in any case: the leader may still know an earlier state from a link that it has not given up yet.
	g.remote.Send(link.Up{Isolation: &link.Isolation{Isolated: g.isolation.Any()}})
	for _, report := range g.limits.Unconfirmed() { // heard while the link was set up
		g.remote.Send(report)
	}
	if leaving := g.catalog.AnnouncedLeaving(); len(leaving) > 0 {
		g.remote.Send(link.Up{Leaving: leaving})
	}
	if cold := g.standing.Heard(); len(cold) > 0 {
		g.remote.Send(link.Up{Cold: cold})
	}
	for _, pause := range g.backoff.Pauses() {
		g.remote.Send(link.Up{Pause: &pause})
	}
}

// holderPollInterval is how often an entry checks whether the lease has another holder.
const holderPollInterval = 50 * time.Millisecond

// stopOnHolderChange calls stop once another entry holds the lease. A leader that can't renew the lease because the platform is
// unavailable stays the holder and goes on granting turns.
func (g *Gateway) stopOnHolderChange(ctx context.Context, stop func(), holder lease.Holder) {
	for wait.Pause(ctx, holderPollInterval) {
		if now, _ := g.lease.Holder(); now.Token != holder.Token {
			stop()
			return
		}
	}
}

// handleLeaderMessage handles one message from the leader.
func (g *Gateway) handleLeaderMessage(ctx context.Context, send func(link.Up), message link.Down) {
	g.remote.LeaderAlive()
	switch {
	case message.Grant != nil || message.Refusal != nil || message.Queued != 0:
		g.remote.HandleReply(message)
	case message.Config != nil:
		g.catalog.UpdateConfig(message.Config.Spec)
	case message.Renewal != nil:
		g.handleRenewal(send, *message.Renewal)
	case message.ChangeSet != nil:
		g.catalog.ApplyChanges(*message.ChangeSet)
	case message.Holds != nil:
		g.suspects.ApplyHolds(*message.Holds)
	case message.Trial != nil:
		g.suspects.AllowTrial(*message.Trial)
	case message.IsolationChanges != nil:
		g.leaderState.applyIsolation(*message.IsolationChanges)
	case message.LimitChanges != nil:
		g.limits.ApplyChanges(*message.LimitChanges)
	case len(message.Leaving) > 0:
		for _, leaving := range message.Leaving {
			g.catalog.AnnounceLeaving(leaving, true)
		}
	case len(message.Cold) > 0:
		for _, cold := range message.Cold {
			g.standing.Hear(cold)
		}
	case message.PlainServices != nil:
		g.remote.SetPlainServices(message.PlainServices.Services)
	case message.Probe != nil:
		go g.answerProbe(ctx, send, *message.Probe)
	}
}

func (g *Gateway) handleRenewal(send func(link.Up), renewal link.Renewal) {
	g.lease.ObserveRenewal(renewal.Version)
	g.leaderState.applyRenewal(renewal, g.roster.Names())
	g.catalog.ConfirmAges(renewal.Ages)
	version, spec := g.catalog.Config()
	switch {
	case version > renewal.ConfigVersion && spec != nil:
		send(link.Up{Config: &link.Config{Spec: spec}})
	case g.leaderState.stillBehind(version < renewal.ConfigVersion):
		send(link.Up{ConfigVersion: max(1, version)})
	}
}

// answerProbe probes a server on the leader's behalf and reports whether it answers and whether it serves a group.
func (g *Gateway) answerProbe(ctx context.Context, send func(link.Up), probe link.Probe) {
	result := link.ProbeResult{Server: probe.Server, Number: probe.Number}
	report, err := g.controller.Report(ctx, &backend.Server{ID: probe.Server, Address: probe.Address})
	if err == nil {
		result.Answered = true
		result.Group = report.Group.GroupKey
		result.Serving = report.Group.State.Serving()
	}
	send(link.Up{ProbeResult: &result})
}

// peersSeeServing asks the other entries whether a server that this entry can't reach is serving the given group.
func (s *shared) peersSeeServing(ctx context.Context, server *backend.Server, key backend.GroupKey) bool {
	seen, answered := s.components.leader.ProbeIndirectly(ctx, server)
	serving := answered && seen.Group == key && seen.Serving
	s.log.WithFields(logrus.Fields{
		"vm": server.ID, "group": key.String(), "answered": answered, "serving": serving, "asked_of": s.components.leader.FollowerCount(),
	}).Info(logline.AskedOthers)
	return serving
}

// peersReach asks the other entries whether they can reach a server that this entry can't reach.
func (s *shared) peersReach(ctx context.Context, server *backend.Server) bool {
	_, answered := s.components.leader.ProbeIndirectly(ctx, server)
	return answered
}
