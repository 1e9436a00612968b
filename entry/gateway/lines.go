package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/entry/backoff"
	"github.com/skylarkpond/skylarkpond/entry/grouping"
	"github.com/skylarkpond/skylarkpond/entry/intake"
	"github.com/skylarkpond/skylarkpond/entry/leader"
	"github.com/skylarkpond/skylarkpond/entry/lease"
	"github.com/skylarkpond/skylarkpond/entry/limits"
	"github.com/skylarkpond/skylarkpond/entry/progress"
	"github.com/skylarkpond/skylarkpond/entry/relay"
	"github.com/skylarkpond/skylarkpond/entry/suspects"
	"github.com/skylarkpond/skylarkpond/link/framing"
	"github.com/skylarkpond/skylarkpond/link/ingress"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	store "github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/logline"
	"github.com/skylarkpond/skylarkpond/policy/turns"
)

func (s *shared) platformLost(kind store.Kind, err error) {
	metrics.GetOrRegisterCounter("platform.lost."+string(kind), s.registry).Inc(1)
	s.log.WithError(err).WithField("kind", kind).Warn(logline.PlatformLost)
}

func (s *shared) platformRegained(kind store.Kind, away time.Duration) {
	s.log.WithFields(logrus.Fields{"kind": kind, "away_ms": away.Milliseconds()}).Info(logline.PlatformRegained)
}

// registrationsLapsed logs that servers stay listed because their registrations may have ended for the platform's absence.
func (s *shared) registrationsLapsed(service string, servers int) {
	s.log.WithFields(logrus.Fields{"service": service, "servers": servers}).Info(logline.Lapsed)
}

// progressChanged logs that the work of the leader stands still in this process, or goes on.
func (s *shared) progressChanged(task progress.Task, stalled bool) {
	entry := s.log.WithField("task", task)
	if !stalled {
		entry.Info(logline.WorkGoesOn)
		return
	}
	metrics.GetOrRegisterCounter("process.stalls."+string(task), s.registry).Inc(1)
	entry.Error(logline.WorkStalled)
}

func (s *shared) objectUnreadable(object store.Object, err error) {
	s.log.WithError(err).WithFields(logrus.Fields{"kind": object.Kind, "object": object.Name}).Warn(logline.LeftOut)
}

func (s *shared) configInForce(table *route.Table) {
	s.log.WithField("config_version", table.Version).Info(logline.ConfigInForce)
}

func (s *shared) serverLeaving(server *backend.Server, fromLeader bool) {
	s.log.WithFields(logrus.Fields{"vm": server.ID, "revision": server.Revision, "from_leader": fromLeader}).Info(logline.ServerLeaves)
}

// requestRejected logs that a server did not run a request, with the server list by which the request was sent there and what this
// entry now knows of the server.
func (s *shared) requestRejected(rejection relay.Rejection) {
	listing := s.components.catalog.Listing()
	listed := listing.Servers[rejection.Server.ID]
	leaving := listed == nil || listed.Leaving
	metrics.GetOrRegisterCounter("requests.rejected_by_server", s.registry).Inc(1)
	if leaving {
		metrics.GetOrRegisterCounter("requests.sent_to_leaving", s.registry).Inc(1)
	}
	s.log.WithFields(logrus.Fields{
		"request": rejection.Request, "vm": rejection.Server.ID, "status": rejection.Status, "leaving": leaving,
		"by_leader": rejection.Basis.FromLeader, "basis_revision": rejection.Basis.Revision, "basis_age_ms": rejection.Basis.Age.Milliseconds(),
		"list_revision": listing.Revision, "list_age_ms": s.components.catalog.ServersAge().Milliseconds(),
	}).Info(logline.RequestRejected)
}

// maxUnreachableLines is the number of lines a second about failed connections to servers. When a failure domain's servers crash, hundreds of
// connections fail in a second.
const maxUnreachableLines = 20

// maxUnansweredLines is the number of lines a second about connections that ended with a request unanswered.
const maxUnansweredLines = 20

// requestUnanswered counts a connection that ended with a request unanswered, and logs it unless its caller closed it first or had not sent the
// whole header.
func (s *shared) requestUnanswered(request ingress.Unanswered) {
	cause := string(request.State)
	if request.CallerClosed {
		cause += ".caller_closed"
	}
	metrics.GetOrRegisterCounter("requests.unanswered."+cause, s.registry).Inc(1)
	if request.CallerClosed || request.State == ingress.Header {
		return
	}
	if !s.unansweredLines.Allow() {
		metrics.GetOrRegisterCounter("requests.unanswered.unlogged", s.registry).Inc(1)
		return
	}
	s.log.WithFields(logrus.Fields{
		"caller": request.Remote, "state": request.State, "since_last_byte_ms": request.SinceLastByte.Milliseconds(), "stopping": s.leaving.Load(),
	}).Warn(logline.RequestUnanswered)
}

// bodiesRefused logs that requests were refused because their bodies found no room, or arrived slowly while others needed theirs.
func (s *shared) bodiesRefused(refused intake.Refusals) {
	s.log.WithFields(refused.Fields()).Warn(logline.BodiesRefused)
}

