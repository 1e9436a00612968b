package outcome

import (
	"github.com/anishathalye/porcupine"

	"github.com/skylarkpond/skylarkpond/contract"
)

// keyState is the state of one key, for each of the two requests that callers send under it.
type keyState struct {
	ran     bool
	request string
	attempt int
	// sealedF and sealedG are the highest attempts reported as not-run, by request.
	sealedF, sealedG int
}

// operation is a run according to the engine's log, or an outcome reported to a caller.
type operation struct {
	key, request string
	attempt      int
	run          bool
	outcome      contract.Outcome
}

func (s *keyState) sealed(request string) *int {
	if request == "g" {
		return &s.sealedG
	}
	return &s.sealedF
}

// keyModel is the guarantee to callers as a sequential specification: a request runs at most once, and not under an
// attempt that was reported as not-run; not-run is only reported for what did not run, and answered for what did.
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
		case op.outcome == contract.OutcomeNotRun:
			if s.ran && s.request == op.request && s.attempt <= op.attempt {
				return false, s
			}
			*sealed = max(*sealed, op.attempt)
		case op.outcome == contract.OutcomeAnswered:
			return s.ran && s.request == op.request, s
		}
		return true, s
	},
}

// checkHistory checks that some order of the runs and reported outcomes satisfies keyModel and is consistent with the
// steps at which they occurred.
func (sim *simulation) checkHistory() {
	var history []porcupine.Operation
	for i, run := range sim.runs {
		op := operation{key: run.key, request: run.fingerprint, attempt: run.attempt, run: true}
		if sim.unrepeatable(run.requestID) {
			history = append(history, porcupine.Operation{ClientId: i, Input: op, Call: 2 * run.step, Return: 2*run.step + 1})
		}
	}
	for i, conn := range sim.connections {
		req := conn.request
		if !req.AtMostOnce || conn.outcome != contract.OutcomeNotRun && conn.outcome != contract.OutcomeAnswered {
			continue
		}
		op := operation{key: conn.key, request: req.Fingerprint, attempt: req.AttemptNumber, outcome: conn.outcome}
		history = append(history, porcupine.Operation{ClientId: len(sim.runs) + i, Input: op, Call: 2 * conn.called, Return: 2*conn.returned + 1})
	}
	if !porcupine.CheckOperations(keyModel, history) {
		sim.t.Fatalf("no order of runs and outcomes satisfies the specification: %+v", history)
	}
}

func (sim *simulation) unrepeatable(requestID string) bool {
	for _, conn := range sim.connections {
		if conn.request.ID == requestID {
			return conn.request.AtMostOnce
		}
	}
	return false
}
