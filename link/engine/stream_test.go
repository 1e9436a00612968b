package engine

import (
	"io"
	"testing"

	. "github.com/onsi/gomega"
)

// stubbornBody blocks in Read until it is released, also after Close.
type stubbornBody struct{ entered, release chan struct{} }

func (b *stubbornBody) Read([]byte) (int, error) {
	close(b.entered)
	<-b.release
	return 0, io.ErrClosedPipe
}

func (b *stubbornBody) Close() error { return nil }

// A caller leaves while the home waits for the next event. The iterator below the stream must not be
// stopped from a second goroutine during a read: Close would hang, and with it what waits for the home.
func TestCloseDuringARead(t *testing.T) {
	g := NewWithT(t)
	body := &stubbornBody{entered: make(chan struct{}), release: make(chan struct{})}
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