// connectionsClosed logs that connections of callers were closed to make room for others.
func (s *shared) connectionsClosed(shortage ingress.Shortage) {
	s.log.WithFields(shortage.Fields()).Warn(logline.ConnectionsClosed)
}

// logUnfinished logs what a process leaves unfinished as it ends.
func (g *Gateway) logUnfinished(callers *ingress.Server) {
	unfinished := g.relay.Unfinished()
	for _, request := range unfinished {
		g.log.WithFields(logrus.Fields{
			"request": request.ID, "state": request.Stage.String(), "age_ms": request.Age.Milliseconds(),
		}).Warn(logline.RequestUnfinished)
	}
	for _, request := range callers.Open() {
		g.requestUnanswered(request)
	}
	g.log.WithField("unfinished", len(unfinished)).Info(logline.Stopped)
}

// serverUnreachable logs a failed connection to a server.
func (s *shared) serverUnreachable(request string, server *backend.Server, err error) {
	metrics.GetOrRegisterCounter("servers.unreachable", s.registry).Inc(1)
	if !s.unreachableLines.Allow() {
		metrics.GetOrRegisterCounter("servers.unreachable.unlogged", s.registry).Inc(1)
		return
	}
	s.log.WithError(err).WithFields(logrus.Fields{
		"request": request, "vm": server.ID, "failure_domain": server.FailureDomain,
	}).Info(logline.ServerUnreachable)
}

// limitHeard logs that a server has named another limit than the one known, or none any more.
func (s *shared) limitHeard(change limits.Change) {
	metrics.GetOrRegisterCounter("limits.heard", s.registry).Inc(1)
	s.log.WithFields(logrus.Fields{
		"vm": change.Server.ID, "service": change.Server.Service, "per_second": change.Now, "was": change.Was,
	}).Info(logline.ServerLimit)
}

// limitChanged logs that another limit of a server binds all entries from now on. This entry is the leader.
func (s *shared) limitChanged(change leader.LimitChange) {
	metrics.GetOrRegisterCounter("limits.changes", s.registry).Inc(1)
	service := ""
	if server := s.components.catalog.Listing().Servers[change.Server]; server != nil {
		service = server.Service
	}
	s.log.WithFields(logrus.Fields{
		"vm": change.Server, "service": service, "per_second": change.Now, "was": change.Was, "heard_by": change.Source,
	}).Info(logline.LimitInForce)
}

// sentToLimited counts the requests that this entry sends to servers with a limit.
func (s *shared) sentToLimited(server *backend.Server) {
	metrics.GetOrRegisterCounter("limits.sent."+server.Service, s.registry).Inc(1)
}

// limitInvalid logs the first limit of a server that can't be read.
func (s *shared) limitInvalid(server *backend.Server, text string) {
	metrics.GetOrRegisterCounter("limits.invalid", s.registry).Inc(1)
	s.log.WithFields(logrus.Fields{"vm": server.ID, "service": server.Service, "limit": text}).Warn(logline.LimitInvalid)
}

func (s *shared) pauseBegan(pause backoff.Pause) {
	metrics.GetOrRegisterCounter("pauses.began", s.registry).Inc(1)
	s.log.WithFields(logrus.Fields{"vm": pause.Server, "for_ms": pause.For.Milliseconds()}).Info(logline.PauseBegins)
}

func (s *shared) pauseEnded(pause backoff.Pause) {
	metrics.GetOrRegisterCounter("pauses.late_requests", s.registry).Inc(int64(pause.Late))
	s.log.WithFields(logrus.Fields{
		"vm": pause.Server, "for_ms": pause.For.Milliseconds(), "answers": pause.Answers, "late": pause.Late,
	}).Info(logline.PauseEnds)
}

// withheldInPause counts the requests that are not sent although they were granted, because their servers have asked for a pause.
func (s *shared) withheldInPause(backend.ID) {
	metrics.GetOrRegisterCounter("pauses.withheld", s.registry).Inc(1)
}

// pauseInvalid logs the first pause of a server that can't be read.
func (s *shared) pauseInvalid(server backend.ID, text string) {
	metrics.GetOrRegisterCounter("pauses.invalid", s.registry).Inc(1)
	s.log.WithFields(logrus.Fields{"vm": server, "pause": text}).Warn(logline.PauseInvalid)
}

// isolationChanged logs that this entry has lost the servers of a service, or reaches them again, and tells the leader.
func (s *shared) isolationChanged(service string, isolated, fromAny bool) {
	metrics.GetOrRegisterCounter("isolation.changes", s.registry).Inc(1)
	s.log.WithFields(logrus.Fields{"service": service, "isolated": isolated, "from_any": fromAny}).Warn(logline.Isolation)
	s.components.remote.Send(link.Up{Isolation: &link.Isolation{Isolated: fromAny}})
}

// stallReported counts the reports of stalled heads by the entry that sent them.
func (s *shared) stallReported(entry string, _ backend.ID) {
	metrics.GetOrRegisterCounter("leader.stalls_reported."+entry, s.registry).Inc(1)
}

