package front

import (
	"net/http"
	"strings"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/outcome"
)

// plainBufferSize is how much of a plain answer is gathered before its beginning is given to the caller. An
// answer that fits is told with its outcome in the header, and can be tried again when it breaks off;
// booking confirmations are far below it.
const plainBufferSize = 256 << 10

// plainWriter gives the answer of a plain service.
type plainWriter struct {
	*callerConn
	status   int
	header   http.Header
	buffered []byte
	started  bool
}

func (s *plainWriter) deliver(f contract.Frame) (bool, error) {
	if f.Kind == contract.FrameHead {
		s.status = f.Status
		s.header = f.Header
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

// start gives the beginning of an answer that is too long to be held. Its outcome follows as a trailer.
func (s *plainWriter) start() error {
	s.started = true
	s.setAnswerHeaders()
	s.w.Header().Set("Trailer", contract.HeaderOutcome)
	s.w.Header().Set(contract.HeaderRequestID, s.request.id)
	s.w.WriteHeader(s.status)
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
}

// reservedHeader names headers of a backend server's answer that are this front's to set.
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
}

func (s *plainWriter) finish(a outcome.Action) {
	if s.started {
		if a.Problem != nil {
			// The status is out, so the only way left to say that the answer is not whole is to cut it.
			panic(http.ErrAbortHandler)
		}
		s.w.Header().Set(contract.HeaderOutcome, string(a.Outcome))
		return
	}
	if a.Problem != nil {
		s.writeProblem(a)
		return
	}
	if a.Stored != nil {
		s.status = a.Stored.Status
		s.header = a.Stored.Header
		s.buffered = a.Stored.Body
	}
	s.setAnswerHeaders()
	s.setOutcomeHeaders(a)
	s.w.WriteHeader(s.status)
	_ = s.write(s.buffered)
}
