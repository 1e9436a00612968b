package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/skylarkpond/skylarkpond/entry/member"
	"github.com/skylarkpond/skylarkpond/internal/wait"
	"github.com/skylarkpond/skylarkpond/link/peer"
	"github.com/skylarkpond/skylarkpond/link/platform"
)

// This file is about the settings that an entry starts with. What goes wrong without it: a start reads the
// tree from a replica of the platform that lags, and the entry serves callers by settings that all others
// have left behind, until a rumour reaches it. An operator who was told that a change is in force
// everywhere would see it reverted there. So an entry puts nothing in force, and serves nobody, until it has
// compared with others that live.

const (
	// settleTime bounds the wait for an answer of entries that are held live. News of a start reach all in
	// some two seconds; an entry that is cut off from the others in this very moment serves by what it read.
	settleTime = 10 * time.Second
	// settleEvery is the pause between two looks at who lives.
	settleEvery = 50 * time.Millisecond
	// settleAsks is how many entries are asked at a time. Each works by the newest version, but for the
	// second or two that a change takes to spread.
	settleAsks = 3
	// settleTimeout bounds one question.
	settleTimeout = time.Second
)

// pathTree is where entries hand out the newest tree that they know.
const pathTree = "/peer/v1/tree"

func (e *Entry) registerTree(server *peer.Server) {
	peer.Handle(server, pathTree, func(context.Context, string, struct{}) (platform.Object, error) {
		object, _ := e.mirror.Get(platform.KindSettings, platform.SettingsName)
		return object, nil
	})
}

// settle waits until the settings are compared with those of others, or nobody else lives, and puts them in
// force.
func (e *Entry) settle(ctx context.Context) {
	deadline := time.Now().Add(settleTime)
	for ctx.Err() == nil && !e.alone() && !e.compareTrees(ctx) {
		if time.Now().After(deadline) {
			e.log.Warn("no other entry answers; starting with the settings that the platform gave")
			break
		}
		wait.Pause(ctx, settleEvery)
	}
	e.inForce.open()
	e.router.ApplySettings(e.inForce.Snapshot())
	close(e.settled)
}

// others are the entries that live, without this one.
func (e *Entry) others() []member.Peer {
	var found []member.Peer
	for _, p := range e.members.Live() {
		if !p.Self {
			found = append(found, p)
		}
	}
	return found
}

// alone says that this entry has looked for others and found none.
func (e *Entry) alone() bool {
	_, fresh := e.members.FreshSince()
	return fresh && len(e.others()) == 0
}

// compareTrees asks some entries that live for their tree, and returns whether any answered.
func (e *Entry) compareTrees(ctx context.Context) bool {
	asked := e.others()
	rand.Shuffle(len(asked), func(i, j int) { asked[i], asked[j] = asked[j], asked[i] })
	asked = asked[:min(settleAsks, len(asked))]
	answers := make(chan bool, len(asked))
	for _, p := range asked {
		go func() { answers <- e.compareTree(ctx, p.PeerAddress) }()
	}
	answered := false
	for range asked {
		answered = <-answers || answered
	}
	return answered
}

func (e *Entry) compareTree(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
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

// serveSettled serves once the settings are in force.
func (e *Entry) serveSettled(ctx context.Context, server *http.Server, listener net.Listener) error {
	select {
	case <-e.settled:
		return serveHTTP(server, listener)
	case <-ctx.Done():
		return nil
	}
}
