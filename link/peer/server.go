package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go/http3"
	"github.com/rotisserie/eris"
)

// Server answers calls of other entries.
type Server struct {
	trust Trust
	mux   *http.ServeMux
	http  *http3.Server
}

// NewServer returns a server that shows id to peers and accepts those that trust knows.
func NewServer(id *Identity, trust Trust) *Server {
	mux := http.NewServeMux()
	return &Server{
		trust: trust,
		mux:   mux,
		http: &http3.Server{
			Handler:        mux,
			TLSConfig:      http3.ConfigureTLSConfig(tlsConfig(id, trust)),
			QUICConfig:     quicConfig(), // Allow0RTT stays false
			MaxHeaderBytes: maxHeaderBytes,
		},
	}
}

// shutdownGrace bounds the time for requests in progress after the end of Serve's context. Whoever stops
// gracefully has waited for them before; what remains is that the last bytes of their answers are on the
// way. A connection closed at once would drop them, and a whole answer would look broken off.
const shutdownGrace = 2 * time.Second

// Serve answers on conn until ctx ends. Then it refuses new requests as not taken, and returns after
// those in progress, or shutdownGrace.
func (s *Server) Serve(ctx context.Context, conn net.PacketConn) error {
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		s.shutdown()
	})
	err := s.http.Serve(conn)
	if stop() {
		return eris.Wrap(err, "serving peers")
	}
	<-closed
	return nil
}

func (s *Server) shutdown() {
	grace, cancel := context.WithTimeout(context.Background(), shutdownGrace)
	defer cancel()
	_ = s.http.Shutdown(grace)
}

// Handle registers the handler of path, before Serve. The handler gets the name of the calling entry;
// its context ends when the caller goes. An error becomes the caller's ErrRejected, with its text.
func Handle[Req, Resp any](s *Server, path string, handler func(ctx context.Context, from string, req Req) (Resp, error)) {
	s.handle(path, func(ctx context.Context, from string, body []byte, out *sender) error {
		var req Req
		if err := decMode.Unmarshal(body, &req); err != nil {
			return &malformed{err}
		}
		resp, err := handler(ctx, from, req)
		if err != nil {
			return err
		}
		return out.write(resp)
	})
}

// HandleStream registers the handler of path, before Serve. Each send is one item of the caller's
// stream and may block while the caller reads slowly. An error before the first item becomes the
// caller's ErrRejected, a later one ErrInterrupted, which may overtake items sent shortly before it: a
// handler that has a reason to tell sends it as its last item and returns nil.
func HandleStream[Req any](s *Server, path string, handler func(ctx context.Context, from string, req Req, send func(v any) error) error) {
	s.handle(path, func(ctx context.Context, from string, body []byte, out *sender) error {
		var req Req
		if err := decMode.Unmarshal(body, &req); err != nil {
			return &malformed{err}
		}
		return handler(ctx, from, req, out.send)
	})
}

type rawHandler func(ctx context.Context, from string, body []byte, out *sender) error

// malformed marks an error of the request itself.
type malformed struct{ error }

func (s *Server) handle(path string, handler rawHandler) {
	s.mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		// Asked again at each request: a connection may outlive its peer's place in the trust.
		from, err := peerName(r.TLS, s.trust)
		if err != nil {
			http.Error(w, err.Error(), http.StatusForbidden)
			return
		}
		body, err := readBody(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		out := &sender{w: w}
		finish(r.Context(), out, handler(r.Context(), from, body, out))
	})
}

func readBody(in io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(in, MaxMessageBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > MaxMessageBytes {
		return nil, ErrTooLarge
	}
	return body, nil
}

// finish ends the answer so that the caller can tell a whole one from one that ended early: the stream
// closes only after a handler that ended well, and is reset otherwise.
func finish(ctx context.Context, out *sender, err error) {
	switch {
	case err == nil && ctx.Err() == nil:
		out.start()
	case err != nil && !out.started:
		http.Error(out.w, err.Error(), statusOf(err))
	default:
		panic(http.ErrAbortHandler)
	}
}

func statusOf(err error) int {
	if _, ok := errors.AsType[*malformed](err); ok {
		return http.StatusBadRequest
	}
	return http.StatusInternalServerError
}

// sender writes items of an answer.
type sender struct {
	w       http.ResponseWriter
	started bool
}

func (o *sender) start() {
	if o.started {
		return
	}
	o.started = true
	o.w.Header()["Date"] = nil
	o.w.Header()["Content-Type"] = nil
	o.w.WriteHeader(http.StatusOK)
}

func (o *sender) send(v any) error {
	if err := o.write(v); err != nil {
		return err
	}
	return http.NewResponseController(o.w).Flush()
}

func (o *sender) write(v any) error {
	item, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	if len(item) > MaxMessageBytes {
		return ErrTooLarge
	}
	o.start()
	_, err = o.w.Write(item)
	return err
}
