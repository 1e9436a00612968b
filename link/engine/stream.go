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

// maxEventBytes limits the size of one event.
const maxEventBytes = 1 << 20

// stream decodes the events of one completion. Next must not be called concurrently; Close may be called
// from any goroutine.
type stream struct {
	body   io.ReadCloser
	cancel context.CancelFunc
	next   func() (sse.Event, error, bool)
	stop   func()
	final  bool // only accessed by Next

	mu      sync.Mutex // guards the fields below; no other lock is acquired while it is held
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
	if !s.beginRead() {
		return event, eris.Wrap(ErrInterrupted, "stream is closed")
	}
	message, err, more := s.next()
	s.endRead()
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

// beginRead marks the start of a read, during which the iterator must not be stopped. It returns false if the
// stream is closed.
func (s *stream) beginRead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reading = !s.closed
	return s.reading
}

// endRead marks the end of a read. If Close was called during the read, it stops the iterator on its behalf.
func (s *stream) endRead() {
	s.mu.Lock()
	s.reading = false
	closed := s.closed
	s.mu.Unlock()
	if closed {
		s.stop()
	}
}

// Close implements Stream. It unblocks a pending Next. The backend server cancels the request when the
// connection closes.
func (s *stream) Close() error {
	s.mu.Lock()
	stopNow := !s.closed && !s.reading
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	err := s.body.Close()
	if stopNow {
		s.stop()
	}
	return err
}
