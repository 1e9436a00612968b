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

// Times of the look at a group whose answer broke off.
const (
	// lookTimeout bounds the look. The front hears of the break after it, so it is short; it covers a
	// machine that is busy with the very crash.
	lookTimeout = time.Second
	// lookAgain is the pause before members that could not be judged are asked again.
	lookAgain = 20 * time.Millisecond
)

// goneBoot asks the members until each is judged, and returns the boot id that is gone, or "" and what was
// seen. A process that is about to end breaks off the probe as well, as if its link were cut; asked again a
// moment later, it is seen to be gone. Taken for a cut, the crash would go unnoticed, and the request
// would take down one group more.
func (g *Guard) goneBoot(ctx context.Context, group vm.Group) (boot vm.BootID, why string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lookTimeout)
	defer cancel()
	for {
		verdicts := g.look(ctx, group)
		if i := slices.Index(verdicts, memberGone); i >= 0 {
			return group.Members[i].BootID, ""
		}
		silent := slices.Index(verdicts, memberSilent)
		if silent < 0 {
			return "", "every member answers with its boot id"
		}
		select {
		case <-ctx.Done():
			return "", string(group.Members[silent].VM) + " does not answer"
		case <-time.After(lookAgain):
		}
	}
}

// memberVerdict is what one probe says of a member.
type memberVerdict uint8

const (
	memberThere memberVerdict = iota
	// memberGone: the process that was ordered into the group is no more.
	memberGone
	// memberSilent: no answer; it may be cut off, frozen, or about to end.
	memberSilent
)

func (g *Guard) look(ctx context.Context, group vm.Group) []memberVerdict {
	ctx, cancel := context.WithTimeout(ctx, engine.ProbeTimeout)
	defer cancel()
	verdicts := make([]memberVerdict, len(group.Members))
	var probes sync.WaitGroup
	for i, member := range group.Members {
		probes.Go(func() { verdicts[i] = g.lookAt(ctx, member) })
	}
	probes.Wait()
	return verdicts
}

func (g *Guard) lookAt(ctx context.Context, member vm.Member) memberVerdict {
	state, err := g.deps.Engines.Probe(ctx, member.Address)
	switch {
	case errors.Is(err, engine.ErrNoProcess):
		return memberGone
	case err != nil:
		return memberSilent
	case state.BootID != member.BootID:
		return memberGone
	}
	return memberThere
}
