package operator

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/contract/admin"
	"github.com/skylarkpond/skylarkpond/contract/settings"
	"github.com/skylarkpond/skylarkpond/internal/wait"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/timeline"
)

// Errors of an apply beside those of the platform.
var (
	// ErrUnauthorized: the token is not one of the tree that would be changed.
	ErrUnauthorized = eris.New("token not accepted")
	// ErrOutcomeUnknown: a write was sent and neither confirmed nor excluded. Sending the same change again
	// settles it.
	ErrOutcomeUnknown = eris.New("it is not known whether the change was taken")
	// ErrStaleRead: the platform answers with an older tree than this entry has seen.
	ErrStaleRead = eris.New("the platform answered with an older tree than was seen before")
	// ErrUnreadableTree: the tree in the platform is not one that this build understands.
	ErrUnreadableTree = eris.New("the tree in the platform can't be read")
)

const (
	// applyTries bounds how often a lost race or a failed call is tried again: some 2 s of pauses. With 1,700
	// changes a day races are rare, and an operator would rather be told of an outage than wait it out.
	applyTries = 20
	// applyTime bounds an apply whose calls hang. It is below the time that pondctl waits for the answer.
	applyTime = 15 * time.Second
	// applyPause is the mean pause before the next try. Operators that race pause differently.
	applyPause = 100 * time.Millisecond
)

// apply makes a change last and returns what became of it. tokenHash is the hash of the operator's token.
//
// What can go wrong: the answer of the write is lost. The operator would then be told of a failure while
// the change is in force, or would send it again and undo somebody's newer change. So an unconfirmed write
// is followed by a new read, and the change id in the tree tells whether it was taken. A delayed write
// can't come through later: it names a version that the next write has replaced.
func (s *Server) apply(ctx context.Context, change *settings.Change, tokenHash string) (admin.Applied, error) {
	ctx, cancel := context.WithTimeout(ctx, applyTime)
	defer cancel()
	change.At = s.deps.Clock().UnixMilli()
	sent := false
	var err error
	for range applyTries {
		var answer admin.Applied
		answer, err = s.applyOnce(ctx, change, tokenHash, sent)
		if err == nil {
			return told(answer, sent), nil
		}
		sent = sent || errors.Is(err, platform.ErrUnconfirmed)
		if !mayPass(err) || !pause(ctx) {
			break
		}
	}
	if sent {
		return admin.Applied{}, eris.Wrapf(ErrOutcomeUnknown, "last try: %v", err)
	}
	return admin.Applied{}, err
}

// told: a change found in the tree after an own unconfirmed write was accepted by this very apply.
func told(answer admin.Applied, sent bool) admin.Applied {
	if sent && answer.Status == settings.AlreadyApplied {
		answer.Status = settings.Accepted
	}
	return answer
}

// mayPass says whether another try can help.
func mayPass(err error) bool {
	for _, passing := range []error{
		platform.ErrConflict, platform.ErrUnconfirmed, platform.ErrUnavailable, platform.ErrThrottled, ErrStaleRead,
	} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}

func pause(ctx context.Context) bool {
	return wait.Pause(ctx, applyPause/2+rand.N(applyPause))
}

// applyOnce reads, merges, checks and writes once. Once a write was sent the VM list is not consulted
// again: if it changed its mind, "refused" would be told of a write that may yet come through.
func (s *Server) applyOnce(ctx context.Context, change *settings.Change, tokenHash string, sent bool) (admin.Applied, error) {
	current, version, err := s.readTree(ctx)
	if err != nil {
		return admin.Applied{}, err
	}
	if !s.mayChange(current, version, tokenHash) {
		return admin.Applied{}, ErrUnauthorized
	}
	next, result := settings.Merge(current, change)
	if result.Status == settings.Accepted && !sent {
		if faults := s.newFabricFaults(ctx, current, next); len(faults) > 0 {
			result = settings.Result{Status: settings.Refused, Revision: current.Revision, Faults: faults}
		}
	}
	switch result.Status {
	case settings.Accepted:
		return s.write(ctx, version, next, result, change)
	case settings.AlreadyApplied, settings.Unchanged:
		return admin.Applied{Result: result, Version: uint64(version)}, nil
	default:
		return admin.Applied{Result: result}, nil
	}
}

