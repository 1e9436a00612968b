package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/skylarkpond/skylarkpond/entry/member"
	"github.com/skylarkpond/skylarkpond/internal/wait"
	"github.com/skylarkpond/skylarkpond/link/ingress"
	"github.com/skylarkpond/skylarkpond/link/peer"
	"github.com/skylarkpond/skylarkpond/link/platform"
)

// This file synchronizes the settings at startup. A starting entry may read the settings tree from a platform
// replica that lags behind. It would then serve callers by settings that all other entries have replaced, until a
// rumour reached it, and an operator who was told that a change is in force everywhere would see it reverted
// there. An entry therefore brings no settings into force and serves nobody until it has compared its tree with
// other live entries.

const (
	// settingsSyncTimeout limits the wait for an answer from another entry. All entries learn of a start within
	// about two seconds; an entry that is cut off from the others at this moment, or the only one that is still
	// running of those that are registered, serves by the settings that it read.
	settingsSyncTimeout = 10 * time.Second
	// settingsSyncInterval is the delay between two checks of the live entries.
	settingsSyncInterval = 50 * time.Millisecond
	// settingsSyncPeers is how many entries are asked at a time. Each has the newest version, except during the
	// second or two that a change takes to spread.
	settingsSyncPeers = 3
	// settingsCallTimeout limits one call to a peer.
	settingsCallTimeout = time.Second
)

// pathTree is the path at which entries serve the newest settings tree that they know.
const pathTree = "/peer/v1/tree"

func (e *Entry) registerTree(server *peer.Server) {
	peer.Handle(server, pathTree, func(context.Context, string, struct{}) (platform.Object, error) {
		object, _ := e.mirror.Get(platform.KindSettings, platform.SettingsName)
		return object, nil
	})
}

// syncSettings waits until the settings have been compared with those of other entries, or there are no other
// entries, and then brings them into force.
func (e *Entry) syncSettings(ctx context.Context) {
	deadline := time.Now().Add(settingsSyncTimeout)
	for ctx.Err() == nil && !e.isOnlyMember() && !e.fetchTrees(ctx) {
		if time.Now().After(deadline) {
			e.log.Warn("no other entry answers; starting with the settings that the platform gave")
			break
		}
		wait.Pause(ctx, settingsSyncInterval)
	}
	e.inForce.activate()
	e.router.ApplySettings(e.inForce.Snapshot())
	close(e.settingsReady)
}

// otherMembers returns the live entries except this one.
func (e *Entry) otherMembers() []member.Peer {
	var found []member.Peer
	for _, p := range e.members.Live() {
		if !p.Self {
			found = append(found, p)
		}
	}
	return found
}

// isOnlyMember reports whether this entry has looked for other entries and none is registered. Those that are
// registered and don't answer may not have learned of this one yet: they answer nobody else.
func (e *Entry) isOnlyMember() bool {
	_, fresh := e.members.FreshSince()
	return fresh && !slices.ContainsFunc(e.members.Peers(), func(p member.Peer) bool { return !p.Leaving })
}

// fetchTrees asks some live entries for their settings tree, and reports whether any answered.
func (e *Entry) fetchTrees(ctx context.Context) bool {
	asked := e.otherMembers()
	rand.Shuffle(len(asked), func(i, j int) { asked[i], asked[j] = asked[j], asked[i] })
	asked = asked[:min(settingsSyncPeers, len(asked))]
	answers := make(chan bool, len(asked))
	for _, p := range asked {
		go func() { answers <- e.fetchTree(ctx, p.PeerAddress) }()
	}
	answered := false
	for range asked {
		answered = <-answers || answered
	}
	return answered
}

func (e *Entry) fetchTree(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, settingsCallTimeout)
	defer cancel()
	var object platform.Object
	if e.peerClient.Call(ctx, address, pathTree, struct{}{}, &object) != nil {
		return false
	}
	if object.Version > 0 {
		e.mirror.Merge(object)
	}
	return true
}

// serveWhenReady serves once the settings are in force.
func (e *Entry) serveWhenReady(ctx context.Context, server *ingress.Server, listener net.Listener) error {
	select {
	case <-e.settingsReady:
		return server.Serve(listener)
	case <-ctx.Done():
		return nil
	}
}
