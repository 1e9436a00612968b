package home

import (
	"context"
	"time"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/attempt"
	"github.com/skylarkpond/skylarkpond/contract/settings"
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
	claim   attempt.Result
	seq     uint64
	send    func(contract.Frame) error
	sendErr error
	kept    keeper
}

func newRun(h *Home, d contract.Dispatch, send func(contract.Frame) error) *run {
	return &run{home: h, d: d, send: send}
}

// do takes the dispatch through its steps. Each step that fails tells the front and ends it.
func (r *run) do(ctx context.Context) {
	if p := r.check(); p != nil {
		r.refuse(p)
		return
	}
	if !r.frame(contract.Frame{Kind: contract.FrameQueued}) {
		return
	}
	r.record(timeline.RequestQueued, "")
	turn, p := r.home.deps.Admission.Enter(ctx, r.item(ctx))
	if p != nil {
		r.refuse(p)
		return
	}
	defer turn.Done()
	r.turn = turn
	// Right before the claim: what waited too long, or lost its group meanwhile, should cost no claim.
	if ctx.Err() != nil {
		r.refuse(gone())
		return
	}
	if p := r.check(); p != nil {
		r.refuse(p)
		return
	}
	if r.d.Unrepeatable {
		r.home.work.add(r.d.RequestID)
		defer r.home.work.remove(r.d.RequestID)
		if !r.claimRight(ctx) {
			return
		}
		// From here on the work belongs to the key, not to the front that asked: a booking that was begun is
		// finished and its answer kept, so that a repeated key finds it.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), r.left(ctx))
		defer cancel()
	}
	// The claim took time. Between this check and the send lies no wait.
	if p := r.check(); p != nil {
		r.refuse(p)
		return
	}
	if !r.frame(contract.Frame{Kind: contract.FrameSent}) && !r.d.Unrepeatable {
		return
	}
	r.record(timeline.RequestSent, "")
	if r.d.Plain != nil {
		r.call(ctx)
		return
	}
	r.complete(ctx)
}

// check says why the dispatch can't go to its group now, or nil.
func (r *run) check() *contract.Problem {
	group, home, ok := r.home.deps.Groups.Lookup(r.d.Group)
	switch {
	case !ok || group.Service != r.d.Service:
		return contract.Later(contract.CodeNoGroup, "the group is not placed", noGroupRetryAfter)
	case !home:
		return contract.Later(contract.CodeNotHome, "this entry is not the home of the group", noGroupRetryAfter)
	case group.State != vm.Serving:
		return contract.Later(contract.CodeNoGroup, "the group is "+string(group.State), noGroupRetryAfter)
	}
	if ok, reason := r.home.deps.Presence.Whole(group.ID); !ok {
		return contract.Later(contract.CodeNoGroup, "the group is not whole: "+reason, noGroupRetryAfter)
	}
	service, ok := r.home.deps.Settings().Services[r.d.Service]
	if !ok {
		return contract.Refuse(404, contract.CodeUnknownService, "the service is not declared", "check the service's name")
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
		Priority: r.d.Priority, Work: r.d.Work,
	}
}

func (r *run) left(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return r.d.Timeout
	}
	return time.Until(deadline)
}

// claimRight takes the right to send. Without it the front is told what stands instead.
func (r *run) claimRight(ctx context.Context) bool {
	id := attempt.ID{Team: r.d.Team, Key: r.d.Key}
	w := attempt.Wish{
		ID: id, Number: r.d.Attempt, Fingerprint: r.d.Fingerprint, RequestID: r.d.RequestID,
		Retention: r.service.AttemptRetention, Renounced: r.d.Renounced,
	}
	result := r.home.deps.Attempts.Claim(ctx, w, r.home.deps.Self, r.home.deps.Incarnation)
	switch result.Verdict {
	case attempt.Confirmed:
		r.claim = result
		r.record(timeline.RequestClaimed, "")
		r.frame(contract.Frame{Kind: contract.FrameClaimed, AttemptVersion: uint64(result.Version)})
		return true
	case attempt.Found, attempt.Reused:
		r.frame(contract.Frame{Kind: contract.FrameFound, Attempt: &result.Attempt, AttemptVersion: uint64(result.Version)})
	case attempt.Unsure:
		r.claim = result
		r.refuse(platformOut())
	default:
		r.refuse(platformOut())
	}
	return false
}

func platformOut() *contract.Problem {
	return contract.Later(contract.CodePlatformOut, "the platform could not confirm the right to run the request", platformRetryAfter)
}

// platformRetryAfter keeps callers from adding to an outage.
const platformRetryAfter = 5 * time.Second

func gone() *contract.Problem {
	return contract.Later(contract.CodeDeadline, "the request's time was over, or its caller gone, before it was sent", time.Second)
}

// refuse gives the request up unsent, and renounces a claim that was or may have been made.
func (r *run) refuse(p *contract.Problem) {
	f := contract.Frame{Kind: contract.FrameRefused, Problem: p}
	if r.claim.Verdict != 0 {
		claim := r.claim.Attempt
		f.Attempt = &claim
	}
	r.frame(f)
}

func (r *run) broken(p *contract.Problem) {
	r.frame(contract.Frame{Kind: contract.FrameBroken, Problem: p})
}

// frame sends one frame; false: the front is gone. Once a frame could not be sent, none is: the front
// must not see what came behind a gap as if it were whole.
func (r *run) frame(f contract.Frame) bool {
	if r.sendErr != nil {
		return false
	}
	f.RequestID = r.d.RequestID
	f.Seq = r.seq
	f.Time = r.home.deps.Recorder.Now()
	r.seq++
	r.sendErr = r.send(f)
	return r.sendErr == nil
}

func (r *run) record(kind timeline.Kind, detail string) {
	r.home.deps.Recorder.Record(timeline.Event{
		Kind: kind, Request: r.d.RequestID, Team: r.d.Team, Service: r.d.Service, Group: string(r.d.Group), Detail: detail,
	})
}
