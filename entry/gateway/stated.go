package gateway

import (
	"net/http"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	link "github.com/skylarkpond/skylarkpond/link/leader"
	"github.com/skylarkpond/skylarkpond/link/upstream"
	"github.com/skylarkpond/skylarkpond/logline"
	"github.com/skylarkpond/skylarkpond/platform"
)

// This file passes on what servers state of themselves in their answers, whatever they were asked.

// serverAnswered records what a server states in an answer.
func (s *shared) serverAnswered(from upstream.Endpoint, status int, header http.Header) {
	stated := platform.DecodeResponse(status, header)
	if stated.Server != "" && stated.Server != from.ID {
		var listed bool
		if from, listed = s.listedEndpoint(stated); !listed {
			return // another server has taken the address
		}
	}
	s.components.backoff.Answered(from, stated.Pause, stated.InvalidPause)
	if stated.Leaving {
		s.announcedLeaving(from, status)
	}
	s.statedCold(from, stated)
}

// statedCold records that a server has said that it is cold, and tells the others, which may send it requests as well.
func (s *shared) statedCold(from upstream.Endpoint, stated platform.ResponseInfo) {
	if stated.InvalidCold != "" {
		s.components.standing.NoteInvalid(from.ID, stated.InvalidCold)
	}
	cold := link.Cold{Server: from.ID, Process: from.Born, Ms: stated.Cold.Milliseconds()}
	if cold.Ms <= 0 || !s.components.standing.Hear(cold) {
		return
	}
	if s.components.lease.IsLeader() {
		go s.components.leader.BroadcastCold([]link.Cold{cold}) // the caller may hold the leader's locks
		return
	}
	s.components.remote.Send(link.Up{Cold: []link.Cold{cold}})
}

// entryAnswered records what a server states in an answer that another entry passes on.
func (s *shared) entryAnswered(_ upstream.Endpoint, status int, header http.Header) {
	stated := platform.DecodeResponse(status, header)
	if from, listed := s.listedEndpoint(stated); listed && stated.Leaving {
		s.announcedLeaving(from, status)
	}
}

// listedEndpoint returns the registered server that has given an answer.
func (s *shared) listedEndpoint(stated platform.ResponseInfo) (upstream.Endpoint, bool) {
	listed := s.components.catalog.Listing().Servers[stated.Server]
	if listed == nil {
		return upstream.Endpoint{}, false
	}
	return upstream.EndpointOf(listed), true
}

// announcedLeaving records that a server has said that it is leaving, and tells the other entries, which need not hear it themselves.
func (s *shared) announcedLeaving(from upstream.Endpoint, status int) {
	leaving := link.Leaving{Server: from.ID, Process: from.Born}
	if !s.components.catalog.AnnounceLeaving(leaving, false) {
		return
	}
	metrics.GetOrRegisterCounter("servers.announced_leaving", s.registry).Inc(1)
	s.log.WithFields(logrus.Fields{"vm": from.ID, "status": status}).Info(logline.ServerAnnounces)
	if s.components.lease.IsLeader() {
		s.components.leader.BroadcastLeaving([]link.Leaving{leaving})
		return
	}
	s.components.remote.Send(link.Up{Leaving: []link.Leaving{leaving}})
}
