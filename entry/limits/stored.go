package limits

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/backend"
	link "github.com/skylarkpond/skylarkpond/link/leader"
)

// maxStored bounds the limits that are stored.
const maxStored = 1024

// maxPerSecond is the largest limit that is restored, in requests a second.
const maxPerSecond = 1e6

// storedLimit is the stored form of a limit.
type storedLimit struct {
	Server    backend.ID `json:"server"`
	Process   int64      `json:"process,omitempty"`
	PerSecond float64    `json:"per_second"`
	Source    string     `json:"source,omitempty"`
}

// Encode returns all known limits as JSON, to be stored on the platform; nil if there is none.
func (t *Tracker) Encode() json.RawMessage {
	var stored []storedLimit
	for _, limit := range t.Limits() {
		stored = append(stored, storedLimit{Server: limit.Server, Process: limit.Process, PerSecond: limit.PerSecond, Source: limit.Source})
	}
	if len(stored) == 0 {
		return nil
	}
	body, err := json.Marshal(stored[:min(len(stored), maxStored)])
	if err != nil {
		return nil // can't happen: strings and finite numbers always encode
	}
	return body
}

// Restore adds the limits that Encode returned, for servers of which none is known. It returns an error if the JSON is invalid.
func (t *Tracker) Restore(body json.RawMessage) error {
	var stored []storedLimit
	if err := json.Unmarshal(body, &stored); err != nil {
		return eris.Wrap(err, "stored limits")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range stored[:min(len(stored), maxStored)] {
		if _, known := t.known[s.Server]; !known && s.PerSecond >= 0 && s.PerSecond <= maxPerSecond {
			t.known[s.Server] = limit{
				ServerLimit: link.ServerLimit{Server: s.Server, Process: s.Process, PerSecond: s.PerSecond, Source: s.Source}, learnedAt: time.Now(),
			}
		}
	}
	return nil
}