func (s *shared) leaseChanged(holder lease.Holder, held bool) {
	s.components.limits.NoteInformed() // the attachment of the lease has been read, or there is none
	s.log.WithFields(logrus.Fields{"holder": holder.Entry, "held": held}).Info(logline.Lease)
}

func (s *shared) leaseWriteConflict() { s.log.Info(logline.LeaseRefused) }

func (s *shared) groupEvent(event grouping.Event) {
	if event.Kind == grouping.FleetReport {
		s.log.WithFields(logrus.Fields{"service": event.Service, "detail": event.Detail}).Info(string(event.Kind))
		return
	}
	metrics.GetOrRegisterCounter("groups."+string(event.Kind), s.registry).Inc(1)
	s.log.WithFields(logrus.Fields{
		"group": event.Group.String(), "vm": event.VM, "model": event.Model, "detail": event.Detail, "took_ms": event.Took.Milliseconds(),
	}).Info(string(event.Kind))
}

// holdsChanged logs which requests are held back from now on, because they crash servers.
func (s *shared) holdsChanged(holds link.Holds) {
	rules := make([]logrus.Fields, 0, len(holds.Rules))
	for _, rule := range holds.Rules {
		rules = append(rules, logrus.Fields{"traits": rule.Traits, "crashes": rule.Crashes, "last_crash_ms": rule.AgeMs})
	}
	s.log.WithFields(logrus.Fields{"service": holds.Service, "rules": rules, "suspects": holds.Suspects}).Warn(logline.RequestsHeldBack)
}

// serverChecked counts the checks of servers that broke a connection, and logs those that found a crash.
func (s *shared) serverChecked(check suspects.Check) {
	metrics.GetOrRegisterCounter("suspects.checks", s.registry).Inc(1)
	if !check.Crashed {
		return
	}
	metrics.GetOrRegisterCounter("suspects.crashes", s.registry).Inc(1)
	for _, request := range check.Requests {
		s.log.WithFields(logrus.Fields{
			"request": request.ID, "vm": check.Server.ID, "service": check.Server.Service, "traits": request.Traits,
		}).Warn(logline.ServerCrashed)
	}
}

func (s *shared) logDemand(demand turns.Demand) {
	s.log.WithFields(logrus.Fields{
		"model": demand.Model, "groups": demand.Groups, "places": demand.Slots, "running": demand.Running, "waiting": demand.Waiting,
		"asked": demand.Requests, "granted": demand.Granted, "refused": demand.Rejected, "took_ms": demand.MeanTurnTime.Milliseconds(),
		"first_ms": demand.FirstTokenBound.Milliseconds(), "fresh": demand.NewRequests, "prompt_tokens": int(demand.MeanSize.PromptTokens), "answer_tokens": int(demand.MeanSize.OutputTokens),
	}).Info(logline.Demand)
}

func (s *shared) requestEnded(report relay.Report) {
	metrics.GetOrRegisterCounter("requests."+string(report.Outcome), s.registry).Inc(1)
	route := report.Route
	if route == "" {
		route = "none"
	}
	metrics.GetOrRegisterCounter("requests.route."+route+"."+string(report.Outcome), s.registry).Inc(1)
	s.firstByteTimes.Update(report.TimeToFirstByte.Milliseconds())
	s.totalTimes.Update(report.Took.Milliseconds())
	if report.Resumed {
		metrics.GetOrRegisterCounter("requests.resumed", s.registry).Inc(1)
	}
	if report.Framing == framing.Closed {
		metrics.GetOrRegisterCounter("requests.answer_without_length", s.registry).Inc(1)
	}
	if report.Via != "" {
		metrics.GetOrRegisterCounter("requests.passed_on", s.registry).Inc(1)
	}
	if report.Forwarded {
		metrics.GetOrRegisterCounter("requests.from_entries", s.registry).Inc(1)
	}
	if report.OnTrial {
		metrics.GetOrRegisterCounter("requests.on_trial", s.registry).Inc(1)
	}
	if report.PartialEvent {
		metrics.GetOrRegisterCounter("requests.partial_event", s.registry).Inc(1)
	}
	if report.Outcome == relay.Served && report.Framing != framing.Closed && !report.PartialEvent && !report.OnTrial {
		return
	}
	s.log.WithFields(logrus.Fields{
		"request": report.ID, "route": report.Route, "team": report.Team, "service": report.Service, "model": report.Model,
		"outcome": report.Outcome, "status": report.Status, "detail": report.Detail, "config_version": report.ConfigVersion,
		"attempts": report.Attempts, "servers": report.Servers, "resumed": report.Resumed, "framing": report.Framing, "partial_event": report.PartialEvent,
		"via": report.Via, "forwarded": report.Forwarded, "prompt_parts": report.PromptParts,
		"held_by": report.HeldBy, "on_trial": report.OnTrial,
		"took_ms": report.Took.Milliseconds(),
	}).Info(logline.RequestEnded)
}
