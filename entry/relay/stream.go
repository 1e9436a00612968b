package relay

import (
	"errors"
	"io"
	"maps"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/entry/turn"
	"github.com/skylarkpond/skylarkpond/link/upstream"
	"github.com/skylarkpond/skylarkpond/platform"
)

// Silence after which the leader is asked to look into the group, while the stream goes on: between two events, and before the first
// one. Sound groups are rarely as quiet, and a look costs a few small calls.
const (
	suspect      = 300 * time.Millisecond
	suspectFirst = 600 * time.Millisecond
)

// errCaller is wrapped by what goes wrong on the way to the caller.
var errCaller = eris.New("writing to the caller")

// stream hands on the events of a stream as they come. It returns whether the request is over.
func (e *exchange) stream(t *turn.Turn, answer *upstream.Response) bool {
	if !platform.HasSignature(answer.Header) {
		_ = answer.Body.Close()
		e.endAttempt()
		t.Done(turn.Result{Failed: true})
		return e.overBroken("success without a signature")
	}
	head := platform.ResponseHeader(answer.Header)
	last := e.call.LastEvent
	for {
		var err error
		last, err = e.copyEvents(t, answer, head, last)
		_ = answer.Body.Close()
		e.endAttempt()
		if err == nil {
			t.Done(turn.Result{TimeToFirstToken: e.first})
			e.relay.deps.Suspects.Finished(e.service, e.fingerprint)
			e.finish(head)
			return true
		}
		t.Done(e.resultOf())
		if !errors.Is(err, errCaller) {
			e.lost(t, err)
		}
		t, answer = e.resume(last, "stream broke off: "+err.Error())
		if t == nil {
			return true
		}
	}
}

// finish ends a stream whose last event has gone out.
func (e *exchange) finish(head http.Header) {
	e.begin(head)
	e.ended.Outcome = Served
}

// begin sends the head of the first server's answer, once.
func (e *exchange) begin(head http.Header) {
	if e.begun {
		return
	}
	e.begun = true
	e.first = time.Since(e.sent)
	e.ended.Status = http.StatusOK
	e.ended.First = time.Since(e.arrived)
	maps.Copy(e.writer.Header(), head)
	e.writer.WriteHeader(http.StatusOK)
}

// copyEvents hands on whole events until the stream ends, and returns the id of the last one that went out. An event
// that breaks off in its middle does not go out: the stream goes on elsewhere after the last whole one.
func (e *exchange) copyEvents(t *turn.Turn, answer *upstream.Response, head http.Header, last string) (string, error) {
	events := newEventReader(answer.Body)
	suspicion := time.AfterFunc(suspectFirst, t.ReportStall)
	defer suspicion.Stop()
	controller := http.NewResponseController(e.writer)
	for {
		event, err := events.next()
		if err == io.EOF {
			return last, nil
		}
		if err != nil {
			return last, err
		}
		e.watch.heard()
		suspicion.Reset(suspect)
		e.begin(head)
		if _, err := e.writer.Write(event.bytes); err != nil {
			return last, eris.Wrap(errCaller, err.Error())
		}
		if err := controller.Flush(); err != nil {
			return last, eris.Wrap(errCaller, err.Error())
		}
		if event.id != "" {
			last = event.id
		}
	}
}

// resume sends the request again, to go on after the last event that went out. It returns nil when the request is over.
func (e *exchange) resume(last, detail string) (*turn.Turn, *upstream.Response) {
	for {
		t := e.takeNext()
		if t == nil {
			if t = e.turnToResume(detail); t == nil {
				return nil, nil
			}
		}
		e.tried = append(e.tried, t.Server.ID)
		answer, err := e.send(t, last)
		if errors.Is(err, upstream.ErrNotSent) {
			t.Done(turn.Result{Unreachable: true})
			continue
		}
		e.attempts++
		if err != nil {
			t.Done(e.resultOf())
			e.lost(t, err)
			continue
		}
		if platform.DecodeResponse(answer.Status, answer.Header).NotRun || answer.Status != http.StatusOK || !platform.HasSignature(answer.Header) {
			e.rejected(t, answer)
			continue
		}
		e.ended.Resumed = true
		return t, answer
	}
}

// turnToResume takes a turn for a stream that broke off. It returns nil when the request is over.
func (e *exchange) turnToResume(detail string) *turn.Turn {
	if e.ctx.Err() != nil || !e.route.Resumable || !e.mayTryAgain() {
		e.fail(detail)
		return nil
	}
	t, refusal := e.relay.deps.Turns.Acquire(e.ctx, e.ask())
	if refusal != nil {
		e.fail(detail + "; " + string(refusal.Reason) + ": " + refusal.Detail)
		return nil
	}
	return t
}