func (s *Server) write(ctx context.Context, version platform.Version, next *settings.Tree, result settings.Result, change *settings.Change) (admin.Applied, error) {
	next.Nonce = s.deps.NewNonce()
	value, err := json.Marshal(next)
	if err != nil {
		return admin.Applied{}, eris.Wrap(err, "encode the tree")
	}
	if len(value) > platform.MaxValueBytes {
		return admin.Applied{Result: tooLarge(len(value), result.Revision)}, nil
	}
	written, err := s.deps.Store.Put(ctx, platform.KindSettings, platform.SettingsName, version, value)
	if err != nil {
		return admin.Applied{}, writeError(err)
	}
	s.deps.Recorder.Record(timeline.Event{Kind: timeline.SettingsAccepted, Entry: s.deps.Entry, Version: uint64(written), Detail: change.ID})
	s.deps.Publisher.Publish(platform.Object{Kind: platform.KindSettings, Name: platform.SettingsName, Version: written, Value: value})
	return admin.Applied{Result: result, Version: uint64(written)}, nil
}

// writeError takes every failure that doesn't say that nothing was changed for one after which the write may
// have taken effect.
func writeError(err error) error {
	for _, harmless := range []error{
		platform.ErrConflict, platform.ErrUnavailable, platform.ErrThrottled, platform.ErrTooLarge, platform.ErrNotFound,
	} {
		if errors.Is(err, harmless) {
			return err
		}
	}
	return eris.Wrap(platform.ErrUnconfirmed, err.Error())
}

func tooLarge(size int, revision uint64) settings.Result {
	return settings.Result{Status: settings.Refused, Revision: revision, Faults: settings.Faults{{
		Problem: eris.Errorf("the tree would have %d bytes", size).Error(),
		Want:    eris.Errorf("at most %d", platform.MaxValueBytes).Error(),
	}}}
}

// readTree reads the tree from the platform. An answer that is older than what this entry has seen (a
// replica that lags, a platform restored from a backup) is not built upon: "unchanged" or "conflict"
// would be told about a state that is past.
func (s *Server) readTree(ctx context.Context) (*settings.Tree, platform.Version, error) {
	seen := s.deps.Mirror.Version(platform.KindSettings, platform.SettingsName)
	object, err := s.deps.Store.Get(ctx, platform.KindSettings, platform.SettingsName)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return nil, 0, err
	}
	if err != nil {
		object = platform.Object{}
	}
	if object.Version < seen {
		return nil, 0, eris.Wrapf(ErrStaleRead, "version %d, seen before: %d", object.Version, seen)
	}
	if object.Version == 0 {
		return &settings.Tree{Nodes: make(map[settings.Path]settings.Node)}, 0, nil
	}
	tree, err := settings.ParseTree(object.Value)
	if err != nil {
		return nil, 0, eris.Wrap(ErrUnreadableTree, err.Error())
	}
	return tree, object.Version, nil
}

// newFabricFaults are the groups that fit no fabric domain because of this change. Faults that the tree
// had before don't hold up changes to other nodes; an unknown list of VMs holds up nothing.
func (s *Server) newFabricFaults(ctx context.Context, current, next *settings.Tree) settings.Faults {
	lists, err := s.deps.VMs.VMLists(ctx)
	if err != nil {
		return nil
	}
	old := make(map[settings.Fault]bool)
	for _, fault := range current.CheckFabric(lists) {
		old[fault] = true
	}
	var faults settings.Faults
	for _, fault := range next.CheckFabric(lists) {
		if !old[fault] {
			faults = append(faults, fault)
		}
	}
	return faults
}
