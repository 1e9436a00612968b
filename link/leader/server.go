package leader

import (
	"context"
	"net"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/link/peer"
)

// Handler is what a Server tells. Its methods are called for one follower in order, for several at once.
type Handler interface {
	Joined(follower *Follower, hello Hello)
	Received(follower *Follower, message Up)
	Left(follower *Follower)
}

// Server takes the links of followers. It does so also while this entry is not in charge, since a follower may have read the lease
// before this entry knows that it holds it.
type Server struct {
	identity *peer.Identity
	token    string
	handler  Handler
}

// NewServer returns a server that lets in whoever shows token.
func NewServer(identity *peer.Identity, token string, handler Handler) *Server {
	return &Server{identity: identity, token: token, handler: handler}
}

// Follower is one linked entry.
type Follower struct {
	Entry  string
	stream *stream
}

// Send queues a message. It never blocks; a link that can't keep up ends.
func (f *Follower) Send(message Down) { f.stream.send(message) }

// SendShared queues a message that other followers get as well.
func (f *Follower) SendShared(message *Shared) { f.stream.send(message) }

// Close ends the link.
func (f *Follower) Close(reason string) { f.stream.close(reason) }

// anyone lets any certificate pass; the token decides.
type anyone struct{}

// Trusted implements peer.Trust.
func (anyone) Trusted(fingerprint string) (string, bool) { return fingerprint, true }

// Serve takes links at socket until ctx ends.
func (s *Server) Serve(ctx context.Context, socket net.PacketConn) error {
	listener, err := quic.Listen(socket, peer.TLSConfig(s.identity, anyone{}, protocol), config())
	if err != nil {
		return eris.Wrap(err, "listening for followers")
	}
	defer listener.Close()
	for {
		conn, err := listener.Accept(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "accepting followers")
		}
		go s.serve(ctx, conn)
	}
}

func (s *Server) serve(ctx context.Context, conn *quic.Conn) {
	raw, err := conn.AcceptStream(ctx)
	if err != nil {
		_ = conn.CloseWithError(0, "no stream")
		return
	}
	stream := newStream(conn, raw)
	defer stream.close("over")
	decoder, err := stream.decoder()
	if err != nil {
		return
	}
	var first Up
	if decoder.Decode(&first) != nil || first.Hello == nil || first.Hello.Token != s.token {
		return // not one of ours
	}
	follower := &Follower{Entry: first.Hello.Entry, stream: stream}
	s.handler.Joined(follower, *first.Hello)
	defer s.handler.Left(follower)
	for {
		var message Up
		if decoder.Decode(&message) != nil {
			return // the link is over; Left tells
		}
		s.handler.Received(follower, message)
	}
}
