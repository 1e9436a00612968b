package leader

import (
	"context"
	"net"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/link/peer"
)

// Handler handles the events of a Server. Its methods are called in order for one follower, and concurrently for
// several.
type Handler interface {
	Joined(follower *Follower, hello Hello)
	Received(follower *Follower, message Up)
	Left(follower *Follower)
}

// Server accepts the links of followers. It does so even while this entry is not the leader, since a follower may have
// read the lease before this entry knows that it holds it.
type Server struct {
	identity *peer.Identity
	token    string
	handler  Handler
}

// NewServer returns a Server that accepts followers which present the token.
func NewServer(identity *peer.Identity, token string, handler Handler) *Server {
	return &Server{identity: identity, token: token, handler: handler}
}

// Follower is a linked entry.
type Follower struct {
	Entry  string
	stream *stream
}

// Send queues a message. It never blocks: a link whose queue is full is closed.
func (f *Follower) Send(message Down) { f.stream.send(message) }

// SendShared queues a message that is sent to several followers.
func (f *Follower) SendShared(message *Shared) { f.stream.send(message) }

// QueuedBytes returns the size of the messages that wait to be sent.
func (f *Follower) QueuedBytes() int { return int(f.stream.queuedBytes.Load()) }

// Close closes the link.
func (f *Follower) Close(reason string) { f.stream.close(reason) }

// anyCertificate trusts any certificate; followers are authenticated by the token.
type anyCertificate struct{}

// Trusted implements peer.Trust.
func (anyCertificate) Trusted(fingerprint string) (string, bool) { return fingerprint, true }

// Serve accepts links on socket until ctx ends.
func (s *Server) Serve(ctx context.Context, socket net.PacketConn) error {
	listener, err := quic.Listen(socket, peer.TLSConfig(s.identity, anyCertificate{}, protocol), config())
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
		return // not authenticated
	}
	follower := &Follower{Entry: first.Hello.Entry, stream: stream}
	s.handler.Joined(follower, *first.Hello)
	defer s.handler.Left(follower)
	for {
		var message Up
		if decoder.Decode(&message) != nil {
			return // the link has ended, which Left reports
		}
		s.handler.Received(follower, message)
	}
}
