package leader

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"

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
	// queue holds encoded items, and queuedBytes is their size together.
	queue       chan []byte
	queuedBytes atomic.Int64
	once        sync.Once
}

func newStream(conn *quic.Conn, quicStream *quic.Stream) *stream {
	s := &stream{conn: conn, quicStream: quicStream, queue: make(chan []byte, queueSize)}
	go s.writeLoop()
	return s
}

// send encodes an item and queues it. It never blocks. What is queued keeps nothing of the item in memory but its encoded form.
func (s *stream) send(item any) {
	encoded, err := encode(item)
	if err != nil {
		s.close(err.Error())
		return
	}
	if s.queuedBytes.Add(int64(len(encoded))) > maxQueuedBytes {
		s.close(errQueueFull.Error())
		return
	}
	select {
	case s.queue <- encoded:
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
			if !s.write(s.batch(item)) {
				return
			}
		}
	}
}

// batch joins an item with those queued behind it while they are small, so that they share packets.
func (s *stream) batch(item []byte) []byte {
	joined := false
	for len(item) < maxBatchBytes {
		select {
		case next := <-s.queue:
			if !joined {
				item = bytes.Clone(item) // it may be shared with other links
				joined = true
			}
			item = append(item, next...)
		default:
			return item
		}
	}
	return item
}

func (s *stream) write(batch []byte) bool {
	if _, err := s.quicStream.Write(batch); err != nil {
		s.close(err.Error())
		return false
	}
	s.queuedBytes.Add(-int64(len(batch)))
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
