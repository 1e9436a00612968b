package standing

import (
	"testing"
	"time"
)

// Guards against a state of a server that another one hides: an evacuated server that is cold must not be sent the few requests of a cold one.
func TestStrongestStateDecides(t *testing.T) {
	const now = 10 * time.Second
	cold := Facts{ColdUntil: now + time.Second, ColdPerSecond: 14}
	for name, c := range map[string]struct {
		facts Facts
		want  Standing
	}{
		"nothing known":         {Facts{}, Standing{}},
		"cold":                  {cold, Standing{PerSecond: 14, Until: now + time.Second, Reason: Cold}},
		"no longer cold":        {Facts{ColdUntil: now, ColdPerSecond: 14}, Standing{}},
		"cold without a limit":  {Facts{ColdUntil: now + time.Second}, Standing{}},
		"evacuated and cold":    {Facts{Evacuated: true, ColdUntil: cold.ColdUntil, ColdPerSecond: 14}, Standing{Blocked: true, Reason: Evacuated}},
		"unreachable and cold":  {Facts{Unreachable: true, ColdUntil: cold.ColdUntil, ColdPerSecond: 14}, Standing{Blocked: true, Reason: Unreachable}},
		"evacuated, no answers": {Facts{Evacuated: true, Unreachable: true}, Standing{Blocked: true, Reason: Evacuated}},
	} {
		if got := c.facts.At(now); got != c.want {
			t.Errorf("%s: got %+v, want %+v", name, got, c.want)
		}
	}
}
