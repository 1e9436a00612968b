package leader

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/entry/turn"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	"github.com/skylarkpond/skylarkpond/policy/capacity"
	policy "github.com/skylarkpond/skylarkpond/policy/turns"
)

// This file grants turns, the permission to send one request to one group, by the decisions of policy/turns.

func modelKey(service, model string) string { return service + "/" + model }

// turnKey returns the key of a turn, which is unique over all entries.
func turnKey(entry string, key uint64) string { return entry + "/" + strconv.FormatUint(key, 10) }

// splitKey is the inverse of turnKey.
func splitKey(turnKey string) (entry string, key uint64) {
	i := strings.LastIndexByte(turnKey, '/')
	key, err := strconv.ParseUint(turnKey[i+1:], 10, 64)
	if err != nil {
		return "", 0 // can't happen: turnKey produced the key
	}
	return turnKey[:i], key
}

// notLeader tells a follower that this entry is not the leader, so that the follower decides for itself.
const notLeader = "not-in-charge"

func (l *Leader) submit(entry string, from recipient, request link.TurnRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leading {
		from.Send(link.Down{Refusal: &link.Refusal{Key: request.Key, Reason: notLeader}})
		return
	}
	tried := make([]string, 0, len(request.Tried))
	for _, id := range request.Tried {
		tried = append(tried, string(id))
	}
	key := turnKey(entry, request.Key)
	l.turns.SetConfirmed(l.now(), l.deps.Confirmed()) // this process may have been suspended since the last tick
	decisions := l.turns.Submit(l.now(), policy.Request{
		Key: key, Client: entry, Model: modelKey(request.Service, request.Model),
		FirstTokenBudget: time.Duration(request.FirstTokenBudgetMs) * time.Millisecond, MaxWait: time.Duration(request.MaxWaitMs) * time.Millisecond, Priority: request.Priority, TriedHeads: tried,
		Retry: request.Retry, Fingerprint: request.Fingerprint, Optional: request.Optional, Size: capacity.RequestSize{PromptTokens: float64(request.PromptTokens), OutputTokens: float64(request.OutputTokens)},
	}, rand.Float64)
	l.sendDecisions(decisions)
	if !slices.ContainsFunc(decisions, func(d policy.Decision) bool { return d.Key == key }) {
		from.Send(link.Down{Queued: request.Key})
	}
}

// reconcile replaces the turns held by an entry with those that it reports.
func (l *Leader) reconcile(entry string, held []link.RunningTurn) {
	heads := make(map[string]string, len(held))
	for _, running := range held {
		heads[turnKey(entry, running.Key)] = string(running.Head)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sendDecisions(l.turns.Reconcile(l.now(), entry+"/", heads, rand.Float64))
}

func (l *Leader) done(entry string, done link.Done) {
	end := policy.End{Complete: done.Complete, FirstToken: time.Duration(done.FirstTokenMs) * time.Millisecond, Unsent: done.Unsent, Rejected: done.Rejected}
	l.mu.Lock()
	end.Failed = done.Failed && !l.isolated[entry]
	head, inUse := l.turns.Head(turnKey(entry, done.Key))
	if inUse && done.Unreachable {
		defer l.connectionFailed(entry, backend.ID(head)) // after the lock is released
	}
	defer l.mu.Unlock()
	l.sendDecisions(l.turns.Done(l.now(), turnKey(entry, done.Key), end, rand.Float64))
	l.updatePlain()
}

// sendDecisions sends decisions to the followers concerned. It must be called with l.mu held; sending never blocks.
func (l *Leader) sendDecisions(decisions []policy.Decision) {
	if len(decisions) == 0 {
		return
	}
	revision, age := l.deps.Listing().Revision, l.deps.ListAge()
	for _, d := range decisions {
		entry, key := splitKey(d.Key)
		to := l.followers[entry]
		if to == nil {
			continue
		}
		if d.Reason == policy.Granted {
			to.Send(link.Down{Grant: &link.Grant{Key: key, Head: backend.ID(d.Head), Revision: revision, AgeMs: age.Milliseconds(), Metered: d.Metered, Watched: d.Watched}})
			continue
		}
		to.Send(link.Down{Refusal: &link.Refusal{
			Key: key, Reason: string(reasons[d.Reason]), RetryAfterMs: d.RetryAfter.Milliseconds(), Detail: l.describe(d),
		}})
	}
}

// describe returns the state that a rejection was based on, for the log. It must be called with l.mu held.
func (l *Leader) describe(d policy.Decision) string {
	text := fmt.Sprintf("%d run on %d places, %d wait", d.Running, d.Slots, d.Waiting)
	if d.Pauses.Heads > 0 {
		text += fmt.Sprintf(", %d servers want no requests of this entry: %s for another %v", d.Pauses.Heads, d.Pauses.First, d.Pauses.Left.Round(time.Millisecond))
	}
	if d.Limits.Heads == 0 {
		return text
	}
	text += fmt.Sprintf(", %d servers take %.3g requests a second together", d.Limits.Heads, d.Limits.PerSecond)
	if known, ok := l.limits.ledger.Limit(d.Limits.Lowest); ok {
		text += fmt.Sprintf(": %s stated a limit of %.3g to %s %v ago", d.Limits.Lowest, known.PerSecond, known.Source, (l.now() - known.At).Round(time.Millisecond))
	}
	return text
}

var reasons = map[policy.Reason]turn.Reason{policy.NoGroup: turn.NoServer, policy.TooLate: turn.Full, policy.TriedAll: turn.TriedAll, policy.Paused: turn.Paused}

// suspect withholds turns from a group and starts a check of it. It ignores reports of entries that have lost their connections to the servers,
// and does nothing while this entry can't judge.
func (l *Leader) suspect(entry string, head backend.ID) {
	server := l.deps.Listing().Servers[head]
	if server == nil || !l.deps.IsLeader() || l.deps.Blind != nil && l.deps.Blind() {
		return
	}
	l.mu.Lock()
	isolated := l.isolated[entry]
	if !isolated {
		l.turns.Suspect(l.now(), string(head))
	}
	l.mu.Unlock()
	if isolated {
		return
	}
	l.deps.Suspect(server.Group.GroupKey)
}

// ClearSuspicion makes a suspected group available again, after all of its members have answered.
func (l *Leader) ClearSuspicion(head backend.ID) {
	l.setUnreachable(head, false)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sendDecisions(l.turns.ClearSuspicion(l.now(), string(head), rand.Float64))
}
