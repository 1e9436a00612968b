package relay

import (
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/entry/turn"
	"github.com/skylarkpond/skylarkpond/link/framing"
	"github.com/skylarkpond/skylarkpond/link/upstream"
	"github.com/skylarkpond/skylarkpond/platform"
)

// relayWhole forwards an answer that is not a stream. It is read to its end before any of it is sent, so that an answer that breaks off can be
// replaced by another attempt's. One that is too large for that is forwarded as it arrives.
func (e *exchange) relayWhole(t *turn.Turn, answer *upstream.Response) bool {
	if isSuccess(answer.Status) && !platform.HasSignature(answer.Header) {
		return e.endUnsigned(t, answer)
	}
	held := &holding{memory: &e.relay.held}
	defer held.release()
	body, err := readHeld(answer.Body, held)
	failed := answer.Status >= http.StatusInternalServerError
	replaceable := failed && e.route.Kind == route.Idempotent
	if errors.Is(err, errHeldFull) && !replaceable && e.watch.disarm() {
		return e.passThrough(t, answer, body)
	}
	_ = answer.Body.Close()
	e.endAttempt()
	if err != nil {
		t.Done(e.failedResult())
		e.checkForCrash(t, err)
		return e.doneAfterFailure("answer broke off: " + err.Error())
	}
	e.noteEnd(t, answer)
	t.Done(turn.Result{Failed: failed})
	if replaceable && e.mayRetry() {
		return false
	}
	e.summary.TimeToFirstByte = time.Since(e.arrived)
	e.writeAnswer(answer.Status, platform.ResponseHeader(answer.Header), body, answer.Framing)
	e.summary.Outcome = e.outcomeOf(t, answer)
	return true
}

// endUnsigned ends an attempt whose server answered with a success without a signature, and reports whether the request is done. Such bytes are no
// answer of the server; the request may have run.
func (e *exchange) endUnsigned(t *turn.Turn, answer *upstream.Response) bool {
	_ = answer.Body.Close()
	e.endAttempt()
	t.Done(turn.Result{Failed: true})
	return e.doneAfterFailure("success without a signature")
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// errHeldFull means that an answer is larger than may be held.
var errHeldFull = eris.New("the answer is too large to be held")

const (
	// readBytes is the size of a read of an answer that is held, copyBytes that of one that is passed through.
	readBytes = 4 << 10
	copyBytes = 32 << 10
)

// readHeld reads a body to its end, or returns its beginning and errHeldFull.
func readHeld(body io.Reader, held *holding) ([]byte, error) {
	var read []byte
	for {
		if !held.grow(len(read) + readBytes) {
			return read, errHeldFull
		}
		if cap(read)-len(read) < readBytes {
			grown := make([]byte, len(read), max(2*cap(read), len(read)+readBytes))
			copy(grown, read)
			read = grown
		}
		n, err := body.Read(read[len(read) : len(read)+readBytes])
		read = read[:len(read)+n]
		if err == io.EOF {
			return read, nil
		}
		if err != nil {
			return read, err
		}
	}
}

// passThrough forwards an answer as it arrives, whose beginning was read. A caller that reads slowly slows the server down. It reports that the
// request is done: what was sent can't be replaced.
func (e *exchange) passThrough(t *turn.Turn, answer *upstream.Response, beginning []byte) bool {
	controller := http.NewResponseController(e.writer)
	_ = controller.SetWriteDeadline(e.deadline)
	e.sendBeginning(answer)
	err := e.copyBody(answer, beginning)
	_ = answer.Body.Close()
	e.endAttempt()
	switch {
	case err == nil:
		_ = controller.SetWriteDeadline(time.Time{})
		e.finish()
		t.Done(turn.Result{})
		e.noteEnd(t, answer)
		e.summary.Outcome = e.outcomeOf(t, answer)
		return true
	case errors.Is(err, errCallerWrite):
		t.Done(turn.Result{})
	default:
		t.Done(turn.Result{Failed: true})
		e.checkForCrash(t, err)
	}
	e.fail("answer broke off: " + err.Error())
	return true
}

// finish records that all of the answer has been written. An answer that ends with its connection is complete only once the HTTP server has sent what
// it holds of it.
func (e *exchange) finish() {
	if e.finished == nil {
		return
	}
	if err := http.NewResponseController(e.writer).Flush(); err != nil {
		e.noteUnwritten(err)
		return
	}
	e.finished()
}

// sendBeginning sends the header of an answer that is passed through.
func (e *exchange) sendBeginning(answer *upstream.Response) {
	e.headerSent = true
	e.stage.enter(Answering)
	e.summary.Status = answer.Status
	e.summary.TimeToFirstByte = time.Since(e.arrived)
	header := e.writer.Header()
	maps.Copy(header, platform.ResponseHeader(answer.Header))
	switch {
	case answer.Framing == framing.Closed:
		framing.EndWithConnection(header)
		e.finished = framing.ResetUnlessFinished(e.request)
	case answer.Length >= 0:
		header.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	e.writeHeader(answer.Status)
}

// copyBody writes the beginning of a body and what follows. Errors of writing wrap errCallerWrite.
func (e *exchange) copyBody(answer *upstream.Response, beginning []byte) error {
	if err := e.writeBody(beginning); err != nil {
		return err
	}
	buffer := beginning[:min(cap(beginning), copyBytes)]
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			if err := e.writeBody(buffer[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
