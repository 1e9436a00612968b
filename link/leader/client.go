package leader

import (
	"context"
	"errors"
	"net"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/link/peer"
)

// Link is a follower's side of a link.
type Link struct{ stream *stream }

// pinned trusts one certificate.
type pinned string

// Trusted implements peer.Trust.
func (p pinned) Trusted(fingerprint string) (string, bool) { return "leader", fingerprint == string(p) }

// Dial links to the leader at address, whose certificate has the fingerprint, and sends hello.
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

// Send queues a message. It never blocks; a link that can't keep up ends.
func (l *Link) Send(message Up) { l.stream.send(message) }

// Receive hands each message to handle until the link ends.
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
		unpacked, err := unpack(message)
		if err != nil {
			return err
		}
		handle(unpacked)
	}
}

// IsIdleTimeout says of what Receive returned that the other side has not been heard for longer than a link lives without a packet.
func IsIdleTimeout(err error) bool {
	var idle *quic.IdleTimeoutError
	return errors.As(err, &idle)
}

// Close ends the link.
func (l *Link) Close(reason string) { l.stream.close(reason) }
