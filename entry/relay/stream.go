package relay

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/entry/turn"
	"github.com/skylarkpond/skylarkpond/link/framing"
	"github.com/skylarkpond/skylarkpond/link/upstream"
	"github.com/skylarkpond/skylarkpond/platform"
)

// Silence after which the leader is asked to check the group while the stream goes on: between two events, and before the first one.
// Healthy groups are rarely silent for as long, and a check costs a few small calls.
const (
	eventStallReportDelay = 300 * time.Millisecond
	firstStallReportDelay = 600 * time.Millisecond
	// wholeAnswerReportDelay applies to answers that are not streams.
	wholeAnswerReportDelay = 300 * time.Millisecond
)

// crashCheckTimeout bounds the check whether a server has crashed, for which the end of a stream is withheld.
const crashCheckTimeout = 100 * time.Millisecond

// Errors that end the reading of a stream from one server.
var (
	// errCallerWrite is wrapped by errors of writing to the caller.
	errCallerWrite = eris.New("writing to the caller")
	// errPartialEvent means that the stream ended inside an event.
	errPartialEvent = eris.New("the stream ended inside an event")
	// errCrashed means that the stream ended with its connection, and that its server has crashed.
	errCrashed = eris.New("the stream ended with its connection, and its server refuses connections")
	// errEndUnmarked means that the stream ended with its connection, while the caller's answer would mark the end as that of a complete one.
	errEndUnmarked = eris.New("the stream ended with its connection: whether it is complete is unknown")
)

// relayStream forwards the events of a stream as they arrive, resuming it at another server if it breaks off. It reports whether the
// request is done.
func (e *exchange) relayStream(t *turn.Turn, answer *upstream.Response) bool {
	if !platform.HasSignature(answer.Header) {
		return e.endUnsigned(t, answer)
	}
	head := platform.ResponseHeader(answer.Header)
	last := e.call.LastEvent
	for {
		var err error
		last, err = e.copyEvents(t, answer, head, last)
		_ = answer.Body.Close()
		e.endAttempt()
		if err == nil {
			t.Done(turn.Result{TimeToFirstToken: e.timeToFirstEvent})
			e.noteEnd(t, answer)
			e.finishStream(head, answer.Framing)
			return true
		}
		t.Done(e.failedResult())
		if !errors.Is(err, errCallerWrite) {
			e.checkForCrash(t, err)
		}
		t, answer = e.resume(last, "stream broke off: "+err.Error())
		if t == nil {
			return true
		}
	}
}

// finishStream ends a stream whose last event has been sent.
func (e *exchange) finishStream(head http.Header, streamFraming framing.Framing) {
	e.sendHeader(head, streamFraming)
	e.finish()
	e.summary.Outcome = Served
}

// sendHeader sends the header of the first server's answer, once. streamFraming is that of the stream whose event follows.
func (e *exchange) sendHeader(head http.Header, streamFraming framing.Framing) {
	if e.headerSent {
		return
	}
	e.headerSent = true
	e.stage.enter(Answering)
	e.endsWithConnection = streamFraming == framing.Closed
	e.timeToFirstEvent = time.Since(e.sentAt)
	e.summary.Status = http.StatusOK
	e.summary.TimeToFirstByte = time.Since(e.arrived)
	maps.Copy(e.writer.Header(), head)
	if e.endsWithConnection {
		framing.EndWithConnection(e.writer.Header())
		e.finished = framing.ResetUnlessFinished(e.request)
	}
	e.writeHeader(http.StatusOK)
}

