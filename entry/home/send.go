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
)

// chunkBytes is the size of a part of a plain answer.
const chunkBytes = 16 << 10

func (r *run) target() engine.Send {
	return engine.Send{
		Address: r.group.Head().Address, RequestID: r.d.RequestID, Group: r.group.ID, Epoch: r.group.Epoch,
		Priority: r.d.Priority, ResumeFrom: r.d.ResumeFrom, Service: r.d.Service,
	}
}

// complete sends a completion and hands its events on.
func (r *run) complete(ctx context.Context) {
	stream, err := r.home.deps.Engines.Complete(ctx, r.target(), r.d.Body)
	if err != nil {
		r.notAnswered(ctx, err)
		return
	}
	defer func() { _ = stream.Close() }()
	next := r.d.ResumeFrom
	first := true
	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			r.broken(ctx, broke("the backend server's stream ended without its final event"))
			return
		}
		if err != nil {
			r.broken(ctx, broke("the backend server broke off"))
			return
		}
		if event.RequestID != r.d.RequestID || event.Seq < next {
			continue // another request's, or a late copy
		}
		if event.Seq > next {
			r.broken(ctx, broke("the backend server's stream has a gap"))
			return
		}
		next++
		if first {
			r.turn.FirstToken()
			first = false
		}
		r.turn.Token(event.Tokens)
		r.kept.event(event)
		if event.Final {
			r.finish(ctx, eventFrame(event), contract.Frame{Kind: contract.FrameEnd})
			return
		}
		if !r.frame(eventFrame(event)) && !r.d.AtMostOnce {
			return // the front is gone: closing the stream cancels the request
		}
	}
}

func eventFrame(e engine.Event) contract.Frame {
	return contract.Frame{
		Kind: contract.FrameEvent, EventSeq: e.Seq, Text: e.Text, Tokens: e.Tokens, Final: e.Final, FinishReason: e.FinishReason,
	}
}

// call sends a call of a plain service and hands its answer on.
func (r *run) call(ctx context.Context) {
	plain := r.d.Plain
	response, err := r.home.deps.Engines.Call(ctx, r.target(), plain.Method, plain.Path, plain.Header, bytes.NewReader(r.d.Body))
	if err != nil {
		r.notAnswered(ctx, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	r.turn.FirstToken()
	r.kept.head(response.StatusCode, response.Header)
	if !r.frame(contract.Frame{Kind: contract.FrameHead, Status: response.StatusCode, Header: response.Header}) && !r.d.AtMostOnce {
		return
	}
	if !delimited(response) {
		r.broken(ctx, broke("the backend server's answer has no length: whether it is whole can't be told"))
		return
	}
	total := int64(0)
	buffer := make([]byte, chunkBytes)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			total += int64(n)
			data := bytes.Clone(buffer[:n])
			r.kept.chunk(data)
			if !r.frame(contract.Frame{Kind: contract.FrameChunk, Data: data}) && !r.d.AtMostOnce {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			r.broken(ctx, broke("the backend server broke off"))
			return
		}
	}
	r.finish(ctx, contract.Frame{Kind: contract.FrameEnd, AnswerBytes: total})
}

// delimited says that the end of the body can be told from a cut. A body that ends with its connection
// looks whole when the backend server dies in the middle of it.
func delimited(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Body == http.NoBody
}

func (r *run) notAnswered(ctx context.Context, err error) {
	var refusal *engine.Refusal
	switch {
	case errors.Is(err, engine.ErrNotSent):
		r.refuse(contract.NewRetryLater(contract.CodeBackendRefused, "the backend server could not be reached", time.Second))
	case errors.As(err, &refusal) && callersFault(refusal.Status):
		r.refuse(contract.NewRejection(refusal.Status, contract.CodeBadRequest, "the backend server refused the request: "+refusal.Reason, "mend the request"))
	case errors.Is(err, engine.ErrRefused):
		r.refuse(contract.NewRetryLater(contract.CodeBackendRefused, "the backend server refused the request", time.Second))
	default:
		r.broken(ctx, broke("the backend server broke off"))
	}
}

// callersFault names refusals that another backend server would give as well.
func callersFault(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnsupportedMediaType, http.StatusUnprocessableEntity:
		return true
	default:
		return false
	}
}

func broke(message string) *contract.Problem {
	return &contract.Problem{
		Code: contract.CodeBackendBroke, Status: http.StatusBadGateway, Outcome: contract.OutcomeUnknown, Message: message,
	}
}
