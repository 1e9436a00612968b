package catalog

import "time"

// WatchPolicy specifies how a kind is watched.
type WatchPolicy struct {
	// BatchDelay is the pause after a change, during which further changes accumulate: each change ends the watch, and each
	// call has a cost.
	BatchDelay time.Duration
	// Timeout is the maximum duration of a watch. A watch may stop receiving changes without an error when the platform drops
	// its history, so this bounds how late a change is noticed.
	Timeout time.Duration
	// LeaderTimeout replaces Timeout on the leader. What the leader forwards is known to be current as of the start of its
	// last answered watch.
	LeaderTimeout time.Duration
	// MaxAge is how long ago the leader's list may have been current. An entry that receives no confirmation within this time
	// reads the list itself. 0 means no limit.
	MaxAge time.Duration
	// SmallList states that a list of all objects is no larger than a few changes. After a watch without a response in time, an entry
	// lists them: the watch may return so many changes that the platform can't answer it in time, and would not the next time either.
	SmallList bool
	// FirstFromLeader makes an entry that has just started wait for the leader's objects before it reads all of them itself.
	FirstFromLeader bool
}

// EntriesWatchPolicy is the policy for the registrations of the other entries.
var EntriesWatchPolicy = WatchPolicy{
	BatchDelay: time.Second, Timeout: 3 * time.Second, LeaderTimeout: 3 * time.Second, FirstFromLeader: true,
}

// EvacuationsWatchPolicy is the policy for the failure domains that operators evacuate, which must be known within half of a bound. An event ends a
// watch at once, so that long watches delay nothing; they bound how late an entry notices that the platform has dropped its history. MaxAge exceeds the
// greatest age that a healthy leader may report, two watches and the interval between two renewals of the lease, if bound is 5 s or more. An entry that
// has just started reads the few objects itself: until it knows them, it might send to an evacuated failure domain.
func EvacuationsWatchPolicy(bound time.Duration) WatchPolicy {
	return WatchPolicy{Timeout: bound / 2, LeaderTimeout: bound / 6, MaxAge: bound / 2, SmallList: true}
}

// promptWatchPolicy is the policy for configurations, which must be in force within 2 s, and for servers, whose leaving must
// be known within 2 s. MaxAge leaves time for a call and for connecting to a server. It exceeds the greatest age that a
// healthy leader may report: two watches, a batch delay and the interval between two renewals of the lease.
var promptWatchPolicy = WatchPolicy{
	BatchDelay: 150 * time.Millisecond, Timeout: 800 * time.Millisecond, LeaderTimeout: 350 * time.Millisecond, MaxAge: 1600 * time.Millisecond,
}

// configWatchPolicy is the policy for the configuration, a single object of which only the newest version is used.
func configWatchPolicy() WatchPolicy {
	policy := promptWatchPolicy
	policy.SmallList = true
	return policy
}
