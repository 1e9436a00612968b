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

// The shapes that callers of chat completions know.
type (
	chunk struct {
		ID      string        `json:"id"`
		Object  string        `json:"object"`
		Created int64         `json:"created"`
		Model   string        `json:"model"`
		Choices []chunkChoice `json:"choices"`
	}
	chunkChoice struct {
		Index        int         `json:"index"`
		Delta        chunkDelta  `json:"delta"`
		FinishReason nullableStr `json:"finish_reason"`
	}
	chunkDelta struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content,omitempty"`
	}
	whole struct {
		ID      string        `json:"id"`
		Object  string        `json:"object"`
		Created int64         `json:"created"`
		Model   string        `json:"model"`
		Choices []wholeChoice `json:"choices"`
		Usage   usage         `json:"usage"`
	}
	wholeChoice struct {
		Index        int            `json:"index"`
		Message      engine.Message `json:"message"`
		FinishReason nullableStr    `json:"finish_reason"`
	}
	usage struct {
		CompletionTokens int `json:"completion_tokens"`
	}
)

// nullableStr is a string whose empty value is JSON's null.
type nullableStr string

// MarshalJSON implements json.Marshaler.
func (s nullableStr) MarshalJSON() ([]byte, error) {
	if s == "" {
		return []byte("null"), nil
	}
	return json.Marshal(string(s))
}

// streamWriter gives a completion as server-sent events. [DONE] comes only behind a whole answer; what
// breaks off ends with an event named error that holds a Problem.
type streamWriter struct {
	*caller
	began   bool
	created int64
}

func (s *streamWriter) deliver(f contract.Frame) (bool, error) {
	s.begin()
	delta := chunkDelta{Content: f.Text}
	if f.EventSeq == 0 {
		delta.Role = "assistant"
	}
	err := s.data(chunk{
		ID: s.q.id, Object: "chat.completion.chunk", Created: s.created, Model: s.q.model,
		Choices: []chunkChoice{{Delta: delta, FinishReason: nullableStr(f.FinishReason)}},
	})
	return true, err
}

func (s *streamWriter) begin() {
	if s.began {
		return
	}
	s.began = true
	s.created = time.Now().Unix()
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set("Trailer", contract.HeaderOutcome)
	header.Set(contract.HeaderRequestID, s.q.id)
	if s.q.unrepeatable {
		header.Set(contract.HeaderIdempotencyKey, s.q.key)
	}
	s.w.WriteHeader(http.StatusOK)
}

func (s *streamWriter) restart() {}

func (s *streamWriter) tell(a outcome.Action) {
	if a.Stored != nil {
		s.stored(a)
		return
	}
	if !s.began {
		if a.Problem != nil {
			s.problem(a)
		}
		return
	}
	if a.Problem != nil {
		_ = s.event("error", string(s.problemBody(a)))
	} else {
		_ = s.event("", "[DONE]")
	}
	s.w.Header().Set(contract.HeaderOutcome, string(a.Outcome))
}

// stored gives an answer from the record as a stream of one event.
func (s *streamWriter) stored(a outcome.Action) {
	event, ok := storedEvent(a.Stored)
	if !ok {
		s.problem(unreadable())
		return
	}
	f := contract.Frame{Text: event.Text, FinishReason: event.FinishReason}
	if _, err := s.deliver(f); err != nil {
		return
	}
	s.tell(outcome.Action{Outcome: contract.OutcomeAnswered})
}

func (s *streamWriter) data(c chunk) error {
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return s.event("", string(body))
}

func (s *streamWriter) event(kind, data string) error {
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
	s.flush()
	return nil
}

// wholeWriter gathers a completion and gives it as one JSON object.
type wholeWriter struct {
	*caller
	text         strings.Builder
	tokens       int
	finishReason string
}

func (s *wholeWriter) deliver(f contract.Frame) (bool, error) {
	if s.text.Len()+len(f.Text) > maxGathered {
		return false, errAnswerTooLarge
	}
	s.text.WriteString(f.Text)
	s.tokens += f.Tokens
	s.finishReason = f.FinishReason
	return false, nil
}

func (s *wholeWriter) restart() {
	s.text.Reset()
	s.tokens = 0
	s.finishReason = ""
}

func (s *wholeWriter) tell(a outcome.Action) {
	if a.Problem != nil {
		s.problem(a)
		return
	}
	if a.Stored != nil {
		event, ok := storedEvent(a.Stored)
		if !ok {
			s.problem(unreadable())
			return
		}
		s.restart()
		_, _ = s.deliver(contract.Frame{Text: event.Text, Tokens: event.Tokens, FinishReason: event.FinishReason})
	}
	body, err := json.Marshal(whole{
		ID: s.q.id, Object: "chat.completion", Created: time.Now().Unix(), Model: s.q.model,
		Choices: []wholeChoice{{
			Message:      engine.Message{Role: "assistant", Content: s.text.String()},
			FinishReason: nullableStr(s.finishReason),
		}},
		Usage: usage{CompletionTokens: s.tokens},
	})
	if err != nil {
		s.problem(unreadable())
		return
	}
	s.outcomeHeaders(a)
	s.w.Header().Set("Content-Type", "application/json")
	_ = s.write(body)
}

// storedEvent reads an answer as the home keeps it.
func storedEvent(stored *contract.StoredAnswer) (engine.Event, bool) {
	var event engine.Event
	err := json.Unmarshal(stored.Body, &event)
	return event, err == nil && event.Final
}

// unreadable: the request ran, and its answer is there but can't be shown.
func unreadable() outcome.Action {
	return outcome.Action{Outcome: contract.OutcomeAnswered, Problem: &contract.Problem{
		Code: contract.CodeAnswerNotStored, Status: http.StatusOK, Outcome: contract.OutcomeAnswered,
		Message: "the request ran, and its stored answer can't be read",
	}}
}
