package home

import (
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/attempt"
	"github.com/skylarkpond/skylarkpond/timeline"
)

// Log messages.
const (
	msgClaimUnconfirmed = "claim not confirmed"
	msgClaimAbandoned   = "claim abandoned: request refused before it was sent"
	msgClaimReleased    = "claim released"
	msgClaimNotReleased = "claim could not be released"
	msgPause            = "backend server asks for a pause"
	msgRateLimit        = "backend server states another limit of requests"
)

func (r *run) log() logrus.FieldLogger {
	return r.home.deps.Log.WithFields(logrus.Fields{
		"request": r.d.RequestID, "team": r.d.Team, "service": r.d.Service, "group": r.d.Group, "front": r.d.Front,
	})
}

func (h *Home) count(name string) {
	metrics.GetOrRegisterCounter(name, h.deps.Metrics).Inc(1)
}

func describeLoad(load contract.GroupLoad) string {
	return fmt.Sprintf("%d in flight, limit %d, %d queued", load.InFlight, load.Limit, load.Queued)
}

// reportRateLimit logs that the group takes another number of requests a second; nil for no limit.
func (r *run) reportRateLimit(perSecond *float64) {
	r.home.count("home.rate_limit.changes")
	r.log().WithField("per_second", perSecond).Info(msgRateLimit)
}

// reportPause logs that the group wants no requests for a time.
func (r *run) reportPause(length time.Duration) {
	r.home.count("home.pauses")
	r.log().WithField("for_ms", length.Milliseconds()).Info(msgPause)
}

// reportClaim reports the result of a claim and counts it in the metric "home.claim.<verdict>".
func (r *run) reportClaim(result attempt.Result) {
	r.home.count("home.claim." + result.Verdict.String())
	if result.Verdict == attempt.Confirmed {
		r.record(timeline.RequestClaimed, "")
		return
	}
	r.record(timeline.ClaimUnconfirmed, result.Verdict.String())
	r.log().WithFields(logrus.Fields{"verdict": result.Verdict.String(), "state": result.Record.State}).Warn(msgClaimUnconfirmed)
}

// reportRefusal reports that the request is refused without having been sent, and whether a claim is abandoned
// with it.
func (r *run) reportRefusal(p *contract.Problem) {
	if r.claim.Verdict == 0 {
		r.record(timeline.RequestRefused, string(p.Code))
		return
	}
	r.home.count("home.claim-given-up")
	r.record(timeline.RequestRefused, string(p.Code)+", claim given up")
	r.log().WithFields(logrus.Fields{"code": p.Code, "reason": p.Message, "front_gone": r.frontGone}).Info(msgClaimAbandoned)
}

// reportRelease reports the result of a release and counts it in the metric "home.release.<verdict>". The verdict
// "found" means that the front has replaced the claim already.
func (r *run) reportRelease(result attempt.Result) {
	verdict := result.Verdict.String()
	r.home.count("home.release." + verdict)
	switch {
	case result.Verdict == attempt.Confirmed:
		r.record(timeline.ClaimReleased, "")
		r.log().Info(msgClaimReleased)
	case !result.Verdict.Settled():
		r.record(timeline.ReleaseUnconfirmed, verdict)
		r.log().WithField("verdict", verdict).Warn(msgClaimNotReleased)
	}
}
