package shift

import "time"

// An entry that starts serves callers as soon as it has the settings, but each of the others accepts its connections
// only once it has learned of the new process from the platform or from a peer, up to a second later. The home of a
// group is a single entry, so asking another one does not help. Without a wait, a front refuses every request to the
// homes that learn of it last, although they are about to accept it.
const (
	// MaxIntroduction is how long a front waits for a home to learn of it.
	MaxIntroduction = time.Second
	// introductionPause is the pause between two tries. A try costs a handshake.
	introductionPause = 100 * time.Millisecond
)

// MaxPreparation is how long a request waits at a home that does not have its settings yet. An entry may be the home of
// groups as soon as it is live, a moment before it has them. If it takes longer, the entry can't reach the others, and
// another group serves the request sooner.
const MaxPreparation = time.Second

// AwaitIntroduction returns the pause after which a front tries again to reach a home that does not know it, having
// tried for the given time. ok is false if it should give up. A front that is not joining has been known to all for
// long; if a home does not accept it, another process has taken its name.
func AwaitIntroduction(joining bool, tried time.Duration) (pause time.Duration, ok bool) {
	if !joining || tried+introductionPause > MaxIntroduction {
		return 0, false
	}
	return introductionPause, true
}