// copyEvents forwards complete events until the stream ends, and returns the id of the last one sent. An event that breaks off in the
// middle is not sent: the stream resumes at another server after the last complete one. An error means that the stream broke off, or that
// it may have.
func (e *exchange) copyEvents(t *turn.Turn, answer *upstream.Response, head http.Header, last string) (string, error) {
	held := &holding{memory: &e.relay.held}
	defer held.release()
	events := newEventReader(answer.Body, held)
	suspicion := time.AfterFunc(firstStallReportDelay, func() { e.reportSilence(t) })
	defer suspicion.Stop()
	controller := http.NewResponseController(e.writer)
	for {
		event, err := events.next()
		if err == io.EOF {
			return last, e.checkEnd(t, answer)
		}
		if err != nil {
			return last, err
		}
		if event.partial && answer.Framing == framing.Closed {
			e.summary.PartialEvent = true
			return last, errPartialEvent
		}
		e.events++
		e.watch.noteActivity()
		suspicion.Reset(eventStallReportDelay)
		e.sendHeader(head, answer.Framing)
		if err := e.writeBody(event.bytes); err != nil {
			return last, err
		}
		if err := controller.Flush(); err != nil {
			return last, eris.Wrap(errCallerWrite, err.Error())
		}
		if event.id != "" {
			last = event.id
		}
	}
}

// checkEnd returns nil if a stream that ended between two events may be complete. A stream that ended with its connection may have been cut
// off there: it is resumed if its server has crashed, or if the caller would be told that it is complete.
func (e *exchange) checkEnd(t *turn.Turn, answer *upstream.Response) error {
	if answer.Framing != framing.Closed {
		return nil
	}
	if e.headerSent && !e.endsWithConnection {
		return errEndUnmarked
	}
	ctx, cancel := context.WithTimeout(e.ctx, crashCheckTimeout)
	defer cancel()
	if e.route.Resumable && upstream.RefusesConnections(ctx, t.Server.Address) {
		return errCrashed
	}
	return nil
}

// resume sends the request to another server, to continue after the last event sent. It returns nil when the request is done.
func (e *exchange) resume(last, detail string) (*turn.Turn, *upstream.Response) {
	for {
		t := e.takeNextTurn()
		if t == nil {
			if t = e.acquireResumeTurn(detail); t == nil {
				return nil, nil
			}
		}
		if t.Peer {
			answer, err := e.sendToPeer(t, last)
			if errors.Is(err, upstream.ErrNotSent) || errors.Is(err, errPeerCannot) {
				continue
			}
			if err == nil && (answer.Status != http.StatusOK || !platform.HasSignature(answer.Header)) {
				_ = answer.Body.Close()
				e.endAttempt()
				err = errPeerCannot
			}
			if err != nil {
				e.fail(detail + "; passed on to " + e.summary.Via + ": " + err.Error())
				return nil, nil
			}
			e.summary.Resumed = true
			return t, answer
		}
		if e.heldBack(t) {
			return nil, nil
		}
		if returnExpired(t) {
			continue
		}
		e.tried = append(e.tried, t.Server.ID)
		answer, err := e.send(t, last)
		if errors.Is(err, upstream.ErrNotPermitted) {
			t.Done(turn.Result{Rejected: true, Unsent: true})
			continue
		}
		if errors.Is(err, upstream.ErrNotSent) {
			t.Done(e.unreachableResult(t, err))
			e.unreachable++
			continue
		}
		e.attempts++
		if err != nil {
			t.Done(e.failedResult())
			e.checkForCrash(t, err)
			continue
		}
		if e.decode(t, answer).NotRun || answer.Status != http.StatusOK || !platform.HasSignature(answer.Header) {
			e.endRejected(t, answer)
			continue
		}
		e.summary.Resumed = true
		return t, answer
	}
}

// acquireResumeTurn acquires a turn for a stream that broke off. It returns nil when the request is done.
func (e *exchange) acquireResumeTurn(detail string) *turn.Turn {
	if e.ctx.Err() != nil || !e.route.Resumable || !e.mayRetry() {
		e.fail(detail)
		return nil
	}
	t, refusal := e.acquireTurn(e.turnRequest())
	if refusal != nil {
		e.fail(detail + "; " + string(refusal.Reason) + ": " + refusal.Detail)
		return nil
	}
	return t
}
