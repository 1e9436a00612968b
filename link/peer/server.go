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

// Server serves calls from other entries.
type Server struct {
	trust  Trust
	memory Memory
	mux    *http.ServeMux
	http   *http3.Server
}

// Memory is what the requests of streams are held in. Implementations must be safe for concurrent use.
type Memory interface {
	// ReadBody reads a body of at most limit bytes to its end. length is its announced length, or -1. interrupt is called if the body is given up
	// while it is read, and release must be called once the body is not used any more. An error means that there is no room, the body exceeds the
	// limit, or it broke off.
	ReadBody(ctx context.Context, from io.Reader, length, limit int64, interrupt func()) (body []byte, release func(), err error)
}

// NewServer returns a server that authenticates with id and accepts only peers that trust knows. The requests of streams are held in
// memory; those of calls, which are control messages, are not counted.
func NewServer(id *Identity, trust Trust, memory Memory) *Server {
	mux := http.NewServeMux()
	return &Server{
		trust:  trust,
		memory: memory,
		mux:    mux,
		http: &http3.Server{
			Handler:        mux,
			TLSConfig:      http3.ConfigureTLSConfig(tlsConfig(id, trust)),
			QUICConfig:     quicConfig(), // Allow0RTT stays false
			MaxHeaderBytes: maxHeaderBytes,
		},
	}
}

// shutdownGrace limits how long requests in progress may continue after Serve's context ends. A graceful stop
// waits for them beforehand; this period lets the last bytes of their responses arrive. Closing a connection
// immediately would drop those bytes, and a complete response would appear interrupted.
const shutdownGrace = 2 * time.Second

// Serve serves requests on conn until ctx ends. It then rejects new requests in a way that callers report as
// ErrNotSent, and returns when the requests in progress have ended or shutdownGrace has expired.
func (s *Server) Serve(ctx context.Context, conn net.PacketConn) error {
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		s.shutdown()
	})
	err := s.http.Serve(conn)
	if stop() {
		return eris.Wrap(err, "serving peer connections")
	}
	<-closed
	return nil
}

func (s *Server) shutdown() {
	grace, cancel := context.WithTimeout(context.Background(), shutdownGrace)
	defer cancel()
	_ = s.http.Shutdown(grace)
}

// Handle registers the handler for path and must be called before Serve. The handler receives the name of the
// calling entry; its context ends when the caller disconnects. The caller receives a handler's error as
// ErrRejected with the error's text.
func Handle[Req, Resp any](s *Server, path string, handler func(ctx context.Context, from string, req Req) (Resp, error)) {
	s.handle(path, readControl, func(ctx context.Context, from string, body []byte, writer *itemWriter) error {
		var req Req
		if err := decMode.Unmarshal(body, &req); err != nil {
			return &malformedRequest{err}
		}
		resp, err := handler(ctx, from, req)
		if err != nil {
			return err
		}
		return writer.write(resp)
	})
}

// HandleStream registers the handler for path and must be called before Serve. Each send writes one item of the
// response stream and may block if the caller reads slowly. The caller receives an error before the first item
// as ErrRejected and a later one as ErrInterrupted, which can overtake items sent shortly before it. A handler
// that must report a reason after its first item sends it as the last item and returns nil. Callers of requests for which there is no memory get
// ErrNotSent.
func HandleStream[Req any](s *Server, path string, handler func(ctx context.Context, from string, req Req, send func(v any) error) error) {
	s.handle(path, s.readStreamed, func(ctx context.Context, from string, body []byte, writer *itemWriter) error {
		var req Req
		if err := decMode.Unmarshal(body, &req); err != nil {
			return &malformedRequest{err}
		}
		return handler(ctx, from, req, writer.send)
	})
}

type rawHandler func(ctx context.Context, from string, body []byte, writer *itemWriter) error

// malformedRequest marks an error in the request itself, as opposed to a failure of the handler.
type malformedRequest struct{ error }

// readRequest reads the body of a request. release is called when its handler has returned.
type readRequest func(r *http.Request) (body []byte, release func(), err error)

func readControl(r *http.Request) (body []byte, release func(), err error) {
	body, err = readBody(r.Body)
	return body, func() {}, err
}

// errUnread is the response to a request that was not read whole, so that no handler has run.
var errUnread = eris.New("the request was not read")

func (s *Server) readStreamed(r *http.Request) (body []byte, release func(), err error) {
	body, release, err = s.memory.ReadBody(r.Context(), r.Body, r.ContentLength, MaxMessageBytes, func() { _ = r.Body.Close() })
	if err != nil {
		return nil, release, eris.Wrap(errUnread, err.Error())
	}
	return body, release, nil
}

func (s *Server) handle(path string, read readRequest, handler rawHandler) {
	s.mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		// Checked on every request, because a connection can outlast the trust in its peer.
		from, err := peerName(r.TLS, s.trust)
		if err != nil {
			http.Error(w, err.Error(), http.StatusForbidden)
			return
		}
		body, release, err := read(r)
		defer release()
		if err != nil {
			http.Error(w, err.Error(), statusForUnread(err))
			return
		}
		writer := &itemWriter{response: w}
		finishResponse(r.Context(), writer, handler(r.Context(), from, body, writer))
	})
}

// statusUnread is the status of the response with errUnread.
const statusUnread = http.StatusServiceUnavailable

func statusForUnread(err error) int {
	if errors.Is(err, errUnread) {
		return statusUnread
	}
	return http.StatusBadRequest
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

// finishResponse ends the response so that the caller can distinguish a complete one from a truncated one: the
// stream is closed normally only after a successful handler, and is reset otherwise.
func finishResponse(ctx context.Context, writer *itemWriter, err error) {
	switch {
	case err == nil && ctx.Err() == nil:
		writer.writeHeader()
	case err != nil && !writer.started:
		http.Error(writer.response, err.Error(), statusForError(err))
	default:
		panic(http.ErrAbortHandler)
	}
}

func statusForError(err error) int {
	if _, ok := errors.AsType[*malformedRequest](err); ok {
		return http.StatusBadRequest
	}
	return http.StatusInternalServerError
}

// itemWriter writes the items of a response.
type itemWriter struct {
	response http.ResponseWriter
	started  bool
}

func (w *itemWriter) writeHeader() {
	if w.started {
		return
	}
	w.started = true
	w.response.Header()["Date"] = nil
	w.response.Header()["Content-Type"] = nil
	w.response.WriteHeader(http.StatusOK)
}

func (w *itemWriter) send(v any) error {
	if err := w.write(v); err != nil {
		return err
	}
	return http.NewResponseController(w.response).Flush()
}

func (w *itemWriter) write(v any) error {
	item, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	if len(item) > MaxMessageBytes {
		return ErrTooLarge
	}
	w.writeHeader()
	_, err = w.response.Write(item)
	return err
}
