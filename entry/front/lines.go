package front

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/attempt"
	"github.com/skylarkpond/skylarkpond/contract/outcome"
	"github.com/skylarkpond/skylarkpond/timeline"
)

// lineUnanswered is the message of the log line of a request that may not be repeated and was not answered.
const lineUnanswered = "request ended without an answer"

func (d *drive) noteUnanswered(action outcome.Action) {
	if !d.q.unrepeatable || action.Problem == nil || action.Outcome == contract.OutcomeAnswered {
		return
	}
	line := d.front.deps.Log.WithFields(logrus.Fields{
		"request": d.q.id, "team": d.q.team.Name, "service": d.q.service.Name, "key": d.q.key, "attempt": d.q.attempt,
		"outcome": action.Outcome, "code": action.Problem.Code, "detail": action.Problem.Message,
		"groups": d.tried, "took_ms": time.Since(d.began).Milliseconds(),
	})
	if action.Outcome == contract.OutcomeUnknown {
		line.Warn(lineUnanswered)
		return
	}
	line.Info(lineUnanswered)
}

func (d *drive) noteLost(err error) {
	d.front.counts.add("front.home-lost")
	d.recordEvent(timeline.Event{Kind: timeline.HomeLost, Group: string(d.choice.Group), Detail: err.Error()})
}

// noteSeal reports the result of a seal: "front.seal.<verdict>" counts them.
func (d *drive) noteSeal(result attempt.Result) {
	d.front.counts.add("front.seal." + result.Verdict.String())
	if result.Verdict == attempt.Confirmed {
		d.record(timeline.RequestSealed, "")
		return
	}
	d.record(timeline.SealUnconfirmed, result.Verdict.String())
}

// noteHolder reports what the holder of a claim answered: "front.holder.<answer>" counts the answers.
func (d *drive) noteHolder(claim contract.AttemptRecord, answer outcome.HolderAnswer) {
	d.front.counts.add("front.holder." + answer.String())
	d.recordEvent(timeline.Event{Kind: timeline.HolderAsked, Peer: claim.Home, Detail: answer.String()})
}
