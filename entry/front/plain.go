package front

import (
	"net/http"
	"strings"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/outcome"
)

// plainBuffer is how much of a plain answer is gathered before its beginning is given to the caller. An
// answer that fits is told with its outcome in the header, and can be tried again when it breaks off;
// booking confirmations are far below it.
const plainBuffer = 256 << 10

// plainWriter gives the answer of a plain service.
type plainWriter struct {
	*caller
	status int
	header http.Header
	held   []byte
	began  bool
}

func (s *plainWriter) deliver(f contract.Frame) (bool, error) {
	if f.Kind == contract.FrameHead {
		s.status = f.Status
		s.header = f.Header
		return false, nil
	}
	if s.began {
		return true, s.write(f.Data)
	}
	s.held = append(s.held, f.Data...)
	if len(s.held) <= plainBuffer {
		return false, nil
	}
	return true, s.begin()
}

// begin gives the beginning of an answer that is too long to be held. Its outcome follows as a trailer.
func (s *plainWriter) begin() error {
	s.began = true
	s.answerHeaders()
	s.w.Header().Set("Trailer", contract.HeaderOutcome)
	s.w.Header().Set(contract.HeaderRequestID, s.q.id)
	s.w.WriteHeader(s.status)
	held := s.held
	s.held = nil
	return s.write(held)
}

func (s *plainWriter) answerHeaders() {
	header := s.w.Header()
	for name, values := range s.header {
		if !ownHeader(name) {
			header[name] = values
		}
	}
}

// ownHeader names headers of a backend server's answer that are this front's to set.
func ownHeader(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Content-Length", "Upgrade", contract.HeaderIdempotencyKey:
		return true
	default:
		return strings.HasPrefix(name, "Skylarkpond-")
	}
}

func (s *plainWriter) restart() {
	s.status = 0
	s.header = nil
	s.held = nil
}

func (s *plainWriter) tell(a outcome.Action) {
	if s.began {
		if a.Problem != nil {
			// The status is out, so the only way left to say that the answer is not whole is to cut it.
			panic(http.ErrAbortHandler)
		}
		s.w.Header().Set(contract.HeaderOutcome, string(a.Outcome))
		return
	}
	if a.Problem != nil {
		s.problem(a)
		return
	}
	if a.StoredAnswer != nil {
		s.status = a.StoredAnswer.Status
		s.header = a.StoredAnswer.Header
		s.held = a.StoredAnswer.Body
	}
	s.answerHeaders()
	s.outcomeHeaders(a)
	s.w.WriteHeader(s.status)
	_ = s.write(s.held)
}
