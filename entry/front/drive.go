package front

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/attempt"
	"github.com/skylarkpond/skylarkpond/contract/outcome"
	"github.com/skylarkpond/skylarkpond/timeline"
	"github.com/skylarkpond/skylarkpond/vm"
)

// recordTimeout bounds a seal, a look-up or a question to a claim's holder. The caller waits for it with
// nothing else left to wait for, so it is short.
const recordTimeout = time.Second

// drive does what the machine of one request asks for. Only the goroutine of the request uses it.
type drive struct {
	front   *Front
	q       *request
	machine *outcome.Machine
	out     writer
	began   time.Time
	until   time.Time
	tried   []vm.GroupID
	// delivered: the caller was given a part of the answer.
	delivered bool
	// crash names the crash of a backend server that the last try ended in.
	crash string

	choice Choice
	cancel context.CancelFunc
	next   chan received
	// well says that the dispatch under way ended by its home's word.
	well bool
}

// received is what a dispatch's reader got.
type received struct {
	frame contract.Frame
	err   error
}

// serve answers one request. p, if set, is why it is refused before any dispatch.
func (f *Front) serve(q *request, p *contract.Problem, r *http.Request, w http.ResponseWriter) {
	if q.unrepeatable && q.key == "" {
		q.key = f.newID()
	}
	now := time.Now()
	d := &drive{
		front: f, q: q, out: newWriter(q, w), began: now, until: now.Add(q.timeout),
		machine: outcome.New(outcome.Request{
			ID: q.id, AtMostOnce: q.unrepeatable, KeyFromCaller: q.chosen, AttemptNumber: q.attempt,
			Fingerprint: q.fingerprint, Resumable: q.service.CanResume, Plain: q.plain != nil,
		}),
	}
	defer d.close()
	d.record(timeline.RequestAccepted, "")
	d.run(r.Context(), p)
}

func (d *drive) run(ctx context.Context, p *contract.Problem) {
	action := outcome.Action{}
	if p != nil {
		action = d.machine.Reject(p)
	} else {
		d.front.deps.Retries.RecordFirstTry(d.q.service.Name)
		action = d.machine.Start()
	}
	for {
		switch action.Kind {
		case outcome.Dispatch:
			action = d.dispatch(ctx, action)
		case outcome.Seal:
			action = d.machine.HandleSeal(d.seal(ctx, action))
		case outcome.Find:
			action = d.machine.HandleFind(d.find(ctx))
		case outcome.AskHolder:
			action = d.machine.HandleHolderAnswer(d.askHolder(ctx, action.Claim))
		case outcome.Finish:
			d.tell(action)
			return
		default:
			var over bool
			if action, over = d.wait(ctx); over {
				return
			}
		}
	}
}

// wait takes the next thing that happens to the dispatch under way. over: the caller is gone.
func (d *drive) wait(ctx context.Context) (action outcome.Action, over bool) {
	timer := time.NewTimer(time.Until(d.until))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return action, true
	case <-timer.C:
		return d.machine.HandleDeadline(), false
	case got := <-d.next:
		if got.err != nil {
			d.noteLost(got.err)
			return d.machine.HandleHomeLost(errors.Is(got.err, ErrNotSent)), false
		}
		return d.take(got.frame)
	}
}

func (d *drive) take(f contract.Frame) (action outcome.Action, over bool) {
	d.front.deps.Recorder.Observe(f.HLCTime)
	if f.CrashID != "" {
		d.crash = f.CrashID
	}
	action = d.machine.HandleFrame(f)
	if action.Kind != outcome.Deliver {
		d.well = f.Kind == contract.FrameEnd || f.Kind == contract.FrameRefused || f.Kind == contract.FrameRecordExists
		return action, false
	}
	began, err := d.out.deliver(f)
	if began {
		d.machine.MarkDelivered()
		d.front.counts.delivered(d)
	}
	if errors.Is(err, errAnswerTooLarge) {
		return d.machine.CancelDispatch(problemAnswerTooLarge()), false
	}
	return outcome.Action{Kind: outcome.Wait}, err != nil
}

