package front

import (
	"context"
	"errors"
	"time"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/attempt"
	"github.com/skylarkpond/skylarkpond/contract/outcome"
	"github.com/skylarkpond/skylarkpond/policy/shift"
	"github.com/skylarkpond/skylarkpond/timeline"
	"github.com/skylarkpond/skylarkpond/vm"
)

// recordTimeout bounds a seal, a lookup of the record, or a query to the holder of a claim. It is short because
// the caller waits for nothing else at that point.
const recordTimeout = time.Second

// driver executes the actions of the state machine of one request. It is used only by the goroutine of the
// request.
type driver struct {
	front     *Front
	request   *request
	machine   *outcome.Machine
	caller    *callerConn
	writer    writer
	startedAt time.Time
	deadline  time.Time
	tried     []vm.GroupID
	// delivered is set once a part of the answer was delivered to the caller.
	delivered bool
	// crashID identifies the backend server crash that ended the last try, if any.
	crashID string

	choice Choice
	// home is the entry that is asked as the home of the chosen group. refusedBy lists those that refused the request
	// because they are not, and named is the entry that the last of them named instead, if any. wrongHome is set from
	// such a refusal until the next dispatch.
	home      string
	refusedBy []string
	named     string
	wrongHome bool
	// noHomeKnown is set if one of the entries in refusedBy knew no home itself.
	noHomeKnown bool
	// agreementWait is how long the request has waited for the entries to agree on the home of its group.
	agreementWait time.Duration

	cancel context.CancelFunc
	frames chan frameResult
	// endedByHome is set if the home ended the current dispatch by an answer, a refusal, or an existing record.
	endedByHome bool
}

// frameResult is a frame of a dispatch, or the error that ended the dispatch.
type frameResult struct {
	frame contract.Frame
	err   error
}

// serve answers one request. If p is set, the request is rejected without a dispatch.
func (f *Front) serve(ctx context.Context, q *request, p *contract.Problem, caller *callerConn) {
	if q.atMostOnce && q.key == "" {
		q.key = f.newID()
	}
	now := time.Now()
	d := &driver{
		front: f, request: q, caller: caller, writer: newWriter(q, caller), startedAt: now, deadline: now.Add(q.timeout),
		machine: outcome.New(outcome.Request{
			ID: q.id, AtMostOnce: q.atMostOnce, KeyFromCaller: q.keyFromCaller, AttemptNumber: q.attempt,
			Fingerprint: q.fingerprint, Resumable: q.service.CanResume, Plain: q.plain != nil,
		}),
	}
	defer d.closeDispatch()
	d.record(timeline.RequestAccepted, "")
	d.run(ctx, p)
}

func (d *driver) run(ctx context.Context, p *contract.Problem) {
	action := outcome.Action{}
	switch {
	case p != nil && p.Code == contract.CodeCallerLeft:
		action = d.machine.HandleCallerLeft(false)
	case p != nil && d.request.givenUp:
		action = d.machine.RejectUnread(p)
	case p != nil:
		action = d.machine.Reject(p)
	default:
		d.front.deps.Retries.RecordFirstTry(d.request.service.Name)
		action = d.machine.Start()
	}
	for {
		switch action.Kind {
		case outcome.Dispatch:
			action = d.dispatch(ctx, action)
		case outcome.Seal:
			action = d.machine.HandleSeal(d.sealAttempt(ctx, action))
		case outcome.Find:
			action = d.machine.HandleFind(d.findRecord(ctx))
		case outcome.AskHolder:
			action = d.machine.HandleHolderAnswer(d.askHolder(ctx, action.Claim))
		case outcome.Finish:
			d.respond(action)
			return
		default:
			action = d.awaitFrame(ctx)
		}
	}
}

// awaitFrame waits for the next frame of the current dispatch, its end, the deadline, or the end of ctx, and returns
// the machine's next action.
func (d *driver) awaitFrame(ctx context.Context) outcome.Action {
	timer := time.NewTimer(time.Until(d.deadline))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		if errors.Is(context.Cause(ctx), errStopping) {
			return d.machine.CancelDispatch(stoppingProblem())
		}
		return d.machine.HandleCallerLeft(true)
	case <-timer.C:
		return d.machine.HandleDeadline()
	case result := <-d.frames:
		if result.err != nil {
			d.reportHomeLost(result.err)
			return d.machine.HandleHomeLost(errors.Is(result.err, ErrNotSent))
		}
		return d.handleFrame(result.frame)
	}
}

