package home

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/link/engine"
	"github.com/skylarkpond/skylarkpond/link/framing"
)

// plainChunkSize is the maximum size of one chunk of a plain service's answer.
const plainChunkSize = 16 << 10

func (r *run) target() engine.Target {
	return engine.Target{
		Address: r.group.Head().Address, RequestID: r.d.RequestID, Group: r.group.ID, Epoch: r.group.Epoch,
		Priority: r.d.Priority, ResumeFrom: r.d.ResumeFrom, Service: r.d.Service, RateLimit: r.observeRateLimit,
	}
}

// observeRateLimit applies the limit that an answer states to all requests of the group. They all pass through this home.
func (r *run) observeRateLimit(perSecond *float64) {
	if r.permit.RateLimit(perSecond) {
		r.reportRateLimit(perSecond)
	}
}

// streamCompletion sends a completion request and forwards its events to the front.
func (r *run) streamCompletion(ctx context.Context) {
	stream, err := r.home.deps.Engines.Complete(ctx, r.target(), r.d.Body)
	if err != nil {
		r.handleSendError(ctx, err)
		return
	}
	defer func() { _ = stream.Close() }()
	next := r.d.ResumeFrom
	first := true
	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			r.reportBroken(ctx, brokenProblem("the backend server's stream ended without its final event"))
			return
		}
		if err != nil {
			r.reportBroken(ctx, brokenProblem("the backend server broke off"))
			return
		}
		if event.RequestID != r.d.RequestID || event.Seq < next {
			continue // belongs to another request, or is a duplicate
		}
		if event.Seq > next {
			r.reportBroken(ctx, brokenProblem("the backend server's stream has a gap"))
			return
		}
		next++
		if first {
			r.permit.FirstToken()
			first = false
		}
		r.permit.Token(event.Tokens)
		r.guardPermit.NoteEvent()
		r.answer.recordEvent(event)
		if event.Final {
			r.finish(ctx, eventFrame(event), contract.Frame{Kind: contract.FrameEnd})
			return
		}
		if !r.sendFrame(eventFrame(event)) && !r.d.AtMostOnce {
			return // the front is gone; closing the stream cancels the request
		}
	}
}

func eventFrame(e engine.Event) contract.Frame {
	return contract.Frame{
		Kind: contract.FrameEvent, EventSeq: e.Seq, Text: e.Text, Tokens: e.Tokens, Final: e.Final, FinishReason: e.FinishReason,
	}
}

// callPlain calls a plain service and forwards its answer to the front.
func (r *run) callPlain(ctx context.Context) {
	plain := r.d.Plain
	response, err := r.home.deps.Engines.Call(ctx, r.target(), plain.Method, plain.Path, plain.Header, bytes.NewReader(r.d.Body))
	if err != nil {
		r.handleSendError(ctx, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	r.permit.FirstToken()
	r.endsWithConnection = framing.Of(response) == framing.Closed
	r.answer.recordHead(response.StatusCode, response.Header, r.endsWithConnection)
	head := contract.Frame{
		Kind: contract.FrameHead, Status: response.StatusCode, Header: response.Header, EndsWithConnection: r.endsWithConnection,
	}
	if !r.sendFrame(head) && !r.d.AtMostOnce {
		return
	}
	total := int64(0)
	buffer := make([]byte, plainChunkSize)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			total += int64(n)
			data := bytes.Clone(buffer[:n])
			r.answer.recordChunk(data)
			if !r.sendFrame(contract.Frame{Kind: contract.FrameChunk, Data: data}) && !r.d.AtMostOnce {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			r.reportBroken(ctx, brokenProblem("the backend server broke off"))
			return
		}
	}
	r.finish(ctx, contract.Frame{Kind: contract.FrameEnd, AnswerBytes: total})
}

// handleSendError reports to the front that the backend server refused the request or did not answer it.
func (r *run) handleSendError(ctx context.Context, err error) {
	var refusal *engine.Refusal
	if errors.As(err, &refusal) && refusal.RetryAfter > 0 {
		r.permit.Pause(refusal.RetryAfter)
		r.reportPause(refusal.RetryAfter)
	}
	switch {
	case errors.Is(err, engine.ErrNotSent):
		r.refuse(contract.NewRetryLater(contract.CodeBackendRefused, "the backend server could not be reached", time.Second))
	case errors.As(err, &refusal) && isCallerError(refusal.Status):
		r.refuse(contract.NewRejection(refusal.Status, contract.CodeBadRequest, "the backend server refused the request: "+refusal.Reason, "mend the request"))
	case errors.Is(err, engine.ErrRefused):
		r.refuse(contract.NewRetryLater(contract.CodeBackendRefused, "the backend server refused the request", time.Second))
	default:
		r.reportBroken(ctx, brokenProblem("the backend server broke off"))
	}
}

// isCallerError reports whether any other backend server would refuse the request with the same status.
func isCallerError(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnsupportedMediaType, http.StatusUnprocessableEntity:
		return true
	default:
		return false
	}
}

func brokenProblem(message string) *contract.Problem {
	return &contract.Problem{
		Code: contract.CodeBackendBroke, Status: http.StatusBadGateway, Outcome: contract.OutcomeUnknown, Message: message,
	}
}
