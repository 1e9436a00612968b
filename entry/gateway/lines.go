package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/entry/grouping"
	"github.com/skylarkpond/skylarkpond/entry/lease"
	"github.com/skylarkpond/skylarkpond/entry/relay"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	store "github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/logline"
	"github.com/skylarkpond/skylarkpond/policy/turns"
)

func (g *Gateway) platformLost(kind store.Kind, err error) {
	metrics.GetOrRegisterCounter("platform.lost."+string(kind), g.registry).Inc(1)
	g.log.WithError(err).WithField("kind", kind).Warn(logline.PlatformLost)
}

func (g *Gateway) platformRegained(kind store.Kind, away time.Duration) {
	g.log.WithFields(logrus.Fields{"kind": kind, "away_ms": away.Milliseconds()}).Info(logline.PlatformRegained)
}

func (g *Gateway) unreadable(object store.Object, err error) {
	g.log.WithError(err).WithFields(logrus.Fields{"kind": object.Kind, "object": object.Name}).Warn(logline.LeftOut)
}

func (g *Gateway) configInForce(table *route.Table) {
	g.log.WithField("config_version", table.Version).Info(logline.ConfigInForce)
}

func (g *Gateway) leaseChanged(holder lease.Holder, held bool) {
	g.log.WithFields(logrus.Fields{"holder": holder.Entry, "held": held}).Info(logline.Lease)
}

func (g *Gateway) groupEvent(event grouping.Event) {
	if event.Kind == grouping.FleetSeen {
		g.log.WithFields(logrus.Fields{"service": event.Service, "detail": event.Detail}).Info(string(event.Kind))
		return
	}
	metrics.GetOrRegisterCounter("groups."+string(event.Kind), g.registry).Inc(1)
	g.log.WithFields(logrus.Fields{
		"group": event.Group.String(), "vm": event.VM, "model": event.Model, "detail": event.Detail, "took_ms": event.Took.Milliseconds(),
	}).Info(string(event.Kind))
}

func (g *Gateway) heldBack(held link.Held) {
	g.log.WithFields(logrus.Fields{"service": held.Service, "fingerprints": held.Fingerprints}).Warn(logline.RequestsHeldBack)
}

func (g *Gateway) demand(demand turns.Demand) {
	g.log.WithFields(logrus.Fields{
		"model": demand.Model, "groups": demand.Groups, "places": demand.Places, "running": demand.Running, "waiting": demand.Waiting,
		"asked": demand.Asked, "granted": demand.Granted, "refused": demand.Refused, "took_ms": demand.Took.Milliseconds(),
	}).Info(logline.Demand)
}

func (g *Gateway) requestEnded(report relay.Report) {
	metrics.GetOrRegisterCounter("requests."+string(report.Outcome), g.registry).Inc(1)
	route := report.Route
	if route == "" {
		route = "none"
	}
	metrics.GetOrRegisterCounter("requests.route."+route+"."+string(report.Outcome), g.registry).Inc(1)
	g.first.Update(report.First.Milliseconds())
	g.took.Update(report.Took.Milliseconds())
	if report.Resumed {
		metrics.GetOrRegisterCounter("requests.resumed", g.registry).Inc(1)
	}
	if report.Outcome == relay.Served {
		return
	}
	g.log.WithFields(logrus.Fields{
		"request": report.ID, "route": report.Route, "team": report.Team, "service": report.Service, "model": report.Model,
		"outcome": report.Outcome, "status": report.Status, "detail": report.Detail, "config_version": report.ConfigVersion,
		"attempts": report.Attempts, "servers": report.Servers, "resumed": report.Resumed, "took_ms": report.Took.Milliseconds(),
	}).Info(logline.RequestEnded)
}
