package front

import (
	"net/http"
	"strings"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/outcome"
	"github.com/skylarkpond/skylarkpond/link/framing"
)

// plainBufferSize bounds how much of a plain answer is buffered before it starts to be written to the caller. An
// answer that fits carries its outcome in the header, and can be retried if the backend server fails in the middle
// of it. Booking confirmations are far smaller.
const plainBufferSize = 256 << 10

// plainWriter writes the answer of a plain service.
type plainWriter struct {
	*callerConn
	status   int
	header   http.Header
	buffered []byte
	started  bool
	// endsWithConnection is set if the answer may have been cut off, so that it must not be framed as complete.
	endsWithConnection bool
}

func (s *plainWriter) deliver(f contract.Frame) (bool, error) {
	if f.Kind == contract.FrameHead {
		s.status = f.Status
		s.header = f.Header
		s.endsWithConnection = f.EndsWithConnection
		return false, nil
	}
	if s.started {
		return true, s.write(f.Data)
	}
	s.buffered = append(s.buffered, f.Data...)
	if len(s.buffered) <= plainBufferSize {
		return false, nil
	}
	return true, s.start()
}

// start writes the buffered beginning of an answer that is too long to buffer. Its outcome follows as a trailer, which an answer that ends with
// its connection can't have.
func (s *plainWriter) start() error {
	s.started = true
	s.setAnswerHeaders()
	if !s.endsWithConnection {
		s.w.Header().Set("Trailer", contract.HeaderOutcome)
	}
	s.w.Header().Set(contract.HeaderRequestID, s.request.id)
	s.writeHeader(s.status)
	held := s.buffered
	s.buffered = nil
	return s.write(held)
}

func (s *plainWriter) setAnswerHeaders() {
	header := s.w.Header()
	for name, values := range s.header {
		if !reservedHeader(name) {
			header[name] = values
		}
	}
	if s.endsWithConnection {
		framing.EndWithConnection(header)
	}
}

// reservedHeader reports whether the front itself sets the header, so that it is not copied from a backend
// server's answer.
func reservedHeader(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Content-Length", "Upgrade", contract.HeaderIdempotencyKey:
		return true
	default:
		return strings.HasPrefix(name, "Skylarkpond-")
	}
}

func (s *plainWriter) reset() {
	s.status = 0
	s.header = nil
	s.buffered = nil
	s.endsWithConnection = false
}

func (s *plainWriter) finish(a outcome.Action) {
	if s.started {
		if a.Problem != nil {
			// The status has already been sent, so aborting the response is the only way left to signal that the
			// answer is incomplete.
			framing.Abort(s.w, s.received)
		}
		s.w.Header().Set(contract.HeaderOutcome, string(a.Outcome))
		return
	}
	if a.Problem != nil {
		s.writeProblem(a)
		return
	}
	if a.StoredAnswer != nil {
		s.status = a.StoredAnswer.Status
		s.header = a.StoredAnswer.Header
		s.buffered = a.StoredAnswer.Body
		s.endsWithConnection = a.StoredAnswer.EndsWithConnection
	}
	if s.status == 0 {
		return // no answer was delivered
	}
	s.setAnswerHeaders()
	s.setOutcomeHeaders(a)
	s.writeHeader(s.status)
	_ = s.write(s.buffered)
}
