package suspects

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	link "github.com/skylarkpond/skylarkpond/link/leader"
)

// maxStoredRules bounds the rules that are stored.
const maxStoredRules = 64

// storedRule is the stored form of a rule.
type storedRule struct {
	Service string   `json:"service"`
	Traits  []string `json:"traits"`
	Crashes int      `json:"crashes"`
	// LastCrash is the time of the last crash in Unix milliseconds, by the clock of the entry that stored the rule.
	LastCrash int64 `json:"last_crash_ms"`
}

// Encode returns what the leader holds back as JSON, to be stored on the platform; nil if nothing is held back.
func (w *Watch) Encode() json.RawMessage {
	now := time.Now().UnixMilli()
	var stored []storedRule
	for _, holds := range w.Holds() {
		for _, rule := range holds.Rules {
			stored = append(stored, storedRule{Service: holds.Service, Traits: rule.Traits, Crashes: rule.Crashes, LastCrash: now - rule.AgeMs})
		}
	}
	if len(stored) == 0 {
		return nil
	}
	body, err := json.Marshal(stored[:min(len(stored), maxStoredRules)])
	if err != nil {
		return nil // can't happen: strings and numbers always encode
	}
	return body
}

// maxAge is the longest time since a crash that is computed with.
const maxAge = 24 * time.Hour

// ageMillis returns how long ago a time was, both in Unix milliseconds; 0 if it is yet to come.
func ageMillis(now, then int64) int64 {
	then = min(max(then, now-maxAge.Milliseconds()), now)
	return now - then
}

// Restore sets what is held back from what Encode returned, in services of which no leader has told anything yet. It returns an error if the JSON is
// invalid.
func (w *Watch) Restore(body json.RawMessage) error {
	var stored []storedRule
	if err := json.Unmarshal(body, &stored); err != nil {
		return eris.Wrap(err, "stored rules")
	}
	now := time.Now().UnixMilli()
	byService := make(map[string]link.Holds)
	for _, rule := range stored[:min(len(stored), maxStoredRules)] {
		holds := byService[rule.Service]
		holds.Service = rule.Service
		holds.Rules = append(holds.Rules, link.Rule{Traits: rule.Traits, Crashes: rule.Crashes, AgeMs: ageMillis(now, rule.LastCrash)})
		byService[rule.Service] = holds
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, holds := range byService {
		if s := w.service(name); !s.toldByLeader {
			s.set(holds)
		}
	}
	return nil
}