// handleFrame passes a frame to the machine and delivers it to the caller if the machine asks for that. If the caller
// can't take it, it aborts the connection and does not return.
func (d *driver) handleFrame(f contract.Frame) outcome.Action {
	d.front.deps.Recorder.Observe(f.HLCTime)
	if f.CrashID != "" {
		d.crashID = f.CrashID
	}
	action := d.machine.HandleFrame(f)
	if action.Kind == outcome.Dispatch && f.Problem != nil && f.Problem.Code == contract.CodeNotHome {
		d.wrongHome, d.named = true, f.Home
		d.refusedBy = append(d.refusedBy, d.home)
		d.noHomeKnown = d.noHomeKnown || f.Home == ""
	}
	if action.Kind != outcome.Deliver {
		d.endedByHome = f.Kind == contract.FrameEnd || f.Kind == contract.FrameRefused || f.Kind == contract.FrameRecordExists
		return action
	}
	started, err := d.writer.deliver(f)
	if started {
		d.machine.MarkDelivered()
		d.front.metrics.recordDelivery(d)
	}
	if errors.Is(err, errAnswerTooLarge) {
		return d.machine.CancelDispatch(answerTooLargeProblem())
	}
	if err != nil {
		d.caller.abort()
	}
	return outcome.Action{Kind: outcome.Wait}
}

// dispatch ends the current dispatch and starts the next one, unless there is no time, no retry, or no group left.
// After a refusal by an entry that is not the home, it asks another entry for the same group. That does not count as a
// retry: no backend server has seen the request, and the number of entries to ask is bounded.
func (d *driver) dispatch(ctx context.Context, action outcome.Action) outcome.Action {
	redirected := d.redirect(ctx)
	if !redirected {
		d.closeDispatch()
	}
	if action.Restart {
		d.writer.reset()
	}
	if !redirected && !d.awaitRetry(ctx, time.Until(d.deadline)) {
		return d.machine.HandleNoDispatch(contract.NewRetryLater(contract.CodeOverloaded, "too many retries are under way", outcome.RetryAfterShort))
	}
	if errors.Is(context.Cause(ctx), errStopping) {
		return d.machine.HandleNoDispatch(stoppingProblem())
	}
	if ctx.Err() != nil {
		return d.machine.HandleCallerLeft(false)
	}
	left := time.Until(d.deadline)
	if left <= 0 {
		return d.machine.HandleNoDispatch(outcome.DeadlineProblem())
	}
	if !redirected {
		if p := d.chooseGroup(); p != nil {
			return d.machine.HandleNoDispatch(p)
		}
	}
	if d.home == "" {
		names, _ := d.front.deps.Homes.Eligible()
		d.noHomeKnown = len(names) == 0 // this entry trusts nothing that it knows, until another one has answered
		d.home, _ = d.awaitAgreement(ctx)
	}
	if d.home == "" {
		d.reportHomeLost(ErrNotSent)
		return d.machine.HandleHomeLost(true)
	}
	dispatch := d.request.newDispatch(d.front, homeTimeout(left))
	dispatch.Group = d.choice.Group
	dispatch.ResumeFrom = action.ResumeFrom
	dispatch.AbandonedClaims = action.AbandonedClaims
	dispatch.CrashID = d.crashID
	d.openDispatch(ctx, dispatch)
	return outcome.Action{Kind: outcome.Wait}
}

// chooseGroup chooses the group of the next dispatch and the entry to ask as its home.
func (d *driver) chooseGroup() *contract.Problem {
	choice, p := d.front.deps.Chooser.Choose(GroupQuery{
		Service: d.request.service, PrefixHash: d.request.prefixHash, EstimatedTokens: d.request.estimatedTokens, Tried: d.tried,
	})
	if p != nil {
		return p
	}
	d.choice = choice
	d.tried = append(d.tried, choice.Group)
	d.refusedBy, d.noHomeKnown = nil, false
	d.home, _ = d.front.deps.Homes.Next(choice.Group, nil, "")
	return nil
}

// redirect reports whether the current dispatch was refused by an entry that is not the home and another one is to be
// asked for the same group. It then ends the current dispatch but keeps its group. If no entry is left to ask, it waits
// for a moment for the entries to agree, and asks them anew.
func (d *driver) redirect(ctx context.Context) bool {
	if !d.wrongHome {
		return false
	}
	d.wrongHome = false
	next, ok := d.front.deps.Homes.Next(d.choice.Group, d.refusedBy, d.named)
	d.reportNotHome(next)
	if !ok {
		next, ok = d.awaitAgreement(ctx)
	}
	if !ok {
		return false
	}
	d.home = next
	d.closeFrames()
	return true
}

// awaitAgreement waits until an entry may be asked, or asked again, for the group, and returns it.
func (d *driver) awaitAgreement(ctx context.Context) (next string, ok bool) {
	for !ok {
		_, age := d.front.deps.Homes.Eligible()
		pause, wait := shift.AwaitAgreement(age, d.noHomeKnown, d.agreementWait)
		if !wait || time.Until(d.deadline) <= pause || !waitFor(ctx, pause) {
			return "", false
		}
		d.agreementWait += pause
		d.refusedBy = nil
		next, ok = d.front.deps.Homes.Next(d.choice.Group, nil, "")
	}
	return next, true
}

