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

// run is the state of one dispatch in progress. It is used only by the goroutine of its Dispatch call.
type run struct {
	home        *Home
	d           contract.Dispatch
	service     settings.Service
	group       vm.Group
	permit      Permit
	guardPermit *guard.Permit
	claim       attempt.Result
	// claimAbandoned is set once nothing was or will be sent under claim. frontGone is set if the front was gone
	// before it could be told about the refusal.
	claimAbandoned, frontGone bool
	seq                       uint64
	send                      func(contract.Frame) error
	sendErr                   error
	answer                    answerRecorder
	// endsWithConnection is set if the answer has neither a length nor chunks, so that it may have been cut off.
	endsWithConnection bool
	receivedAt         time.Time
	// frontCtx ends when the front closes the dispatch or can no longer be reached.
	frontCtx context.Context
}

func newRun(frontCtx context.Context, h *Home, d contract.Dispatch, send func(contract.Frame) error) *run {
	return &run{home: h, d: d, send: send, frontCtx: frontCtx, receivedAt: h.deps.Clock()}
}

// execute runs the steps of the dispatch. A step that fails reports the failure to the front and ends the
// dispatch.
func (r *run) execute(ctx context.Context) {
	if !r.awaitPermit(ctx) {
		return
	}
	defer r.permit.Done()
	if !r.recheck(ctx) {
		return
	}
	defer r.guardPermit.Done(ctx)
	ctx, end, ok := r.acquireClaim(ctx)
	defer end()
	if !ok {
		return
	}
	r.forward(ctx)
}

// awaitPermit waits until the request is admitted to the group.
func (r *run) awaitPermit(ctx context.Context) bool {
	if p := r.check(); p != nil {
		r.refuse(p)
		return false
	}
	load := r.home.deps.Admission.Load(r.d.Group)
	if !r.sendFrame(contract.Frame{Kind: contract.FrameQueued, Load: &load}) {
		return false
	}
	r.record(timeline.RequestQueued, describeLoad(load))
	permit, p := r.home.deps.Admission.Enter(ctx, r.admissionRequest(ctx))
	if p != nil {
		r.refuse(p)
		return false
	}
	r.permit = permit
	return true
}

// recheck repeats the checks after the wait in the queue, right before the claim, and asks the guard. A request
// whose deadline has passed, whose group is no longer available, or which is held back as a suspect must not cost
// a claim.
func (r *run) recheck(ctx context.Context) bool {
	p := r.check()
	if ctx.Err() != nil {
		p = deadlineExceeded()
	}
	if p == nil {
		r.guardPermit, p = r.home.deps.Guard.Admit(ctx, r.guardRequest(ctx))
	}
	if p != nil {
		r.refuse(p)
		return false
	}
	return true
}

// acquireClaim claims a request that may run at most once. It returns the context to work under until end is
// called.
func (r *run) acquireClaim(ctx context.Context) (workCtx context.Context, end func(), ok bool) {
	if !r.d.AtMostOnce {
		return ctx, func() {}, true
	}
	r.home.claims.add(r.d.RequestID)
	remove := func() { r.home.claims.remove(r.d.RequestID) }
	if !r.writeClaim(ctx) {
		return ctx, remove, false
	}
	workCtx, cancel := r.detach(ctx)
	return workCtx, func() { cancel(); remove() }, true
}

// forward sends the request to the backend server. It checks the group once more because the claim took time;
// nothing between this check and the send waits.
func (r *run) forward(ctx context.Context) {
	if p := r.check(); p != nil {
		r.refuse(p)
		return
	}
	if !r.sendFrame(contract.Frame{Kind: contract.FrameSent}) && !r.d.AtMostOnce {
		return
	}
	r.record(timeline.RequestSent, "")
	if r.d.Plain != nil {
		r.callPlain(ctx)
		return
	}
	r.streamCompletion(ctx)
}

func (r *run) guardRequest(ctx context.Context) guard.Request {
	return guard.Request{
		RequestID: r.d.RequestID, Service: r.d.Service, Group: r.group, Fingerprint: r.d.Fingerprint,
		Parts: r.d.Parts, Timeout: r.remaining(ctx), CrashID: r.d.CrashID,
	}
}

// detach returns a context for the work on a claimed request that is independent of the front that asked for it. A
// booking that has begun is finished and its answer stored even if the front fails or the caller disconnects, so
// that a retry with the same key finds the answer.
func (r *run) detach(ctx context.Context) (context.Context, context.CancelFunc) {
	timeout := max(r.remaining(ctx), r.service.MaxRequestTimeout)
	return context.WithTimeout(context.WithoutCancel(ctx), timeout)
}

// expired reports whether the request's time is over.
//
// It guards against a pause of this process or of its whole VM that is longer than the retention of attempt
// records. By the time the process resumes, the seal that allowed the front to answer not-run has been purged, so
// a claim would succeed and the request would run after all. Records are kept for longer than the timeout of any
// request (attempt.Retention), so a request that is not expired cannot have been sealed and its seal purged. Both
// clocks are compared: the monotonic clock of a paused VM stands still, and its wall clock is corrected when it
// resumes.
func (r *run) expired() bool {
	now := r.home.deps.Clock()
	return now.Sub(r.receivedAt) >= r.d.Timeout || now.Round(0).Sub(r.receivedAt.Round(0)) >= r.d.Timeout
}

