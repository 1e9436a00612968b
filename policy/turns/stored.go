package turns

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/skylarkpond/skylarkpond/policy/deadlines"
)

// This file stores what a scheduler has learned of callers, for one that starts after the loss of all entries.

// StoredCallers is what a scheduler has learned of callers, in stored form.
type StoredCallers struct {
	Deadlines []deadlines.Stored `json:"deadlines,omitempty"`
	Models    []StoredModel      `json:"models,omitempty"`
}

// StoredModel holds the rate of a model's new requests and the mean duration of a turn.
type StoredModel struct {
	Model        string  `json:"model"`
	NewPerSecond float64 `json:"new_per_second"`
	TurnMs       int64   `json:"turn_ms"`
}

const (
	// maxStoredModels bounds what is stored, and maxStoredName the names in it.
	maxStoredModels = 32
	maxStoredName   = 200
	// minStoredRate is a rate that leaves all slots over.
	minStoredRate = 0.1
	// maxStoredRate and maxStoredTurn are the limits of plausible values.
	maxStoredRate = 1e6
	maxStoredTurn = 10 * time.Minute
)

// StoreCallers returns what was learned of callers; false if nothing was, or Config.ReserveForNew is not set.
func (s *Scheduler) StoreCallers(now time.Duration) (StoredCallers, bool) {
	if s.reserve == nil {
		return StoredCallers{}, false
	}
	stored := StoredCallers{Deadlines: s.reserve.usual.Store()}
	for name, m := range s.reserve.models {
		rate, turnMs := m.newRate.at(now), s.model(name).meanTurnTime.Milliseconds()
		if rate >= minStoredRate && turnMs > 0 {
			stored.Models = append(stored.Models, StoredModel{Model: name, NewPerSecond: math.Round(10*rate) / 10, TurnMs: turnMs})
		}
	}
	slices.SortFunc(stored.Models, func(a, b StoredModel) int { return strings.Compare(a.Model, b.Model) })
	stored.Models = stored.Models[:min(len(stored.Models), maxStoredModels)]
	return stored, len(stored.Deadlines)+len(stored.Models) > 0
}

// RestoreCallers replaces what was learned of callers by what StoreCallers returned. It returns an error, and changes nothing, if a value is
// implausible.
func (s *Scheduler) RestoreCallers(stored StoredCallers) error {
	if err := deadlines.Check(stored.Deadlines); err != nil {
		return err
	}
	if len(stored.Models) > maxStoredModels {
		return fmt.Errorf("request rates of %d models, at most %d are stored", len(stored.Models), maxStoredModels)
	}
	for _, m := range stored.Models {
		turn := time.Duration(m.TurnMs) * time.Millisecond
		if m.Model == "" || len(m.Model) > maxStoredName || m.NewPerSecond < 0 || m.NewPerSecond > maxStoredRate || m.TurnMs <= 0 || m.TurnMs > maxStoredTurn.Milliseconds() {
			return fmt.Errorf("%g new requests per second and turns of %v of model %.50q", m.NewPerSecond, turn, m.Model)
		}
	}
	if s.reserve == nil {
		return nil
	}
	s.reserve.usual.Restore(stored.Deadlines)
	for _, m := range stored.Models {
		s.reserve.model(m.Model).newRate = rateEstimate{stored: m.NewPerSecond}
		s.model(m.Model).meanTurnTime = time.Duration(m.TurnMs) * time.Millisecond
	}
	return nil
}

// KnownDeadlines returns the number of models and priorities whose usual deadlines are known.
func (s *Scheduler) KnownDeadlines() int {
	if s.reserve == nil {
		return 0
	}
	return s.reserve.usual.Len()
}