// waitFor returns false if ctx ended before the time was over.
func waitFor(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// awaitRetry waits for the backoff before a retry and reports whether the retry is allowed. The first try is
// always allowed.
func (d *driver) awaitRetry(ctx context.Context, left time.Duration) bool {
	if len(d.tried) == 0 {
		return true
	}
	wait, ok := d.front.deps.Retries.AllowRetry(d.request.service, len(d.tried), left)
	if !ok {
		return false
	}
	waitFor(ctx, wait)
	return true
}

// homeTimeout gives the home slightly less than the time left for the caller. A request that stays queued until
// then is refused by the home, which knows that it did not run, before the front has to give it up without knowing
// the outcome.
func homeTimeout(left time.Duration) time.Duration {
	return left - min(left/10, maxHomeMargin)
}

// maxHomeMargin covers the network path back from the home and a seal.
const maxHomeMargin = 200 * time.Millisecond

// openDispatch starts the reader of a dispatch. The reader holds one frame at a time, so the frames that a slow
// caller has not taken stay at the home, limited by the flow-control window of the stream.
func (d *driver) openDispatch(ctx context.Context, dispatch contract.Dispatch) {
	ctx, d.cancel = context.WithCancel(ctx)
	results := make(chan frameResult)
	d.frames = results
	dispatcher, home := d.front.deps.Dispatcher, d.home
	go func() {
		frames, err := dispatcher.Dispatch(ctx, home, dispatch)
		if err != nil {
			sendResult(ctx, results, frameResult{err: err})
			return
		}
		defer frames.Close()
		for err == nil {
			var frame contract.Frame
			frame, err = frames.Next()
			if !sendResult(ctx, results, frameResult{frame: frame, err: err}) {
				return
			}
		}
	}()
}

// sendResult returns false if ctx ended before the result was received.
func sendResult(ctx context.Context, results chan<- frameResult, result frameResult) bool {
	select {
	case results <- result:
		return true
	case <-ctx.Done():
		return false
	}
}

// closeDispatch ends the current dispatch and the use of its group, if any.
func (d *driver) closeDispatch() {
	endedByHome := d.endedByHome
	d.closeFrames()
	if d.choice.Done != nil {
		d.choice.Done(endedByHome)
	}
	d.choice = Choice{}
}

// closeFrames ends the current dispatch, if any.
func (d *driver) closeFrames() {
	if d.cancel != nil {
		d.cancel()
	}
	d.cancel = nil
	d.endedByHome = false
}

// recordContext bounds a seal, a lookup or a query. They determine what the caller is told and are made although the
// request has been ended.
func recordContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
}

func (d *driver) sealAttempt(ctx context.Context, action outcome.Action) attempt.Result {
	ctx, cancel := recordContext(ctx)
	defer cancel()
	result := d.front.deps.Attempts.Seal(ctx, attempt.WriteRequest{
		ID: d.id(), Number: d.request.attempt, Fingerprint: d.request.fingerprint, RequestID: d.request.id,
		Retention: attempt.Retention(d.request.service), AbandonedClaims: action.AbandonedClaims,
	})
	d.reportSeal(result)
	return result
}

func (d *driver) findRecord(ctx context.Context) attempt.Result {
	ctx, cancel := recordContext(ctx)
	defer cancel()
	return d.front.deps.Attempts.Find(ctx, d.id(), d.request.fingerprint)
}

// id returns the ID of the attempt record.
func (d *driver) id() attempt.ID { return attempt.ID{Team: d.request.team.Name, Key: d.request.key} }

func (d *driver) askHolder(ctx context.Context, claim contract.AttemptRecord) outcome.HolderAnswer {
	ctx, cancel := recordContext(ctx)
	defer cancel()
	answer := d.front.deps.Holders.ClaimStatus(ctx, claim)
	d.reportHolderAnswer(claim, answer)
	return answer
}

// respond records the outcome and ends the response to the caller.
func (d *driver) respond(action outcome.Action) {
	detail := string(action.Outcome)
	if action.Problem != nil {
		detail += " " + string(action.Problem.Code)
	}
	d.record(timeline.RequestOutcome, detail)
	d.front.metrics.recordOutcome(action, time.Since(d.startedAt))
	d.logUnanswered(action)
	d.writer.finish(action)
}

func (d *driver) record(kind timeline.Kind, detail string) {
	d.recordEvent(timeline.Event{Kind: kind, Detail: detail})
}

// recordEvent records a timeline event of this request.
func (d *driver) recordEvent(e timeline.Event) {
	e.Request, e.Team, e.Service = d.request.id, d.request.team.Name, d.request.service.Name
	d.front.deps.Recorder.Record(e)
}
