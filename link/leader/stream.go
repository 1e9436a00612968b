package leader

import (
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

// errQueueFull closes a link whose other side does not read.
var errQueueFull = eris.New("too many messages wait for the link")

// stream sends and receives items on one connection.
type stream struct {
	conn       *quic.Conn
	quicStream *quic.Stream
	queue      chan any
	once       sync.Once
}

func newStream(conn *quic.Conn, quicStream *quic.Stream) *stream {
	s := &stream{conn: conn, quicStream: quicStream, queue: make(chan any, queueSize)}
	go s.writeLoop()
	return s
}

// send queues an item. It never blocks.
func (s *stream) send(item any) {
	select {
	case s.queue <- item:
	case <-s.conn.Context().Done():
	default:
		s.close(errQueueFull.Error())
	}
}

func (s *stream) writeLoop() {
	for {
		select {
		case <-s.conn.Context().Done():
			return
		case item := <-s.queue:
			if !s.writeBatch(item) {
				return
			}
		}
	}
}

// writeBatch writes an item together with those queued behind it, so that they share packets.
func (s *stream) writeBatch(item any) bool {
	var batch []byte
	for more := true; more; {
		encoded, err := encode(item)
		if err != nil {
			s.close(err.Error())
			return false
		}
		batch = append(batch, encoded...)
		select {
		case item = <-s.queue:
		default:
			more = false
		}
	}
	if _, err := s.quicStream.Write(batch); err != nil {
		s.close(err.Error())
		return false
	}
	return true
}

// Shared is a message for several followers that is encoded only once.
type Shared struct {
	Down
	once    sync.Once
	encoded []byte
	err     error
}

// Size returns the number of bytes sent to each follower.
func (s *Shared) Size() int {
	s.encode()
	return len(s.encoded)
}

func (s *Shared) encode() {
	s.once.Do(func() { s.encoded, s.err = encodeDown(s.Down) })
}

func encode(item any) ([]byte, error) {
	switch item := item.(type) {
	case *Shared:
		item.encode()
		return item.encoded, item.err
	case Down:
		return encodeDown(item)
	}
	return cbor.Marshal(item)
}

// decoder returns a decoder for the items of the other side.
func (s *stream) decoder() (*cbor.Decoder, error) {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 12}.DecMode()
	if err != nil {
		return nil, err
	}
	return mode.NewDecoder(io.Reader(s.quicStream)), nil
}

func (s *stream) close(reason string) {
	s.once.Do(func() { _ = s.conn.CloseWithError(0, reason) })
}
