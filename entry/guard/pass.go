package guard

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"

	"github.com/skylarkpond/skylarkpond/timeline"
)

// Permit allows a request to run on a group. It must only be used by the request's own goroutine, but for the count of its events.
type Permit struct {
	guard   *Guard
	request Request
	onTrial bool
	// events counts the events of the answer.
	events atomic.Int32
	// concluded means that the request finished or crashed, so that Done need not release a trial.
	concluded bool
}

// NoteEvent records that the server has sent an event of its answer.
func (p *Permit) NoteEvent() { p.events.Add(1) }

// Finished records that the request ran to its end, which clears it and its parts if they were suspects.
func (p *Permit) Finished(ctx context.Context) {
	p.concluded = true
	request := p.request
	if !p.guard.noteFinished(request) {
		return
	}
	_ = p.guard.update(context.WithoutCancel(ctx), request.Service, func(s *state) bool {
		now := p.guard.deps.Clock()
		cleared := s.requests.RecordFinish(now, request.Fingerprint, string(request.Group.ID))
		return s.recordFinish(now, request.Parts) || cleared
	})
}

// noteFinished remembers that the request finished, and returns whether this entry knows of a suspicion that it clears. Most requests are
// under none, and Finished makes no platform call for them.
func (g *Guard) noteFinished(request Request) bool {
	now := g.deps.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, name := range request.Parts {
		g.finished.Note(part{request.Service, name}, now)
	}
	s := g.state(request.Service)
	if s.requests.Len() > 0 && s.requests.Clone().RecordFinish(now, request.Fingerprint, string(request.Group.ID)) {
		return true
	}
	suspects := s.suspects(now)
	return slices.ContainsFunc(request.Parts, func(name string) bool { return slices.Contains(suspects, name) })
}

// ResponseBroke handles a response that broke off. If a member's process is gone, every request in progress on the
// group becomes a suspect, and the crash's id is returned; the request carries it into its next try. A member
// that merely does not respond may be cut off or frozen, so that no request becomes a suspect.
func (p *Permit) ResponseBroke(ctx context.Context) (crashID string) {
	request := p.request
	boot, reason := p.guard.findCrashedMember(ctx, request.Group)
	if boot == "" {
		p.guard.record(timeline.BreakUnexplained, request, reason)
		return ""
	}
	p.concluded = true
	crashID = string(request.Group.ID) + "/" + string(boot)
	p.guard.record(timeline.BackendCrashed, request, crashID)
	p.guard.recordCrash(ctx, request, crashID)
	return crashID
}

// Done ends the permit. It releases the request's trial if the request neither finished nor crashed.
func (p *Permit) Done(ctx context.Context) {
	p.removeInProgress()
	if !p.onTrial || p.concluded {
		return
	}
	request := p.request
	_ = p.guard.update(context.WithoutCancel(ctx), request.Service, func(s *state) bool {
		s.requests.Release(request.Fingerprint, p.guard.deps.Self)
		return true
	})
}

func (p *Permit) removeInProgress() {
	g := p.guard
	request := p.request
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.inProgress[request.Group.ID], request.RequestID)
	if len(g.inProgress[request.Group.ID]) == 0 {
		delete(g.inProgress, request.Group.ID)
	}
}

// recordCrash records the crash in this entry at once and then writes it to the platform, so that other entries
// hold the suspects back too.
func (g *Guard) recordCrash(ctx context.Context, request Request, crashID string) {
	for _, name := range g.recordCrashLocally(request, crashID) {
		g.count("caught")
		g.deps.Recorder.Record(timeline.Event{
			Kind: timeline.RequestQuarantine, Request: request.RequestID, Service: request.Service, Group: string(request.Group.ID), Detail: name,
		})
	}
	// update writes the crash without a further change, because it merges this entry's state into the object.
	err := g.update(context.WithoutCancel(ctx), request.Service, func(*state) bool { return true })
	if err != nil {
		g.record(timeline.QuarantineUnsaved, request, err.Error())
		g.markUnsaved(request.Service)
	}
}

// recordCrashLocally records a crash with all requests in progress on the group, and returns what is quarantined now and was not before.
func (g *Guard) recordCrashLocally(request Request, crashID string) []string {
	now := g.deps.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	permits := slices.Collect(maps.Values(g.inProgress[request.Group.ID]))
	fingerprints := []string{request.Fingerprint}
	for _, permit := range permits {
		fingerprints = append(fingerprints, permit.request.Fingerprint)
	}
	s := g.state(request.Service)
	before := ruleNames(s.rules(now))
	s.recordCrash(now, crashID, g.seen(request.Service, permits))
	quarantined := s.requests.RecordCrash(now, crashID, string(request.Group.ID), fingerprints)
	for _, name := range ruleNames(s.rules(now)) {
		if !slices.Contains(before, name) {
			quarantined = append(quarantined, name)
		}
	}
	return quarantined
}

// markUnsaved marks the service's state as not yet stored on the platform.
func (g *Guard) markUnsaved(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unsaved[service] = true
}

func (g *Guard) record(kind timeline.Kind, request Request, detail string) {
	g.deps.Recorder.Record(timeline.Event{
		Kind: kind, Request: request.RequestID, Service: request.Service, Group: string(request.Group.ID), Detail: detail,
	})
}
