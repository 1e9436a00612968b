package guard

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/link/engine"
	"github.com/skylarkpond/skylarkpond/vm"
)

// Time limits of the search for a crashed member after a response broke off.
const (
	// crashProbeTimeout bounds the search for a crashed member. The front is told of the broken response only after
	// the search, so the timeout is short. It still allows for a machine that is slow because of the crash.
	crashProbeTimeout = time.Second
	// reprobeInterval is the pause before the members are probed again if any was unresponsive.
	reprobeInterval = 20 * time.Millisecond
)

// findCrashedMember probes the members until the status of each is known. It returns the boot id of a crashed
// member, or "" and the reason why none was found.
//
// A process that is about to exit breaks off its probe as if the link were cut, and only a second probe shows
// that it is gone. If that were taken for a cut link, the crash would go unnoticed and the request would take
// down another group.
func (g *Guard) findCrashedMember(ctx context.Context, group vm.Group) (boot vm.BootID, reason string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashProbeTimeout)
	defer cancel()
	for {
		statuses := g.probeMembers(ctx, group)
		if i := slices.Index(statuses, memberGone); i >= 0 {
			return group.Members[i].BootID, ""
		}
		unresponsive := slices.Index(statuses, memberUnresponsive)
		if unresponsive < 0 {
			return "", "every member answers with its boot id"
		}
		select {
		case <-ctx.Done():
			return "", string(group.Members[unresponsive].VM) + " does not answer"
		case <-time.After(reprobeInterval):
		}
	}
}

// memberStatus is the result of one probe of a member.
type memberStatus uint8

const (
	memberAlive memberStatus = iota
	// memberGone means that the process that was ordered into the group does not exist any more.
	memberGone
	// memberUnresponsive means that there was no response: the member may be cut off, frozen, or about to exit.
	memberUnresponsive
)

func (g *Guard) probeMembers(ctx context.Context, group vm.Group) []memberStatus {
	ctx, cancel := context.WithTimeout(ctx, engine.ProbeTimeout)
	defer cancel()
	statuses := make([]memberStatus, len(group.Members))
	var probes sync.WaitGroup
	for i, member := range group.Members {
		probes.Go(func() { statuses[i] = g.probeMember(ctx, member) })
	}
	probes.Wait()
	return statuses
}

func (g *Guard) probeMember(ctx context.Context, member vm.Member) memberStatus {
	state, err := g.deps.Engines.Probe(ctx, member.Address)
	switch {
	case errors.Is(err, engine.ErrConnectionRefused):
		return memberGone
	case err != nil:
		return memberUnresponsive
	case state.BootID != member.BootID:
		return memberGone
	}
	return memberAlive
}
