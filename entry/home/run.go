package home

import (
	"context"
	"time"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/attempt"
	"github.com/skylarkpond/skylarkpond/contract/settings"
	"github.com/skylarkpond/skylarkpond/entry/guard"
	"github.com/skylarkpond/skylarkpond/timeline"
	"github.com/skylarkpond/skylarkpond/vm"
)

// run is one dispatch under way. Only the goroutine of its Dispatch uses it.
type run struct {
	home    *Home
	d       contract.Dispatch
	service settings.Service
	group   vm.Group
	turn    Turn
	pass    *guard.Pass
	claim   attempt.Result
	// givenUp says that nothing was or will be sent under claim; frontGone that the front was gone before it was told.
	givenUp, frontGone bool
	seq                uint64
	send               func(contract.Frame) error
	sendErr            error
	kept               keeper
	arrived            time.Time
	// front ends when the front closes the dispatch, or can't be heard any more.
	front context.Context
}

func newRun(front context.Context, h *Home, d contract.Dispatch, send func(contract.Frame) error) *run {
	return &run{home: h, d: d, send: send, front: front, arrived: h.deps.Clock()}
}

// do takes the dispatch through its steps. Each step that fails has told the front, and ends it.
func (r *run) do(ctx context.Context) {
	if !r.enter(ctx) {
		return
	}
	defer r.turn.Done()
	if !r.clear(ctx) {
		return
	}
	defer r.pass.Done(ctx)
	ctx, end, ok := r.claimed(ctx)
	defer end()
	if !ok {
		return
	}
	r.dispatch(ctx)
}

// enter waits for the request's turn at the group.
func (r *run) enter(ctx context.Context) bool {
	if p := r.check(); p != nil {
		r.refuse(p)
		return false
	}
	load := r.home.deps.Admission.Load(r.d.Group)
	if !r.frame(contract.Frame{Kind: contract.FrameQueued, Load: &load}) {
		return false
	}
	r.record(timeline.RequestQueued, describeLoad(load))
	turn, p := r.home.deps.Admission.Enter(ctx, r.item(ctx))
	if p != nil {
		r.refuse(p)
		return false
	}
	r.turn = turn
	return true
}

// clear asks whether it may still go, right before the claim: what waited too long, lost its group meanwhile,
// or is held back as a suspect should cost no claim.
func (r *run) clear(ctx context.Context) bool {
	p := r.check()
	if ctx.Err() != nil {
		p = gone()
	}
	if p == nil {
		r.pass, p = r.home.deps.Guard.Enter(ctx, r.subject(ctx))
	}
	if p != nil {
		r.refuse(p)
		return false
	}
	return true
}

// claimed takes the right to send a request that may not be repeated. The context that it returns is the
// one to work under until end is called.
func (r *run) claimed(ctx context.Context) (work context.Context, end func(), ok bool) {
	if !r.d.AtMostOnce {
		return ctx, func() {}, true
	}
	r.home.work.add(r.d.RequestID)
	remove := func() { r.home.work.remove(r.d.RequestID) }
	if !r.claimRight(ctx) {
		return ctx, remove, false
	}
	work, cancel := r.detach(ctx)
	return work, func() { cancel(); remove() }, true
}

// dispatch sends the request. The claim took time: between this check and the send lies no wait.
func (r *run) dispatch(ctx context.Context) {
	if p := r.check(); p != nil {
		r.refuse(p)
		return
	}
	if !r.frame(contract.Frame{Kind: contract.FrameSent}) && !r.d.AtMostOnce {
		return
	}
	r.record(timeline.RequestSent, "")
	if r.d.Plain != nil {
		r.call(ctx)
		return
	}
	r.complete(ctx)
}

func (r *run) subject(ctx context.Context) guard.Subject {
	return guard.Subject{
		RequestID: r.d.RequestID, Service: r.d.Service, Group: r.group, Fingerprint: r.d.Fingerprint,
		Timeout: r.left(ctx), Crash: r.d.CrashID,
	}
}

// detach makes the work of a claimed request the key's, no longer that of the front which asked: a
// booking that was begun is finished, and its answer kept, though its front died or its caller left, so
// that a repeated key finds it.
func (r *run) detach(ctx context.Context) (context.Context, context.CancelFunc) {
	timeout := max(r.left(ctx), r.service.MaxRequestTimeout)
	return context.WithTimeout(context.WithoutCancel(ctx), timeout)
}

// late says that the caller's time is over.
//
// What goes wrong without it: this process, or its whole VM, is paused for longer than attempt records are
// kept. The seal that made its front tell not-run has been purged when it wakes; its claim would go
// through. Records are kept for longer than any caller's time (attempt.Retention), so a request that is
// dropped here can't be sealed and purged unnoticed. Both clocks are asked: a paused VM's monotonic clock
// stands still, and its wall clock is set right when it wakes.
func (r *run) late() bool {
	now := r.home.deps.Clock()
	return now.Sub(r.arrived) >= r.d.Timeout || now.Round(0).Sub(r.arrived.Round(0)) >= r.d.Timeout
}

