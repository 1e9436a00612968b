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

// Errors of an apply, in addition to those of the platform.
var (
	// ErrUnauthorized means that the token is not listed in the settings tree that would be changed.
	ErrUnauthorized = eris.New("token not accepted")
	// ErrOutcomeUnknown means that a write was sent and could neither be confirmed nor ruled out. Sending the same
	// change again resolves it.
	ErrOutcomeUnknown = eris.New("it is not known whether the change was taken")
	// ErrStaleRead means that the platform returned an older tree than this entry has already seen.
	ErrStaleRead = eris.New("the platform answered with an older tree than was seen before")
	// ErrUnreadableTree means that this build cannot parse the tree stored in the platform.
	ErrUnreadableTree = eris.New("the tree in the platform can't be read")
)

const (
	// maxApplyAttempts limits the retries after a lost race or a failed call, to about 2 s of pauses. At 1,700
	// changes a day races are rare, and an operator prefers an error to waiting out a platform outage.
	maxApplyAttempts = 20
	// applyTimeout limits an apply whose calls hang. It is shorter than the time pondctl waits for the response.
	applyTimeout = 15 * time.Second
	// meanRetryDelay is the mean delay before a retry. The delay is random, so that competing operators do not
	// collide again.
	meanRetryDelay = 100 * time.Millisecond
)

// apply merges a change into the settings tree, writes the tree to the platform and returns the result. tokenHash
// is the hash of the operator's token.
//
// The response to a write can be lost. Reporting a failure would then be wrong, because the change may be in
// force, and writing it again could undo a newer change by someone else. After an unconfirmed write the tree is
// therefore read again, and the change ID recorded in it shows whether the write succeeded. A delayed write cannot
// succeed later, because it is conditional on a version that the next write has replaced.
func (s *Server) apply(ctx context.Context, change *settings.Change, tokenHash string) (admin.Applied, error) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	change.At = s.deps.Clock().UnixMilli()
	sent := false
	var err error
	for range maxApplyAttempts {
		var answer admin.Applied
		answer, err = s.applyOnce(ctx, change, tokenHash, sent)
		if err == nil {
			return resolveOwnWrite(answer, sent), nil
		}
		sent = sent || errors.Is(err, platform.ErrUnconfirmed)
		if !isRetryable(err) || !waitBeforeRetry(ctx) {
			break
		}
	}
	if sent {
		return admin.Applied{}, eris.Wrapf(ErrOutcomeUnknown, "last try: %v", err)
	}
	return admin.Applied{}, err
}

// resolveOwnWrite reports a change as accepted if it is found in the tree after this apply sent an unconfirmed
// write of it.
func resolveOwnWrite(answer admin.Applied, sent bool) admin.Applied {
	if sent && answer.Status == settings.AlreadyApplied {
		answer.Status = settings.Accepted
	}
	return answer
}

// isRetryable reports whether another attempt can succeed.
func isRetryable(err error) bool {
	for _, retryable := range []error{
		platform.ErrConflict, platform.ErrUnconfirmed, platform.ErrUnavailable, platform.ErrThrottled, ErrStaleRead,
	} {
		if errors.Is(err, retryable) {
			return true
		}
	}
	return false
}

func waitBeforeRetry(ctx context.Context) bool {
	return wait.Pause(ctx, meanRetryDelay/2+rand.N(meanRetryDelay))
}

// applyOnce reads the tree, merges the change, checks the result and writes it, once. After a write has been sent
// the VM list is no longer consulted: if it had changed, the operator would be told "refused" about a write that
// may still succeed.
func (s *Server) applyOnce(ctx context.Context, change *settings.Change, tokenHash string, sent bool) (admin.Applied, error) {
	current, version, err := s.readTree(ctx)
	if err != nil {
		return admin.Applied{}, err
	}
	if !s.isAuthorized(current, version, tokenHash) {
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
		return s.writeTree(ctx, version, next, result, change)
	case settings.AlreadyApplied, settings.Unchanged:
		return admin.Applied{Result: result, Version: uint64(version)}, nil
	default:
		return admin.Applied{Result: result}, nil
	}
}

func (s *Server) writeTree(ctx context.Context, version platform.Version, next *settings.Tree, result settings.Result, change *settings.Change) (admin.Applied, error) {
	next.Nonce = s.deps.NewNonce()
	value, err := json.Marshal(next)
	if err != nil {
		return admin.Applied{}, eris.Wrap(err, "encode the tree")
	}
	if len(value) > platform.MaxValueBytes {
		return admin.Applied{Result: treeTooLarge(len(value), result.Revision)}, nil
	}
	written, err := s.deps.Store.Put(ctx, platform.KindSettings, platform.SettingsName, version, value)
	if err != nil {
		return admin.Applied{}, writeError(err)
	}
	s.deps.Recorder.Record(timeline.Event{Kind: timeline.SettingsAccepted, Entry: s.deps.Entry, Version: uint64(written), Detail: change.ID})
	s.deps.Publisher.Publish(platform.Object{Kind: platform.KindSettings, Name: platform.SettingsName, Version: written, Value: value})
	return admin.Applied{Result: result, Version: uint64(written)}, nil
}

// writeError maps every error that does not guarantee an unchanged tree to ErrUnconfirmed.
func writeError(err error) error {
	for _, notWritten := range []error{
		platform.ErrConflict, platform.ErrUnavailable, platform.ErrThrottled, platform.ErrTooLarge, platform.ErrNotFound,
	} {
		if errors.Is(err, notWritten) {
			return err
		}
	}
	return eris.Wrap(platform.ErrUnconfirmed, err.Error())
}

func treeTooLarge(size int, revision uint64) settings.Result {
	return settings.Result{Status: settings.Refused, Revision: revision, Faults: settings.Faults{{
		Problem:  eris.Errorf("the tree would have %d bytes", size).Error(),
		Expected: eris.Errorf("at most %d", platform.MaxValueBytes).Error(),
	}}}
}

// readTree reads the tree from the platform. It rejects a tree older than the one this entry has seen (from a
// lagging replica, or a platform restored from a backup): "unchanged" or "conflict" would then be reported about
// an outdated state.
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

// newFabricFaults returns the groups that fit no fabric domain because of this change. Faults that the tree
// already had do not block changes to other nodes, and an unavailable VM list blocks nothing.
func (s *Server) newFabricFaults(ctx context.Context, current, next *settings.Tree) settings.Faults {
	lists, err := s.deps.VMs.VMLists(ctx)
	if err != nil {
		return nil
	}
	old := make(map[settings.Fault]bool)
	for _, fault := range current.CheckFabricCapacity(lists) {
		old[fault] = true
	}
	var faults settings.Faults
	for _, fault := range next.CheckFabricCapacity(lists) {
		if !old[fault] {
			faults = append(faults, fault)
		}
	}
	return faults
}
