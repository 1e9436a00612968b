package front

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/outcome"
	"github.com/skylarkpond/skylarkpond/link/engine"
)

// JSON shapes of the chat completions API.
type (
	chunk struct {
		ID      string        `json:"id"`
		Object  string        `json:"object"`
		Created int64         `json:"created"`
		Model   string        `json:"model"`
		Choices []chunkChoice `json:"choices"`
	}
	chunkChoice struct {
		Index        int            `json:"index"`
		Delta        chunkDelta     `json:"delta"`
		FinishReason nullableString `json:"finish_reason"`
	}
	chunkDelta struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content,omitempty"`
	}
	completion struct {
		ID      string             `json:"id"`
		Object  string             `json:"object"`
		Created int64              `json:"created"`
		Model   string             `json:"model"`
		Choices []completionChoice `json:"choices"`
		Usage   usage              `json:"usage"`
	}
	completionChoice struct {
		Index        int            `json:"index"`
		Message      engine.Message `json:"message"`
		FinishReason nullableString `json:"finish_reason"`
	}
	usage struct {
		CompletionTokens int `json:"completion_tokens"`
	}
)

// nullableString is a string that is encoded as null if it is empty.
type nullableString string

// MarshalJSON implements json.Marshaler.
func (s nullableString) MarshalJSON() ([]byte, error) {
	if s == "" {
		return []byte("null"), nil
	}
	return json.Marshal(string(s))
}

// streamWriter writes a completion as server-sent events. [DONE] is sent only after a complete answer. An
// incomplete answer ends with an event named "error" that holds a Problem.
type streamWriter struct {
	*callerConn
	started bool
	created int64
}

func (s *streamWriter) deliver(f contract.Frame) (bool, error) {
	s.start()
	delta := chunkDelta{Content: f.Text}
	if f.EventSeq == 0 {
		delta.Role = "assistant"
	}
	err := s.writeChunk(chunk{
		ID: s.request.id, Object: "chat.completion.chunk", Created: s.created, Model: s.request.model,
		Choices: []chunkChoice{{Delta: delta, FinishReason: nullableString(f.FinishReason)}},
	})
	return true, err
}

func (s *streamWriter) start() {
	if s.started {
		return
	}
	s.started = true
	s.created = time.Now().Unix()
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set("Trailer", contract.HeaderOutcome)
	header.Set(contract.HeaderRequestID, s.request.id)
	if s.request.atMostOnce {
		header.Set(contract.HeaderIdempotencyKey, s.request.key)
	}
	s.writeHeader(http.StatusOK)
}

func (s *streamWriter) reset() {}

func (s *streamWriter) finish(a outcome.Action) {
	if a.StoredAnswer != nil {
		s.writeStored(a)
		return
	}
	if !s.started {
		if a.Problem != nil {
			s.writeProblem(a)
		}
		return
	}
	if a.Problem != nil {
		_ = s.writeEvent("error", string(s.problemBody(a)))
	} else {
		_ = s.writeEvent("", "[DONE]")
	}
	s.w.Header().Set(contract.HeaderOutcome, string(a.Outcome))
}

// writeStored writes an answer from the attempt record as a stream of one event.
func (s *streamWriter) writeStored(a outcome.Action) {
	event, ok := decodeStored(a.StoredAnswer)
	if !ok {
		s.writeProblem(unreadableAnswer())
		return
	}
	f := contract.Frame{Text: event.Text, FinishReason: event.FinishReason}
	if _, err := s.deliver(f); err != nil {
		return
	}
	s.finish(outcome.Action{Outcome: contract.OutcomeAnswered})
}

func (s *streamWriter) writeChunk(c chunk) error {
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return s.writeEvent("", string(body))
}

func (s *streamWriter) writeEvent(kind, data string) error {
	message := &sse.Message{}
	if kind != "" {
		message.Type = sse.Type(kind)
	}
	message.AppendData(data)
	text, err := message.MarshalText()
	if err != nil {
		return err
	}
	if err := s.write(text); err != nil {
		return err
	}
	return s.flush()
}

// bufferedWriter buffers a completion and writes it as one JSON object.
type bufferedWriter struct {
	*callerConn
	text         strings.Builder
	tokens       int
	finishReason string
	delivered    bool
}

func (s *bufferedWriter) deliver(f contract.Frame) (bool, error) {
	if s.text.Len()+len(f.Text) > maxBufferedCompletion {
		return false, errAnswerTooLarge
	}
	s.text.WriteString(f.Text)
	s.tokens += f.Tokens
	s.finishReason = f.FinishReason
	s.delivered = true
	return false, nil
}

func (s *bufferedWriter) reset() {
	s.text.Reset()
	s.tokens = 0
	s.finishReason = ""
	s.delivered = false
}

func (s *bufferedWriter) finish(a outcome.Action) {
	if a.Problem != nil {
		s.writeProblem(a)
		return
	}
	if a.StoredAnswer != nil {
		event, ok := decodeStored(a.StoredAnswer)
		if !ok {
			s.writeProblem(unreadableAnswer())
			return
		}
		s.reset()
		_, _ = s.deliver(contract.Frame{Text: event.Text, Tokens: event.Tokens, FinishReason: event.FinishReason})
	}
	if !s.delivered {
		return
	}
	body, err := json.Marshal(completion{
		ID: s.request.id, Object: "chat.completion", Created: time.Now().Unix(), Model: s.request.model,
		Choices: []completionChoice{{
			Message:      engine.Message{Role: "assistant", Content: s.text.String()},
			FinishReason: nullableString(s.finishReason),
		}},
		Usage: usage{CompletionTokens: s.tokens},
	})
	if err != nil {
		s.writeProblem(unreadableAnswer())
		return
	}
	s.setOutcomeHeaders(a)
	s.w.Header().Set("Content-Type", "application/json")
	s.writeHeader(http.StatusOK)
	_ = s.write(body)
}

// decodeStored decodes a completion in the form in which the home stores it.
func decodeStored(stored *contract.StoredAnswer) (engine.Event, bool) {
	var event engine.Event
	err := json.Unmarshal(stored.Body, &event)
	return event, err == nil && event.Final
}

// unreadableAnswer reports that the request ran, but that its stored answer can't be decoded.
func unreadableAnswer() outcome.Action {
	return outcome.Action{Outcome: contract.OutcomeAnswered, Problem: &contract.Problem{
		Code: contract.CodeAnswerNotStored, Status: http.StatusOK, Outcome: contract.OutcomeAnswered,
		Message: "the request ran, and its stored answer can't be read",
	}}
}
