package guard

import (
	"context"

	"github.com/skylarkpond/skylarkpond/policy/quarantine"
	"github.com/skylarkpond/skylarkpond/timeline"
)

// Pass is a request's leave to run on a group. Only the request's own goroutine uses it.
type Pass struct {
	guard   *Guard
	subject Subject
	onTrial bool
	// over says that the request finished or crashed, so that Done need not release a trial.
	over bool
}

// Finished says that the request ran to its end: if it was a suspect, that clears it.
func (p *Pass) Finished(ctx context.Context) {
	p.over = true
	s := p.subject
	if !p.guard.known(s) {
		return
	}
	_ = p.guard.update(context.WithoutCancel(ctx), s.Service, func(r *quarantine.Register) bool {
		return r.RecordFinish(p.guard.deps.Clock(), s.Fingerprint, string(s.Group.ID))
	})
}

// known says whether anything is held against the request here; most have nothing, and cost no call.
func (g *Guard) known(s Subject) bool {
	now := g.deps.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.register(s.Service)
	return r.Len() > 0 && r.Clone().RecordFinish(now, s.Fingerprint, string(s.Group.ID))
}

// Broke says that the answer broke off. If a member's process is gone, every request at work on the group is
// a suspect from now on, and the crash's name is returned; it goes with the request to its next try. A
// member that does not answer at all may be cut off or frozen: nobody is suspected for that.
func (p *Pass) Broke(ctx context.Context) (crash string) {
	s := p.subject
	boot, why := p.guard.goneBoot(ctx, s.Group)
	if boot == "" {
		p.guard.record(timeline.BreakUnexplained, s, why)
		return ""
	}
	p.over = true
	crash = string(s.Group.ID) + "/" + string(boot)
	p.guard.record(timeline.BackendCrashed, s, crash)
	p.guard.crashed(ctx, s, crash)
	return crash
}

// Done ends the pass.
func (p *Pass) Done(ctx context.Context) {
	p.leave()
	if !p.onTrial || p.over {
		return
	}
	s := p.subject
	_ = p.guard.update(context.WithoutCancel(ctx), s.Service, func(r *quarantine.Register) bool {
		r.Release(s.Fingerprint, p.guard.deps.Self)
		return true
	})
}

func (p *Pass) leave() {
	g := p.guard
	s := p.subject
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.running[s.Group.ID], s.RequestID)
	if len(g.running[s.Group.ID]) == 0 {
		delete(g.running, s.Group.ID)
	}
}

// crashed keeps the crash here at once, then writes it, so that other entries hold the suspects back too.
func (g *Guard) crashed(ctx context.Context, s Subject, crash string) {
	running := append(g.fingerprints(s.Group.ID), s.Fingerprint)
	now := g.deps.Clock()
	g.mu.Lock()
	caught := g.register(s.Service).RecordCrash(now, crash, string(s.Group.ID), running)
	g.mu.Unlock()
	for _, fingerprint := range caught {
		g.count("caught")
		g.deps.Recorder.Record(timeline.Event{
			Kind: timeline.RequestQuarantine, Request: s.RequestID, Service: s.Service, Group: string(s.Group.ID), Detail: fingerprint,
		})
	}
	// The register in update has the crash already, by the merge with this entry's own.
	err := g.update(context.WithoutCancel(ctx), s.Service, func(*quarantine.Register) bool { return true })
	if err != nil {
		g.record(timeline.QuarantineUnsaved, s, err.Error())
		g.owe(s.Service)
	}
}

// owe notes that what is known of a service has to be written yet.
func (g *Guard) owe(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unsaved[service] = true
}

func (g *Guard) record(kind timeline.Kind, s Subject, detail string) {
	g.deps.Recorder.Record(timeline.Event{
		Kind: kind, Request: s.RequestID, Service: s.Service, Group: string(s.Group.ID), Detail: detail,
	})
}
