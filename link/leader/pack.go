package leader

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Messages are compressed from packFrom bytes on. When a fabric domain comes back, one change after another says nearly the same of some forty
// VMs, and each of hundreds of followers is told: uncompressed, that fills the leader's link, its links time out, and every
// follower starts anew.
const (
	packFrom = 256
	// unpackedMost bounds what a message may grow to. The platform holds no object above 1 MB, and news hold some.
	unpackedMost = 16 << 20
)

// errUnpacked is a message that is larger than any that the leader sends.
var errUnpacked = eris.New("a packed message is too large")

// packed encodes a message, compressed where that makes it shorter.
func packed(message Down) ([]byte, error) {
	plain, err := cbor.Marshal(message)
	if err != nil || len(plain) < packFrom {
		return plain, err
	}
	var buffer bytes.Buffer
	if err := compress(&buffer, plain); err != nil {
		return nil, err
	}
	if buffer.Len() >= len(plain) {
		return plain, nil
	}
	return cbor.Marshal(Down{Compressed: buffer.Bytes()})
}

// compressors are kept, since one holds half a megabyte, which an entry would otherwise allocate for each change.
var compressors sync.Pool

func compress(to io.Writer, plain []byte) error {
	writer, ok := compressors.Get().(*flate.Writer)
	if !ok {
		var err error
		if writer, err = flate.NewWriter(to, flate.BestSpeed); err != nil {
			return err
		}
	}
	defer compressors.Put(writer)
	writer.Reset(to)
	if _, err := writer.Write(plain); err != nil {
		return err
	}
	return writer.Close()
}

// unpack returns the message that lies in a packed one.
func unpack(message Down) (Down, error) {
	if message.Compressed == nil {
		return message, nil
	}
	reader := flate.NewReader(bytes.NewReader(message.Compressed))
	plain, err := io.ReadAll(io.LimitReader(reader, unpackedMost+1))
	if err != nil {
		return Down{}, eris.Wrap(err, "unpacking a message")
	}
	if len(plain) > unpackedMost {
		return Down{}, errUnpacked
	}
	var inner Down
	if err := cbor.Unmarshal(plain, &inner); err != nil {
		return Down{}, eris.Wrap(err, "decoding a packed message")
	}
	return inner, nil
}
