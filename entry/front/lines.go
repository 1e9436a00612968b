package front

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/attempt"
	"github.com/skylarkpond/skylarkpond/contract/outcome"
	"github.com/skylarkpond/skylarkpond/timeline"
)

// msgUnanswered is the log message for a request that did not get an answer.
const msgUnanswered = "request ended without an answer"

// logUnanswered logs a request that ends with a problem instead of an answer. A request that may run at most once is
// always logged, any other one unless the caller has to correct it first.
func (d *driver) logUnanswered(action outcome.Action) {
	if action.Problem == nil || action.Outcome == contract.OutcomeAnswered {
		return
	}
	if action.Problem.Code == contract.CodeCallerLeft && !d.request.atMostOnce {
		return
	}
	fields := logrus.Fields{
		"request": d.request.id, "team": d.request.team.Name, "service": d.request.service.Name,
		"outcome": action.Outcome, "code": action.Problem.Code, "detail": action.Problem.Message,
		"groups": d.tried, "home": d.home, "took_ms": time.Since(d.startedAt).Milliseconds(),
	}
	if d.request.atMostOnce {
		fields["key"] = d.request.key
		fields["attempt"] = d.request.attempt
	} else if rejectsCaller(action.Problem.Status) {
		return
	}
	line := d.front.deps.Log.WithFields(fields)
	if action.Outcome == contract.OutcomeUnknown {
		line.Warn(msgUnanswered)
		return
	}
	line.Info(msgUnanswered)
}

// msgNotHome is the log message for a request that an entry refused because it is not the home of the group.
const msgNotHome = "entry refused the request because it is not the home of the group"

// maxLoggedEntries bounds the names of entries in one log line.
const maxLoggedEntries = 16

// reportNotHome logs and counts that the entry that was asked is not the home of the group. next is the entry that is
// asked instead, or "" if none is.
func (d *driver) reportNotHome(next string) {
	d.front.metrics.increment("front.not-home")
	eligible, age := d.front.deps.Homes.Eligible()
	count := len(eligible)
	eligible = eligible[:min(count, maxLoggedEntries)]
	d.front.deps.Log.WithFields(logrus.Fields{
		"request": d.request.id, "group": d.choice.Group, "asked": d.refusedBy, "named": d.named, "next": next,
		"eligible": eligible, "eligible_count": count, "eligible_age_ms": age.Milliseconds(),
	}).Info(msgNotHome)
}

// rejectsCaller reports whether an HTTP status means that the same request would be rejected again.
func rejectsCaller(status int) bool {
	return status < http.StatusInternalServerError && status != http.StatusTooManyRequests
}

// reportHomeLost records that the home of the dispatch can no longer be reached.
func (d *driver) reportHomeLost(err error) {
	d.front.metrics.increment("front.home-lost")
	d.recordEvent(timeline.Event{Kind: timeline.HomeLost, Group: string(d.choice.Group), Detail: err.Error()})
}

// reportSeal reports the result of a seal and counts it in the metric "front.seal.<verdict>".
func (d *driver) reportSeal(result attempt.Result) {
	d.front.metrics.increment("front.seal." + result.Verdict.String())
	if result.Verdict == attempt.Confirmed {
		d.record(timeline.RequestSealed, "")
		return
	}
	d.record(timeline.SealUnconfirmed, result.Verdict.String())
}

// reportHolderAnswer reports the answer of a claim's holder and counts it in the metric "front.holder.<answer>".
func (d *driver) reportHolderAnswer(claim contract.AttemptRecord, answer outcome.HolderAnswer) {
	d.front.metrics.increment("front.holder." + answer.String())
	d.recordEvent(timeline.Event{Kind: timeline.HolderAsked, Peer: claim.Home, Detail: answer.String()})
}
