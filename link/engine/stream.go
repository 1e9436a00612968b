package engine

import (
	"context"
	"encoding/json"
	"io"
	"iter"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/tmaxmax/go-sse"
)

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

// stream reads the events of one completion. Next is called by one goroutine at a time; Close by any.
type stream struct {
	body   io.ReadCloser
	cancel context.CancelFunc
	next   func() (sse.Event, error, bool)
	stop   func()
	final  bool // used by Next only

	mu      sync.Mutex // guards what follows; a leaf lock
	reading bool
	closed  bool
}

func newStream(body io.ReadCloser, cancel context.CancelFunc) *stream {
	events := sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes})
	next, stop := iter.Pull2(iter.Seq2[sse.Event, error](events))
	return &stream{body: body, cancel: cancel, next: next, stop: stop}
}

// Next implements Stream.
func (s *stream) Next() (Event, error) {
	var event Event
	if s.final {
		return event, io.EOF
	}
	if !s.begin() {
		return event, eris.Wrap(ErrInterrupted, "stream is closed")
	}
	message, err, more := s.next()
	s.end()
	switch {
	case err != nil:
		return event, eris.Wrap(ErrInterrupted, err.Error())
	case !more:
		return event, eris.Wrap(ErrInterrupted, "stream ended before its final event")
	}
	if err := json.Unmarshal([]byte(message.Data), &event); err != nil {
		return Event{}, eris.Wrap(ErrInterrupted, err.Error())
	}
	s.final = event.Final
	return event, nil
}

// begin marks a read, during which the iterator must not be stopped.
func (s *stream) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reading = !s.closed
	return s.reading
}

// end stops the iterator in the place of a Close that came during the read.
func (s *stream) end() {
	s.mu.Lock()
	s.reading = false
	closed := s.closed
	s.mu.Unlock()
	if closed {
		s.stop()
	}
}

// Close implements Stream. It ends a Next that waits; the backend server cancels the request when the
// connection closes.
func (s *stream) Close() error {
	s.mu.Lock()
	stops := !s.closed && !s.reading
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	err := s.body.Close()
	if stops {
		s.stop()
	}
	return err
}