// check says why the dispatch can't go to its group now, or nil.
func (r *run) check() *contract.Problem {
	if r.late() {
		return gone()
	}
	group, home, ok := r.home.deps.Groups.Lookup(r.d.Group)
	switch {
	case !ok || group.Service != r.d.Service:
		return contract.NewRetryLater(contract.CodeNoGroup, "the group is not placed", noGroupRetryAfter)
	case !home:
		return contract.NewRetryLater(contract.CodeNotHome, "this entry is not the home of the group", noGroupRetryAfter)
	case group.State != vm.Serving:
		return contract.NewRetryLater(contract.CodeNoGroup, "the group is "+string(group.State), noGroupRetryAfter)
	}
	if ok, reason := r.home.deps.Presence.Whole(group.ID); !ok {
		return contract.NewRetryLater(contract.CodeNoGroup, "the group is not whole: "+reason, noGroupRetryAfter)
	}
	service, ok := r.home.deps.Settings().Services[r.d.Service]
	if !ok {
		return contract.NewRejection(404, contract.CodeUnknownService, "the service is not declared", "check the service's name")
	}
	r.group = group
	r.service = service
	return nil
}

// noGroupRetryAfter is about the time in which a home takes over or a group is found whole again.
const noGroupRetryAfter = time.Second

func (r *run) item(ctx context.Context) Item {
	team, ok := r.home.deps.Settings().Teams[r.d.Team]
	if !ok {
		team = settings.Team{Name: r.d.Team, Share: 1}
	}
	return Item{
		Service: r.service, Team: team, Group: r.d.Group, Timeout: r.left(ctx),
		Priority: r.d.Priority, Work: r.d.EstimatedTokens, Prompt: r.d.PromptTokens,
	}
}

func (r *run) left(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return r.d.Timeout
	}
	return time.Until(deadline)
}

// claimTimeout bounds the wait of a claim for the platform, which answers in milliseconds or is out. The
// request holds a place at the group meanwhile.
const claimTimeout = time.Second

func (r *run) wish() attempt.WriteRequest {
	return attempt.WriteRequest{
		ID: attempt.ID{Team: r.d.Team, Key: r.d.IdempotencyKey}, Number: r.d.AttemptNumber, Fingerprint: r.d.Fingerprint,
		RequestID: r.d.RequestID, Retention: attempt.Retention(r.service),
	}
}

// claimRight takes the right to send. Without it the front is told what stands instead.
func (r *run) claimRight(ctx context.Context) bool {
	w := r.wish()
	w.AbandonedClaims = r.d.AbandonedClaims
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	result := r.home.deps.Attempts.Claim(ctx, w, r.home.deps.Self, r.home.deps.Incarnation)
	r.noteClaim(result)
	switch result.Verdict {
	case attempt.Confirmed:
		r.claim = result
		r.frame(contract.Frame{Kind: contract.FrameClaimed, RecordVersion: uint64(result.Version)})
		return true
	case attempt.Found, attempt.KeyReused:
		r.frame(contract.Frame{Kind: contract.FrameRecordExists, Record: &result.Record, RecordVersion: uint64(result.Version)})
	case attempt.Indeterminate:
		r.claim = result
		r.refuse(platformOut())
	default:
		r.refuse(platformOut())
	}
	return false
}

func platformOut() *contract.Problem {
	return contract.NewRetryLater(contract.CodePlatformUnavailable, "the platform could not confirm the right to run the request", platformRetryAfter)
}

// platformRetryAfter keeps callers from adding to an outage.
const platformRetryAfter = 5 * time.Second

func gone() *contract.Problem {
	return contract.NewRetryLater(contract.CodeDeadline, "the request's time was over, or its caller gone, before it was sent", time.Second)
}

// refuse gives the request up unsent, and renounces a claim that was or may have been made. The front may
// replace the claim by that of another home.
func (r *run) refuse(p *contract.Problem) {
	r.frontGone = r.front.Err() != nil
	r.noteRefusal(p)
	f := contract.Frame{Kind: contract.FrameRefused, Problem: p}
	if r.claim.Verdict != 0 {
		claim := r.claim.Record
		f.Record = &claim
		r.givenUp = true
		r.home.work.giveUp(claim.Nonce)
	}
	r.frame(f)
}

// broken tells the front that the answer broke off. Whether a backend server crashed is found out first: a
// retry must not outrun the news.
func (r *run) broken(ctx context.Context, p *contract.Problem) {
	crash := r.pass.Broke(ctx)
	r.frame(contract.Frame{Kind: contract.FrameBroken, Problem: p, CrashID: crash})
}

// frame sends one frame; false: the front is gone. The last one of a dispatch carries the load, as the first one does;
// those between would only repeat it. Once a frame could not be sent, none is: the front
// must not see what came behind a gap as if it were whole.
func (r *run) frame(f contract.Frame) bool {
	if r.sendErr != nil {
		return false
	}
	f.RequestID = r.d.RequestID
	f.Seq = r.seq
	f.HLCTime = r.home.deps.Recorder.Now()
	switch f.Kind {
	case contract.FrameRefused, contract.FrameEnd, contract.FrameBroken:
		load := r.home.deps.Admission.Load(r.d.Group)
		f.Load = &load
	}
	r.seq++
	r.sendErr = r.send(f)
	return r.sendErr == nil
}

func (r *run) record(kind timeline.Kind, detail string) {
	r.home.deps.Recorder.Record(timeline.Event{
		Kind: kind, Request: r.d.RequestID, Team: r.d.Team, Service: r.d.Service, Group: string(r.d.Group), Detail: detail,
	})
}
