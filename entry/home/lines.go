package home

import (
	"fmt"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/attempt"
	"github.com/skylarkpond/skylarkpond/timeline"
)

// Messages of log lines.
const (
	lineClaimUnconfirmed = "claim not confirmed"
	lineClaimGivenUp     = "request given up unsent after its claim"
	lineReleased         = "claim released"
	lineNotReleased      = "claim could not be released"
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

// noteClaim reports the result of a claim: "home.claim.<verdict>" counts them.
func (r *run) noteClaim(result attempt.Result) {
	r.home.count("home.claim." + result.Verdict.String())
	if result.Verdict == attempt.Confirmed {
		r.record(timeline.RequestClaimed, "")
		return
	}
	r.record(timeline.ClaimUnconfirmed, result.Verdict.String())
	r.log().WithFields(logrus.Fields{"verdict": result.Verdict.String(), "state": result.Record.State}).Warn(lineClaimUnconfirmed)
}

// noteRefusal reports that the request is given up unsent.
func (r *run) noteRefusal(p *contract.Problem) {
	if r.claim.Verdict == 0 {
		r.record(timeline.RequestRefused, string(p.Code))
		return
	}
	r.home.count("home.claim-given-up")
	r.record(timeline.RequestRefused, string(p.Code)+", claim given up")
	r.log().WithFields(logrus.Fields{"code": p.Code, "reason": p.Message, "front_gone": r.frontGone}).Info(lineClaimGivenUp)
}

// noteRelease reports the result of a release: "home.release.<verdict>" counts them; found: the front replaced the
// claim.
func (r *run) noteRelease(result attempt.Result) {
	verdict := result.Verdict.String()
	r.home.count("home.release." + verdict)
	switch {
	case result.Verdict == attempt.Confirmed:
		r.record(timeline.ClaimReleased, "")
		r.log().Info(lineReleased)
	case !result.Verdict.Settled():
		r.record(timeline.ReleaseUnconfirmed, verdict)
		r.log().WithField("verdict", verdict).Warn(lineNotReleased)
	}
}
