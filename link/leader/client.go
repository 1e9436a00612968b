package leader

import (
	"context"
	"errors"
	"net"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/link/peer"
)

// Link is a follower's end of a connection to the leader.
type Link struct{ stream *stream }

// pinned trusts only the certificate with this fingerprint.
type pinned string

// Trusted implements peer.Trust.
func (p pinned) Trusted(fingerprint string) (string, bool) { return "leader", fingerprint == string(p) }

// Dial connects to the leader at address, whose certificate must have the fingerprint, and sends hello. The local
// address is source.
func Dial(ctx context.Context, identity *peer.Identity, source net.IP, address, fingerprint string, hello Hello) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, eris.Wrap(err, "leader's address")
	}
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: source})
	if err != nil {
		return nil, eris.Wrap(err, "socket")
	}
	conn, err := quic.Dial(ctx, socket, to, peer.TLSConfig(identity, pinned(fingerprint), protocol), config())
	if err != nil {
		_ = socket.Close()
		return nil, eris.Wrap(err, "dialling the leader")
	}
	context.AfterFunc(conn.Context(), func() { _ = socket.Close() })
	raw, err := conn.OpenStreamSync(ctx)
	if err != nil {
		_ = conn.CloseWithError(0, "no stream")
		return nil, eris.Wrap(err, "opening a stream")
	}
	link := &Link{stream: newStream(conn, raw)}
	link.Send(Up{Hello: &hello})
	return link, nil
}

// Send queues a message. It never blocks: a link whose queue is full is closed.
func (l *Link) Send(message Up) { l.stream.send(message) }

// Receive calls handle with each message until the link ends, and returns the reason.
func (l *Link) Receive(handle func(Down)) error {
	decoder, err := l.stream.decoder()
	if err != nil {
		return err
	}
	for {
		var message Down
		if err := decoder.Decode(&message); err != nil {
			return eris.Wrap(err, "link to the leader")
		}
		decompressed, err := decompress(message)
		if err != nil {
			return err
		}
		handle(decompressed)
	}
}

// IsIdleTimeout reports whether an error of Receive means that nothing was received from the leader for longer than the
// idle timeout.
func IsIdleTimeout(err error) bool {
	var idle *quic.IdleTimeoutError
	return errors.As(err, &idle)
}

// Close closes the link.
func (l *Link) Close(reason string) { l.stream.close(reason) }
