package leader

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Messages of compressThreshold bytes or more are compressed. When a fabric domain recovers, successive changes are
// nearly the same for some forty VMs, and each of hundreds of followers is sent all of them. Uncompressed, they would
// fill the leader's link: its links to followers would time out, and every follower would start anew.
const (
	compressThreshold = 256
	// maxDecompressedSize limits the size of a message after decompression. The platform's objects are at most 1 MB,
	// and a change set holds several.
	maxDecompressedSize = 16 << 20
)

// errTooLarge reports a message that is larger than any that the leader sends.
var errTooLarge = eris.New("decompressed message is too large")

// encodeDown encodes a message, in compressed form if that is shorter.
func encodeDown(message Down) ([]byte, error) {
	plain, err := cbor.Marshal(message)
	if err != nil || len(plain) < compressThreshold {
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

// compressors are reused: each holds half a megabyte, which would otherwise be allocated for every change.
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

// decompress returns the message contained in a compressed one, or message itself if it is not compressed.
func decompress(message Down) (Down, error) {
	if message.Compressed == nil {
		return message, nil
	}
	reader := flate.NewReader(bytes.NewReader(message.Compressed))
	plain, err := io.ReadAll(io.LimitReader(reader, maxDecompressedSize+1))
	if err != nil {
		return Down{}, eris.Wrap(err, "decompressing a message")
	}
	if len(plain) > maxDecompressedSize {
		return Down{}, errTooLarge
	}
	var inner Down
	if err := cbor.Unmarshal(plain, &inner); err != nil {
		return Down{}, eris.Wrap(err, "decoding a decompressed message")
	}
	return inner, nil
}