func (d *drive) dispatch(ctx context.Context, action outcome.Action) outcome.Action {
	d.close()
	if action.Restart {
		d.out.restart()
	}
	service := d.q.service
	if !d.mayTry(ctx, time.Until(d.until)) {
		return d.machine.HandleNoDispatch(contract.NewRetryLater(contract.CodeOverloaded, "too many retries are under way", outcome.RetryAfterShort))
	}
	left := time.Until(d.until)
	if left <= 0 {
		return d.machine.HandleNoDispatch(outcome.DeadlineProblem())
	}
	choice, p := d.front.deps.Chooser.Choose(GroupQuery{Service: service, PrefixHash: d.q.prefix, EstimatedTokens: d.q.work, Tried: d.tried})
	if p != nil {
		return d.machine.HandleNoDispatch(p)
	}
	d.choice = choice
	d.tried = append(d.tried, choice.Group)
	order := d.q.dispatch(d.front, homeTimeout(left))
	order.Group = choice.Group
	order.ResumeFrom = action.ResumeFrom
	order.AbandonedClaims = action.AbandonedClaims
	order.CrashID = d.crash
	d.open(ctx, order)
	return outcome.Action{Kind: outcome.Wait}
}

// mayTry says whether another try may be made, after the pause that it has to keep. A first one always may.
func (d *drive) mayTry(ctx context.Context, left time.Duration) bool {
	if len(d.tried) == 0 {
		return true
	}
	wait, ok := d.front.deps.Retries.AllowRetry(d.q.service, len(d.tried), left)
	if !ok {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return true
}

// homeTimeout leaves the home a little less than the caller's time. What waits in a queue until the end is
// then refused by the home, which can say that it did not run, before this front has to give it up
// without knowing.
func homeTimeout(left time.Duration) time.Duration {
	return left - min(left/10, maxHomeMargin)
}

// maxHomeMargin covers the way back from the home and a seal.
const maxHomeMargin = 200 * time.Millisecond

// open starts the reader of a dispatch. It holds one frame at a time: what a slow caller does not take
// stays with the home, within the window of its stream.
func (d *drive) open(ctx context.Context, order contract.Dispatch) {
	ctx, d.cancel = context.WithCancel(ctx)
	next := make(chan received)
	d.next = next
	dispatcher := d.front.deps.Dispatcher
	go func() {
		frames, err := dispatcher.Dispatch(ctx, order)
		if err != nil {
			pass(ctx, next, received{err: err})
			return
		}
		defer frames.Close()
		for err == nil {
			var frame contract.Frame
			frame, err = frames.Next()
			if !pass(ctx, next, received{frame: frame, err: err}) {
				return
			}
		}
	}()
}

func pass(ctx context.Context, next chan<- received, got received) bool {
	select {
	case next <- got:
		return true
	case <-ctx.Done():
		return false
	}
}

// close ends the dispatch under way, if any.
func (d *drive) close() {
	if d.cancel == nil {
		return
	}
	d.cancel()
	d.cancel = nil
	if d.choice.Done != nil {
		d.choice.Done(d.well)
	}
	d.well = false
}

func (d *drive) seal(ctx context.Context, action outcome.Action) attempt.Result {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	result := d.front.deps.Attempts.Seal(ctx, attempt.WriteRequest{
		ID: d.id(), Number: d.q.attempt, Fingerprint: d.q.fingerprint, RequestID: d.q.id,
		Retention: attempt.Retention(d.q.service), AbandonedClaims: action.AbandonedClaims,
	})
	d.noteSeal(result)
	return result
}

func (d *drive) find(ctx context.Context) attempt.Result {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	return d.front.deps.Attempts.Find(ctx, d.id(), d.q.fingerprint)
}

func (d *drive) id() attempt.ID { return attempt.ID{Team: d.q.team.Name, Key: d.q.key} }

func (d *drive) askHolder(ctx context.Context, claim contract.AttemptRecord) outcome.HolderAnswer {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	answer := d.front.deps.Holders.ClaimStatus(ctx, claim)
	d.noteHolder(claim, answer)
	return answer
}

func (d *drive) tell(action outcome.Action) {
	detail := string(action.Outcome)
	if action.Problem != nil {
		detail += " " + string(action.Problem.Code)
	}
	d.record(timeline.RequestOutcome, detail)
	d.front.counts.told(action, time.Since(d.began))
	d.noteUnanswered(action)
	d.out.tell(action)
}

func (d *drive) record(kind timeline.Kind, detail string) {
	d.recordEvent(timeline.Event{Kind: kind, Detail: detail})
}

// recordEvent records an event of this request.
func (d *drive) recordEvent(e timeline.Event) {
	e.Request, e.Team, e.Service = d.q.id, d.q.team.Name, d.q.service.Name
	d.front.deps.Recorder.Record(e)
}
