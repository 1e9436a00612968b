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

// relink is the pause between two tries to link.
const relink = 150 * time.Millisecond

// follow keeps a link to the entry in charge, which may be this one.
func (g *Gateway) follow(ctx context.Context) {
	for ctx.Err() == nil {
		holder, known := g.lease.Holder()
		switch {
		case g.lease.IsLeader():
			g.followSelf(ctx)
		case known && holder.Entry != g.config.Name:
			g.followOther(ctx, holder)
		}
		wait.Pause(ctx, relink)
	}
}

// selfQueue is how many messages of this entry to itself may wait.
const selfQueue = 4096

// selfLink takes the leader's messages to its own entry. They are queued, since the leader sends under its lock.
type selfLink struct{ queue chan link.Down }

// Send implements the leader's way to an entry. Requests whose answer finds the queue full are decided by the entry itself.
func (s *selfLink) Send(message link.Down) {
	select {
	case s.queue <- message:
	default:
	}
}

// SendShared implements the leader's way to an entry.
func (s *selfLink) SendShared(message *link.Shared) { s.Send(message.Down) }

// followSelf works while this entry is in charge.
func (g *Gateway) followSelf(ctx context.Context) {
	self := &selfLink{queue: make(chan link.Down, selfQueue)}
	send := func(message link.Up) { g.leader.Receive(g.config.Name, self, message) }
	version, _ := g.catalog.Config()
	g.leader.RefreshGroups()
	g.leader.Join(g.config.Name, self, link.Hello{
		Entry: g.config.Name, ConfigVersion: version, Crashes: g.suspects.Reports(),
	})
	g.remote.Attach(send)
	g.following.newLeader()
	defer g.remote.Attach(nil)
	check := time.NewTicker(relink)
	defer check.Stop()
	for {
		select {
		case message := <-self.queue:
			g.fromLeader(ctx, send, message)
		case <-check.C:
			if !g.lease.IsLeader() {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// followOther links to another entry until the link ends or that entry no longer says that it is in charge.
func (g *Gateway) followOther(ctx context.Context, holder lease.Holder) {
	version, _ := g.catalog.Config()
	hello := link.Hello{
		Entry: g.config.Name, Token: holder.Token, ConfigVersion: version,
		Revisions: g.catalog.Revisions(), Crashes: g.suspects.Reports(),
	}
	dialling, stopDialling := context.WithCancel(ctx)
	defer stopDialling()
	go g.whileHolder(dialling, stopDialling, holder)
	to, err := link.Dial(dialling, g.identity, sourceOf(g.config.Callers), holder.Address, holder.Fingerprint, hello)
	if err != nil {
		g.log.WithError(err).WithField("leader", holder.Entry).Debug("no link to the leader")
		g.lease.HolderUnreachable()
		return
	}
	g.log.WithField("leader", holder.Entry).Info(logline.Linked)
	g.remote.Attach(to.Send)
	g.following.newLeader()
	g.catalog.LeaderChanged()
	defer g.remote.Attach(nil)
	defer to.Close("over")
	stopDialling()
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	go g.whileHolder(watching, func() { to.Close("not in charge") }, holder)
	context.AfterFunc(ctx, func() { to.Close("stopping") })
	err = to.Receive(func(message link.Down) { g.fromLeader(ctx, to.Send, message) })
	g.log.WithError(err).WithField("leader", holder.Entry).Info(logline.LinkEnded)
	if link.IsIdleTimeout(err) {
		g.following.lost(holder.Entry)
	}
}

// holderLook is how often an entry looks whether the lease has another holder.
const holderLook = 50 * time.Millisecond

// whileHolder calls stop once another entry holds the lease. A leader that can't confirm it, because the platform is away, goes on
// giving turns.
func (g *Gateway) whileHolder(ctx context.Context, stop func(), holder lease.Holder) {
	for wait.Pause(ctx, holderLook) {
		if now, _ := g.lease.Holder(); now.Token != holder.Token {
			stop()
			return
		}
	}
}

// fromLeader handles one message of the leader.
func (g *Gateway) fromLeader(ctx context.Context, send func(link.Up), message link.Down) {
	g.remote.LeaderAlive()
	switch {
	case message.Grant != nil || message.Refusal != nil || message.Queued != 0:
		g.remote.HandleReply(message)
	case message.Config != nil:
		g.catalog.UpdateConfig(message.Config.Spec)
	case message.Renewal != nil:
		g.leaderRenewed(send, *message.Renewal)
	case message.ChangeSet != nil:
		g.catalog.ApplyNews(*message.ChangeSet)
	case message.Quarantine != nil:
		g.suspects.Take(*message.Quarantine)
	case message.Probe != nil:
		go g.look(ctx, send, *message.Probe)
	}
}

func (g *Gateway) leaderRenewed(send func(link.Up), renewed link.Renewal) {
	g.lease.ObserveRenewal(renewed.Version)
	g.following.renewed(renewed, g.roster.Names())
	g.catalog.ConfirmAges(renewed.Ages)
	version, spec := g.catalog.Config()
	switch {
	case version > renewed.ConfigVersion && spec != nil:
		send(link.Up{Config: &link.Config{Spec: spec}})
	case g.following.stillBehind(version < renewed.ConfigVersion):
		send(link.Up{ConfigVersion: max(1, version)})
	}
}

// look answers the leader's question whether this entry reaches a server.
func (g *Gateway) look(ctx context.Context, send func(link.Up), asked link.Probe) {
	seen := link.ProbeResult{Server: asked.Server}
	report, err := g.controller.Report(ctx, &backend.Server{ID: asked.Server, Address: asked.Address})
	if err == nil {
		seen.Answered = true
		seen.Group = report.Group.GroupKey
		seen.Serving = report.Group.State.Serving()
	}
	send(link.Up{ProbeResult: &seen})
}

// reached asks the other entries whether a server that this one does not reach serves a group.
func (s *shell) reached(ctx context.Context, server *backend.Server, key backend.GroupKey) bool {
	seen, answered := s.parts.leader.ProbeIndirectly(ctx, server)
	serving := answered && seen.Group == key && seen.Serving
	s.log.WithFields(logrus.Fields{
		"vm": server.ID, "group": key.String(), "answered": answered, "serving": serving, "asked_of": s.parts.leader.FollowerCount(),
	}).Info(logline.AskedOthers)
	return serving
}

// answers asks the other entries whether they reach a server that this one does not reach.
func (s *shell) answers(ctx context.Context, server *backend.Server) bool {
	_, answered := s.parts.leader.ProbeIndirectly(ctx, server)
	return answered
}
