// Package peer carries calls between entries: HTTP/3 over QUIC, bodies in CBOR, a stream of answers as
// a CBOR sequence, both sides known to each other by the fingerprint of a certificate made at start.
//
// A call is one send: nothing here sends a request a second time unless the first surely never left.
// Session tickets and 0-RTT are off, because early data can be replayed by anybody on the path.
package peer

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/rotisserie/eris"
)

// Errors of a call. Every failure of Call, Stream and Next (but io.EOF) is one of them by errors.Is.
var (
	// ErrNotSent: the request can't have been taken: there was no connection, or the peer refused it
	// before any handler saw it.
	ErrNotSent = eris.New("peer not reached")
	// ErrInterrupted: the request was or may have been taken, and the answer ended early.
	ErrInterrupted = eris.New("peer broke off")
	// ErrRejected: the peer's handler, or the peer's check of the request, answered with an error.
	ErrRejected = eris.New("peer rejected the request")
	// ErrTooLarge: a message is over MaxMessageBytes. A request that is too large is not sent (the error
	// is ErrNotSent as well).
	ErrTooLarge = eris.New("message over the size limit")
	// ErrUntrusted: the peer's certificate is none that Trust knows.
	ErrUntrusted = eris.New("peer certificate not trusted")
)

// MaxMessageBytes bounds one request, one reply, and one item of a stream. It leaves room for a value
// of the platform (a megabyte) and for a long prompt.
const MaxMessageBytes = 8 << 20

// Timeouts of a connection.
const (
	// idleTimeout is how long a connection lives without a packet from the peer. A process that was
	// killed or frozen says nothing; without this a caller would wait on it for its whole deadline.
	idleTimeout = 4 * time.Second
	// keepAlivePeriod makes a live but silent peer answer several times within idleTimeout, so that a
	// request that waits for its first token isn't taken for a dead peer.
	keepAlivePeriod = time.Second
	// handshakeTimeout bounds the silence while dialling.
	handshakeTimeout = 2 * time.Second
	// unusedTimeout closes a connection without a request in progress, since its keep-alives cost
	// control bytes: with 330 entries all of them would cost more than the whole budget.
	unusedTimeout = 5 * time.Second
)

const (
	maxHeaderBytes = 16 << 10
	// maxStreams bounds the requests in progress on one connection.
	maxStreams       = 4096
	streamWindow     = 64 << 10
	maxStreamWindow  = 1 << 20
	connWindow       = 256 << 10
	maxConnWindow    = 8 << 20
	maxUniStreams    = 8
	maxErrorTextSize = 4 << 10
)

// Trust knows the peers. It must be safe for concurrent use.
type Trust interface {
	// Trusted returns the name of the entry whose certificate has the fingerprint (SHA-256, hex).
	Trusted(fingerprint string) (name string, ok bool)
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		KeepAlivePeriod:                keepAlivePeriod,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: connWindow,
		MaxConnectionReceiveWindow:     maxConnWindow,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          maxUniStreams,
	}
}

// notSent and broken keep the cause, so that errors.Is also finds a context's error in it.
func notSent(address string, cause error) error {
	return fmt.Errorf("%w: %s: %w", ErrNotSent, address, cause)
}

func broken(address string, cause error) error {
	return fmt.Errorf("%w: %s: %w", ErrInterrupted, address, cause)
}

// refusedUnseen tells whether err proves that the peer turned the request away before a handler saw
// it: it resets streams so after it began to shut down.
func refusedUnseen(err error) bool {
	reset, ok := errors.AsType[*http3.Error](err)
	return ok && reset.Remote && reset.ErrorCode == http3.ErrCodeRequestRejected
}

// handshakeRefused tells whether err is the peer's TLS alert. In TLS 1.3 a client may send before the
// peer has checked its certificate; a peer that refuses it never decrypts what was sent.
func handshakeRefused(err error) bool {
	failure, ok := errors.AsType[*quic.TransportError](err)
	return ok && failure.Remote && failure.ErrorCode.IsCryptoError()
}

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
