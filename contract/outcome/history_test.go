package outcome

import (
	"github.com/anishathalye/porcupine"

	"github.com/skylarkpond/skylarkpond/contract"
)

// keyState is what is true of one key, for each of the two requests that callers send under it.
type keyState struct {
	ran     bool
	request string
	attempt int
	// sealed is the highest attempt told not-run, by request.
	sealedF, sealedG int
}

// operation is a run, by the engine's log, or an answer to a caller.
type operation struct {
	key, request string
	attempt      int
	run          bool
	told         contract.Outcome
}

func (s *keyState) sealed(request string) *int {
	if request == "g" {
		return &s.sealedG
	}
	return &s.sealedF
}

// keyModel is the promise to callers as a sequential specification: a run may happen once, and not under an
// attempt that was told not-run; not-run is told of what did not run, answered of what did.
var keyModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, op := range history {
			key := op.Input.(operation).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return keyState{} },
	Step: func(state, input, _ any) (bool, any) {
		s, op := state.(keyState), input.(operation)
		sealed := s.sealed(op.request)
		switch {
		case op.run:
			if s.ran || op.attempt <= *sealed {
				return false, s
			}
			s.ran, s.request, s.attempt = true, op.request, op.attempt
		case op.told == contract.OutcomeNotRun:
			if s.ran && s.request == op.request && s.attempt <= op.attempt {
				return false, s
			}
			*sealed = max(*sealed, op.attempt)
		case op.told == contract.OutcomeAnswered:
			return s.ran && s.request == op.request, s
		}
		return true, s
	},
}

// checkHistory looks for an order of runs and answers that agrees with the steps at which they were seen.
func (w *world) checkHistory() {
	var history []porcupine.Operation
	for i, run := range w.runs {
		op := operation{key: run.key, request: run.fingerprint, attempt: run.attempt, run: true}
		if w.unrepeatable(run.requestID) {
			history = append(history, porcupine.Operation{ClientId: i, Input: op, Call: 2 * run.at, Return: 2*run.at + 1})
		}
	}
	for i, t := range w.tellers {
		q := t.request
		if !q.Unrepeatable || t.outcome != contract.OutcomeNotRun && t.outcome != contract.OutcomeAnswered {
			continue
		}
		op := operation{key: t.key, request: q.Fingerprint, attempt: q.Attempt, told: t.outcome}
		history = append(history, porcupine.Operation{ClientId: len(w.runs) + i, Input: op, Call: 2 * t.called, Return: 2*t.returned + 1})
	}
	if !porcupine.CheckOperations(keyModel, history) {
		w.t.Fatalf("no order of runs and answers keeps the promise: %+v", history)
	}
}

func (w *world) unrepeatable(requestID string) bool {
	for _, t := range w.tellers {
		if t.request.ID == requestID {
			return t.request.Unrepeatable
		}
	}
	return false
}
