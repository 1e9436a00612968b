package backoff

import (
	"fmt"
	"testing"
	"time"
)

func allows(t *testing.T, s *Server, now time.Duration, client string, wantAllowed, wantProbe bool) {
	t.Helper()
	if allowed, probe := s.Allows(now, client); allowed != wantAllowed || probe != wantProbe {
		t.Errorf("at %v %s: allowed %v, probe %v; want %v, %v", now, client, allowed, probe, wantAllowed, wantProbe)
	}
}

// Guards against a shorter pause, or an answer to an earlier request, that ends a longer pause.
func TestPausesDontReplaceEachOther(t *testing.T) {
	var s Server
	s.Reject(0, "a", 6*time.Second)
	s.Reject(100*time.Millisecond, "a", time.Second)
	s.Accept(2*time.Second, time.Second)
	allows(t, &s, 5900*time.Millisecond, "a", false, false)
	if end := s.Paused(2*time.Second, "a"); end != 6*time.Second {
		t.Errorf("paused until %v", end)
	}
}

// Guards against a server that is lost to all clients because it turns one away.
func TestOneClientsPauseBindsNoOther(t *testing.T) {
	var s Server
	for range 5 {
		s.Reject(0, "a", 4*time.Second)
	}
	allows(t, &s, 0, "b", true, false)
	allows(t, &s, 0, "a", false, false)
	if s.SheddingFor(time.Second) != 0 {
		t.Error("counts as shedding")
	}
}

// Guards against hundreds of clients that each lose a request to a server that rejects all.
func TestAServerThatRejectsAllIsProbed(t *testing.T) {
	var s Server
	const clients = 300
	sent := 0
	for now := time.Duration(0); now < 3*time.Second; now += time.Millisecond {
		client := fmt.Sprint(int(now.Milliseconds()) % clients)
		if allowed, probe := s.Allows(now, client); allowed {
			sent++
			if probe {
				s.Probe(now, client)
			}
			s.Reject(now, client, 3*time.Second)
			s.EndProbe(client)
		}
	}
	if sent > 8 {
		t.Errorf("%d requests in one pause", sent)
	}
	if got := s.SheddingFor(2 * time.Second); got < 1900*time.Millisecond {
		t.Errorf("shedding for %v", got)
	}
}

// Guards against all clients that come back in the moment in which their pauses end.
func TestOneRequestAtATimeAfterAPause(t *testing.T) {
	var s Server
	s.Reject(0, "a", time.Second)
	s.Reject(0, "b", time.Second)
	allows(t, &s, time.Second, "a", true, true)
	s.Probe(time.Second, "1")
	allows(t, &s, time.Second, "b", false, true)
	allows(t, &s, 2*time.Second, "b", true, true) // without a result
	s.EndProbe("1")
	allows(t, &s, 1100*time.Millisecond, "b", true, true)
	s.Probe(1100*time.Millisecond, "2")
	s.Accept(1200*time.Millisecond, 1100*time.Millisecond)
	for _, client := range []string{"a", "b", "c"} {
		allows(t, &s, 1200*time.Millisecond, client, true, false)
	}
}

// Guards against a late end of an earlier probe that permits another one beside the present one.
func TestALateEndOfAnEarlierProbeChangesNothing(t *testing.T) {
	var s Server
	s.Reject(0, "a", time.Second)
	s.Probe(time.Second, "1")
	s.Probe(2*time.Second, "2")
	s.EndProbe("1")
	allows(t, &s, 2*time.Second, "a", false, true)
}

// Guards against an answer to a request that was under way, which would hide that the server rejects all.
func TestARequestThatWasUnderWayIsNoEvidence(t *testing.T) {
	var s Server
	s.Reject(time.Second, "a", time.Minute)
	s.Reject(time.Second, "b", time.Minute)
	s.Accept(1100*time.Millisecond, 900*time.Millisecond)
	if !s.Shedding() {
		t.Error("counts as accepting")
	}
	s.Accept(1300*time.Millisecond, 1200*time.Millisecond)
	if s.Shedding() {
		t.Error("counts as rejecting all")
	}
}

func TestExpired(t *testing.T) {
	var s Server
	s.Reject(0, "a", time.Second)
	if s.Expired(time.Second+retention) || !s.Expired(time.Second+retention+1) {
		t.Error("expires at the wrong time")
	}
}

func BenchmarkAllows(b *testing.B) {
	var s Server
	for i := range 300 {
		s.Reject(0, fmt.Sprint(i), time.Hour)
	}
	b.ReportAllocs()
	for b.Loop() {
		s.Allows(time.Second, "7")
	}
}
