package engine

import (
	"io"
	"testing"

	. "github.com/onsi/gomega"
)

// uncancellableBody blocks in Read until released, even after Close.
type uncancellableBody struct{ entered, release chan struct{} }

func (b *uncancellableBody) Read([]byte) (int, error) {
	close(b.entered)
	<-b.release
	return 0, io.ErrClosedPipe
}

func (b *uncancellableBody) Close() error { return nil }

// A caller disconnects while the home waits for the next event. Close must not stop the iterator from a second
// goroutine during a read: it would hang, and so would everything that waits for the home.
func TestCloseDuringRead(t *testing.T) {
	g := NewWithT(t)
	body := &uncancellableBody{entered: make(chan struct{}), release: make(chan struct{})}
	s := newStream(body, func() {})
	ended := make(chan error, 1)
	go func() {
		_, err := s.Next()
		ended <- err
	}()
	<-body.entered
	g.Expect(s.Close()).To(Succeed())
	g.Expect(s.Close()).To(Succeed())
	close(body.release)
	g.Expect(<-ended).To(MatchError(ErrInterrupted))
	_, err := s.Next()
	g.Expect(err).To(MatchError(ErrInterrupted))
}
