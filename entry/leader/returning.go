package leader

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	link "github.com/skylarkpond/skylarkpond/link/leader"
	policy "github.com/skylarkpond/skylarkpond/policy/turns"
)

// This file keeps slots free for new requests while callers return after failed attempts, by the decisions of policy/turns, and stores and restores
// what they are based on.

func turnsConfig(deps Deps) policy.Config {
	config := policy.DefaultConfig()
	config.ReserveForNew = deps.ReserveForNew
	return config
}

// timeLeft returns the time until the caller's deadline, or 0 if it does not matter. Plain services have no slots to reserve.
func timeLeft(request link.TurnRequest) time.Duration {
	if request.Model == "" {
		return 0
	}
	return time.Duration(request.DeadlineMs) * time.Millisecond
}

// describeReturning returns the part of a rejection's description that concerns returning callers.
func describeReturning(slots *policy.ReturningSlots) string {
	if slots == nil {
		return ""
	}
	return fmt.Sprintf(", returning callers run on %d of %d places, new requests leave over %.3g a second", slots.Running, slots.Allowed, slots.PerSecond)
}

func (l *Leader) reportReturning() {
	if l.deps.ReportReturning == nil {
		return
	}
	l.mu.Lock()
	counts := l.turns.TakeReturning(l.now())
	l.mu.Unlock()
	for _, count := range counts {
		l.deps.ReportReturning(count)
	}
}

// StoreCallers returns what was learned of callers as JSON, to be stored on the platform; nil if there is nothing.
func (l *Leader) StoreCallers() json.RawMessage {
	l.mu.Lock()
	defer l.mu.Unlock()
	stored, ok := l.turns.StoreCallers(l.now())
	if !ok {
		return nil
	}
	body, err := json.Marshal(stored)
	if err != nil {
		return nil // can't happen: strings and finite numbers always encode
	}
	return body
}

// RestoreCallers restores what StoreCallers returned in the process of an earlier leader. It does nothing while this entry is the leader, which has
// learned since. It returns an error, and restores nothing, if the JSON is invalid or a value in it is implausible.
func (l *Leader) RestoreCallers(body json.RawMessage) error {
	var stored policy.StoredCallers
	if err := json.Unmarshal(body, &stored); err != nil {
		return eris.Wrap(err, "stored deadlines of callers")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leading {
		return nil
	}
	return eris.Wrap(l.turns.RestoreCallers(stored), "stored deadlines of callers")
}

// KnownDeadlines returns the number of models and priorities whose callers' usual deadlines are known.
func (l *Leader) KnownDeadlines() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.turns.KnownDeadlines()
}
