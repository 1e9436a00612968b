package guard

import (
	"context"

	"github.com/skylarkpond/skylarkpond/policy/quarantine"
	"github.com/skylarkpond/skylarkpond/timeline"
)

// Permit allows a request to run on a group. It must only be used by the request's own goroutine.
type Permit struct {
	guard   *Guard
	request Request
	onTrial bool
	// concluded means that the request finished or crashed, so that Done need not release a trial.
	concluded bool
}

// Finished records that the request ran to its end, which clears it if it was a suspect.
func (p *Permit) Finished(ctx context.Context) {
	p.concluded = true
	request := p.request
	if !p.guard.isSuspect(request) {
		return
	}
	_ = p.guard.update(context.WithoutCancel(ctx), request.Service, func(r *quarantine.Register) bool {
		return r.RecordFinish(p.guard.deps.Clock(), request.Fingerprint, string(request.Group.ID))
	})
}

// isSuspect returns whether this entry knows of a suspicion that finishing the request clears. Most requests are
// under none, and Finished makes no platform call for them.
func (g *Guard) isSuspect(request Request) bool {
	now := g.deps.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.register(request.Service)
	return r.Len() > 0 && r.Clone().RecordFinish(now, request.Fingerprint, string(request.Group.ID))
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
	_ = p.guard.update(context.WithoutCancel(ctx), request.Service, func(r *quarantine.Register) bool {
		r.Release(request.Fingerprint, p.guard.deps.Self)
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
	fingerprints := append(g.fingerprintsInProgress(request.Group.ID), request.Fingerprint)
	now := g.deps.Clock()
	g.mu.Lock()
	quarantined := g.register(request.Service).RecordCrash(now, crashID, string(request.Group.ID), fingerprints)
	g.mu.Unlock()
	for _, fingerprint := range quarantined {
		g.count("caught")
		g.deps.Recorder.Record(timeline.Event{
			Kind: timeline.RequestQuarantine, Request: request.RequestID, Service: request.Service, Group: string(request.Group.ID), Detail: fingerprint,
		})
	}
	// update writes the crash without a further change, because it merges this entry's register into the object.
	err := g.update(context.WithoutCancel(ctx), request.Service, func(*quarantine.Register) bool { return true })
	if err != nil {
		g.record(timeline.QuarantineUnsaved, request, err.Error())
		g.markUnsaved(request.Service)
	}
}

// markUnsaved marks the service's register as not yet stored on the platform.
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
