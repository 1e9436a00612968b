package relay

import (
	"bufio"
	"bytes"
	"io"
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
}

// eventBuffer is the read buffer size in bytes; most events are smaller.
const eventBuffer = 1 << 10

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, eventBuffer)}
}

// next returns the next event, which is valid until the following call. io.EOF marks the end of the stream between two
// events; trailing bytes without a blank line are returned as a partial event.
func (r *eventReader) next() (event, error) {
	r.buffer = r.buffer[:0]
	id := ""
	for {
		line, err := r.reader.ReadSlice('\n')
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
