// Package peer implements calls between entries over HTTP/3 and QUIC. Bodies are CBOR, and a streamed response
// is a CBOR sequence. Both sides authenticate by the fingerprint of a certificate generated at process start.
//
// Each call is sent once: a request is sent again only if the first attempt provably sent nothing. Session
// tickets and 0-RTT are disabled because early data can be replayed by anyone on the network path.
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

// Errors of a call. Every failure of Call, Stream and Next except io.EOF matches one of them with errors.Is.
var (
	// ErrNotSent means that no handler can have received the request: there was no connection, or the peer rejected
	// the request before any handler saw it.
	ErrNotSent = eris.New("peer not reached")
	// ErrInterrupted means that the request was or may have been received, and the response ended early.
	ErrInterrupted = eris.New("peer broke off")
	// ErrRejected means that the peer's handler or its request validation returned an error.
	ErrRejected = eris.New("peer rejected the request")
	// ErrTooLarge means that a message exceeds MaxMessageBytes. A request that is too large is not sent, so its
	// error also matches ErrNotSent.
	ErrTooLarge = eris.New("message over the size limit")
	// ErrUntrusted means that Trust doesn't know the peer's certificate.
	ErrUntrusted = eris.New("peer certificate not trusted")
)

// MaxMessageBytes limits one request, one reply and one item of a stream. It leaves room for a platform value
// (1 MiB) and for a long prompt.
const MaxMessageBytes = 8 << 20

// Connection timeouts.
const (
	// idleTimeout closes a connection that has received no packet from the peer. A killed or frozen process sends
	// nothing; without this timeout a caller would wait for it until its own deadline.
	idleTimeout = 4 * time.Second
	// keepAlivePeriod makes a live peer respond several times within idleTimeout, so that a request that waits for
	// its first token is not mistaken for a dead peer.
	keepAlivePeriod = time.Second
	// handshakeTimeout limits the time without a packet from the peer during the handshake.
	handshakeTimeout = 2 * time.Second
	// unusedTimeout closes a connection that has no request in progress, because keep-alives consume control
	// bandwidth: with 330 entries, keeping all connections open would exceed the whole budget.
	unusedTimeout = 5 * time.Second
)

const (
	maxHeaderBytes = 16 << 10
	// maxStreams limits the requests in progress on one connection.
	maxStreams       = 4096
	streamWindow     = 64 << 10
	maxStreamWindow  = 1 << 20
	connWindow       = 256 << 10
	maxConnWindow    = 8 << 20
	maxUniStreams    = 8
	maxErrorTextSize = 4 << 10
)

// Trust maps certificate fingerprints to peers. Implementations must be safe for concurrent use.
type Trust interface {
	// Trusted returns the name of the entry whose certificate has the given fingerprint (SHA-256 in hex).
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

// notSent and interrupted wrap the cause, so that errors.Is also matches a context error in it.
func notSent(address string, cause error) error {
	return fmt.Errorf("%w: %s: %w", ErrNotSent, address, cause)
}

func interrupted(address string, cause error) error {
	return fmt.Errorf("%w: %s: %w", ErrInterrupted, address, cause)
}

// rejectedBeforeHandler reports whether err proves that the peer rejected the request before a handler saw it.
// A server that is shutting down resets streams with this code.
func rejectedBeforeHandler(err error) bool {
	reset, ok := errors.AsType[*http3.Error](err)
	return ok && reset.Remote && reset.ErrorCode == http3.ErrCodeRequestRejected
}

// handshakeRejected reports whether err is a TLS alert from the peer. In TLS 1.3 a client may send data before
// the peer has verified its certificate; a peer that rejects the certificate never decrypts that data.
func handshakeRejected(err error) bool {
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
