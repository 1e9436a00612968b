package relay

import (
	"bufio"
	"bytes"
	"io"

	"github.com/rotisserie/eris"
)

// event is one complete server-sent event, including the blank line that ends it.
type event struct {
	bytes []byte
	// id is empty if the event has none.
	id string
	// partial is set if the stream ended before the blank line.
	partial bool
}

// eventReader splits a stream into complete server-sent events.
type eventReader struct {
	reader *bufio.Reader
	buffer []byte
	held   *holding
}

// eventBuffer is the read buffer size in bytes; most events are smaller.
const eventBuffer = 1 << 10

// newEventReader returns a reader of events that fit into what is held.
func newEventReader(r io.Reader, held *holding) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, eventBuffer), held: held}
}

// errEventTooLarge means that an event is larger than an answer may hold.
var errEventTooLarge = eris.New("an event is too large")

// next returns the next event, which is valid until the following call. io.EOF marks the end of the stream between two
// events; trailing bytes without a blank line are returned as a partial event.
func (r *eventReader) next() (event, error) {
	r.buffer = r.buffer[:0]
	id := ""
	for {
		line, err := r.reader.ReadSlice('\n')
		if !r.held.grow(len(r.buffer) + len(line)) {
			return event{}, errEventTooLarge
		}
		r.buffer = append(r.buffer, line...)
		if err == bufio.ErrBufferFull {
			continue
		}
		if err == io.EOF && len(r.buffer) > 0 {
			return event{bytes: r.buffer, id: id, partial: true}, nil
		}
		if err != nil {
			return event{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return event{bytes: r.buffer, id: id}, nil
		}
		if value, found := bytes.CutPrefix(text, []byte("id:")); found {
			id = string(bytes.TrimSpace(value))
		}
	}
}
