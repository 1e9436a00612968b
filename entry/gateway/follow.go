package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/entry/lease"
	"github.com/skylarkpond/skylarkpond/internal/wait"
	link "github.com/skylarkpond/skylarkpond/link/leader"
)

// following is what an entry hears from the one in charge.
type following struct {
	mu sync.Mutex // guards what follows; a leaf lock
	// heard is when the leader last said that it holds the lease.
	heard time.Time
	// live are the entries that the leader hears from; nil before it has said so.
	live map[string]bool
	// down are the entries that a settled leader did not hear from.
	down map[string]bool
	// since is when this leader first said so.
	since time.Time
	// behind says that the leader had a newer configuration when it last renewed the lease.
	behind bool
}

const (
	// heardFor is how long the leader's word counts that it holds the lease: longer than two renewals.
	heardFor = 1300 * time.Millisecond
	// relink is the pause between two tries to link.
	relink = 150 * time.Millisecond
	// liveSettled is how long entries have to link to a new leader before one that did not counts as down.
	liveSettled = 1500 * time.Millisecond
)

// linked says whether this entry hears from a leader that holds the lease, so that its news are current.
func (g *Gateway) linked() bool {
	g.following.mu.Lock()
	defer g.following.mu.Unlock()
	return time.Since(g.following.heard) < heardFor
}

// dead says whether an entry is known to be down.
func (g *Gateway) dead(name string) bool {
	f := &g.following
	f.mu.Lock()
	defer f.mu.Unlock()
	return name != g.config.Name && f.down[name] && !f.live[name]
}

// noteDown takes over which entries the leader does not hear from, once all have had the time to link to it. What an earlier leader knew
// counts until then: callers would otherwise be sent to an entry that is long gone. A leader that hears from few is more likely cut
// off itself.
func (g *Gateway) noteDown() {
	names := g.roster.Names()
	f := &g.following
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.live == nil || time.Since(f.since) < liveSettled || 2*len(f.live) < len(names) {
		return
	}
	for _, name := range names {
		f.down[name] = !f.live[name]
	}
}

// follow keeps a link to the entry in charge, which may be this one.
func (g *Gateway) follow(ctx context.Context) {
	for ctx.Err() == nil {
		holder, known := g.lease.Holder()
		switch {
		case g.lease.InOffice():
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
	g.leader.SetGroups()
	g.leader.Join(g.config.Name, self, link.Hello{Entry: g.config.Name, Running: g.remote.Attach(send), ConfigVersion: version})
	g.newLeader()
	defer g.remote.Attach(nil)
	check := time.NewTicker(relink)
	defer check.Stop()
	for {
		select {
		case message := <-self.queue:
			g.fromLeader(ctx, send, message)
		case <-check.C:
			if !g.lease.InOffice() {
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
		Entry: g.config.Name, Token: holder.Token, ConfigVersion: version, Running: g.remote.Attach(nil),
		Revisions: g.catalog.Revisions(),
	}
	dialling, stopDialling := context.WithCancel(ctx)
	defer stopDialling()
	go g.whileHolder(dialling, stopDialling, holder)
	to, err := link.Dial(dialling, g.identity, sourceOf(g.config.Callers), holder.Address, holder.Fingerprint, hello)
	if err != nil {
		g.log.WithError(err).WithField("leader", holder.Entry).Debug("no link to the leader")
		return
	}
	g.log.WithField("leader", holder.Entry).Info("linked to the leader")
	g.remote.Attach(to.Send)
	g.newLeader()
	defer g.remote.Attach(nil)
	defer to.Close("over")
	stopDialling()
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	go g.whileHolder(watching, func() { to.Close("not in charge") }, holder)
	context.AfterFunc(ctx, func() { to.Close("stopping") })
	err = to.Receive(func(message link.Down) { g.fromLeader(ctx, to.Send, message) })
	g.log.WithError(err).WithField("leader", holder.Entry).Info("link to the leader ended")
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

// newLeader forgets which entries the last leader heard from.
func (g *Gateway) newLeader() {
	g.following.mu.Lock()
	defer g.following.mu.Unlock()
	g.following.live = nil
	g.following.since = time.Now()
}

// fromLeader handles one message of the leader.
func (g *Gateway) fromLeader(ctx context.Context, send func(link.Up), message link.Down) {
	switch {
	case message.Grant != nil || message.Refuse != nil:
		g.remote.Answered(message)
	case message.Config != nil:
		g.catalog.TakeConfig(message.Config.Spec)
	case message.Renewed != nil:
		g.leaderRenewed(send, *message.Renewed)
	case message.News != nil:
		g.catalog.Feed(*message.News)
	case message.Look != nil:
		go g.look(ctx, send, *message.Look)
	}
}

func (g *Gateway) leaderRenewed(send func(link.Up), renewed link.Renewed) {
	g.lease.Heard(renewed.Version)
	g.following.renewed(renewed)
	g.noteDown()
	version, spec := g.catalog.Config()
	switch {
	case version > renewed.ConfigVersion && spec != nil:
		send(link.Up{Config: &link.Config{Spec: spec}})
	case g.following.stillBehind(version < renewed.ConfigVersion):
		send(link.Up{Has: max(1, version)})
	}
}

func (f *following) renewed(renewed link.Renewed) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard = time.Now()
	if renewed.Live != nil {
		f.live = make(map[string]bool, len(renewed.Live))
	}
	if f.live == nil {
		return // it was not told the whole yet
	}
	for _, name := range slices.Concat(renewed.Live, renewed.Joined) {
		f.live[name] = true
	}
	for _, name := range renewed.Left {
		delete(f.live, name)
	}
}

// stillBehind says whether this entry has an older configuration than the leader, as it had at the renewal before. All entries read a large
// configuration from the platform at the same time; were each to ask the leader for it at once as well, its link would be full.
func (f *following) stillBehind(behind bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	still := behind && f.behind
	f.behind = behind
	return still
}

// look answers the leader's question whether this entry reaches a server.
func (g *Gateway) look(ctx context.Context, send func(link.Up), asked link.Look) {
	seen := link.Seen{Server: asked.Server}
	report, err := g.controller.Look(ctx, &backend.Server{ID: asked.Server, Address: asked.Address})
	if err == nil {
		seen.Answered = true
		seen.Group = report.Group.GroupKey
		seen.Serving = report.Group.State.Serving()
	}
	send(link.Up{Seen: &seen})
}

// reached asks the other entries whether a server that this one does not reach serves a group.
func (g *Gateway) reached(ctx context.Context, server *backend.Server, key backend.GroupKey) bool {
	seen, answered := g.leader.Reached(ctx, server)
	serving := answered && seen.Group == key && seen.Serving
	g.log.WithFields(logrus.Fields{
		"vm": server.ID, "group": key.String(), "answered": answered, "serving": serving, "asked_of": g.leader.Followers(),
	}).Info("asked other entries for a server")
	return serving
}