// check returns why the dispatch can't go to its group now, or nil. On success it updates group and service.
func (r *run) check() *contract.Problem {
	if r.expired() {
		return deadlineExceeded()
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
	inForce := r.home.deps.Settings()
	service, ok := inForce.Services[r.d.Service]
	if !ok && inForce.Version < r.d.SettingsVersion {
		return contract.NewRetryLater(contract.CodeNoGroup, "the home does not have the settings yet that declare the service", noGroupRetryAfter)
	}
	if !ok {
		return contract.NewRejection(404, contract.CodeUnknownService, "the service is not declared", "check the service's name")
	}
	r.group = group
	r.service = service
	return nil
}

// noGroupRetryAfter is roughly the time until another entry takes over as the home, or until a group is found
// whole again.
const noGroupRetryAfter = time.Second

func (r *run) admissionRequest(ctx context.Context) AdmissionRequest {
	team, ok := r.home.deps.Settings().Teams[r.d.Team]
	if !ok {
		team = settings.Team{Name: r.d.Team, Share: 1}
	}
	return AdmissionRequest{
		Service: r.service, Team: team, Group: r.d.Group, Timeout: r.remaining(ctx),
		Priority: r.d.Priority, EstimatedTokens: r.d.EstimatedTokens, PromptTokens: r.d.PromptTokens,
	}
}

func (r *run) remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return r.d.Timeout
	}
	return time.Until(deadline)
}

// claimTimeout bounds a claim. The platform answers within milliseconds or is unavailable, and the request holds a
// permit of the group meanwhile.
const claimTimeout = time.Second

func (r *run) writeRequest() attempt.WriteRequest {
	return attempt.WriteRequest{
		ID: attempt.ID{Team: r.d.Team, Key: r.d.IdempotencyKey}, Number: r.d.AttemptNumber, Fingerprint: r.d.Fingerprint,
		RequestID: r.d.RequestID, Retention: attempt.Retention(r.service),
	}
}

// writeClaim writes the claim, which is the right to send the request. If that fails, it reports to the front the
// record that exists instead, or that the platform is unavailable.
func (r *run) writeClaim(ctx context.Context) bool {
	w := r.writeRequest()
	w.AbandonedClaims = r.d.AbandonedClaims
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	result := r.home.deps.Attempts.Claim(ctx, w, r.home.deps.Self, r.home.deps.Incarnation)
	r.reportClaim(result)
	switch result.Verdict {
	case attempt.Confirmed:
		r.claim = result
		r.sendFrame(contract.Frame{Kind: contract.FrameClaimed, RecordVersion: uint64(result.Version)})
		return true
	case attempt.Found, attempt.KeyReused:
		r.sendFrame(contract.Frame{Kind: contract.FrameRecordExists, Record: &result.Record, RecordVersion: uint64(result.Version)})
	case attempt.Indeterminate:
		r.claim = result
		r.refuse(platformUnavailable())
	default:
		r.refuse(platformUnavailable())
	}
	return false
}

func platformUnavailable() *contract.Problem {
	return contract.NewRetryLater(contract.CodePlatformUnavailable, "the platform could not confirm the right to run the request", platformRetryAfter)
}

// platformRetryAfter is long enough that retries by callers do not add load during a platform outage.
const platformRetryAfter = 5 * time.Second

func deadlineExceeded() *contract.Problem {
	return contract.NewRetryLater(contract.CodeDeadline, "the request's time was over, or its caller gone, before it was sent", time.Second)
}

// refuse ends the request without sending it and abandons a claim that was or may have been made. The front may
// then replace that claim by a claim of another home.
func (r *run) refuse(p *contract.Problem) {
	r.frontGone = r.frontCtx.Err() != nil
	r.reportRefusal(p)
	f := contract.Frame{Kind: contract.FrameRefused, Problem: p}
	if p.Code == contract.CodeNotHome {
		f.Home = r.home.deps.Groups.HomeOf(r.d.Group)
	}
	if r.claim.Verdict != 0 {
		claim := r.claim.Record
		f.Record = &claim
		r.claimAbandoned = true
		r.home.claims.abandon(claim.Nonce)
	}
	r.sendFrame(f)
}

// reportBroken tells the front that the answer ended early. It first determines whether a backend server crashed,
// so that a retry does not overtake the crash report.
func (r *run) reportBroken(ctx context.Context, p *contract.Problem) {
	crash := r.guardPermit.ResponseBroke(ctx)
	r.sendFrame(contract.Frame{Kind: contract.FrameBroken, Problem: p, CrashID: crash})
}

// sendFrame sends one frame and returns false if the front is gone. Only the first and the last frame of a
// dispatch carry the load of the group; the frames between would only repeat it. After a frame could not be sent,
// no later one is sent: the front must not take an answer with a gap for a complete one.
func (r *run) sendFrame(f contract.Frame) bool {
	if r.sendErr != nil {
		return false
	}
	f.RequestID = r.d.RequestID
	f.Seq = r.seq
	f.HLCTime = r.home.deps.Recorder.Now()
	switch f.Kind {
	case contract.FrameRefused, contract.FrameEnd, contract.FrameBroken:
		if f.Problem == nil || f.Problem.Code != contract.CodeNotHome { // else the queue is at another entry
			load := r.home.deps.Admission.Load(r.d.Group)
			f.Load = &load
		}
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
