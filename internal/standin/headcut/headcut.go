// Package headcut is a stand-in, for tests, for a server whose process ends while it sends the head of an answer.
package headcut

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/skylarkpond/skylarkpond/link/framing"
)

// HeaderCut is the request header that says how many bytes of the answer's head are sent. The head function of a Server may set it.
const HeaderCut = "Test-Cut"

// resetDelay lets the other side read what was sent before a reset discards it.
const resetDelay = time.Millisecond

// Case is a way in which an answer is cut.
type Case struct {
	// Interim makes an interim answer precede the answer.
	Interim bool
	// Framing marks the end of the answer's body, of which nothing is sent.
	Framing framing.Framing
	// Reset ends the connection with a reset, otherwise it is closed in order.
	Reset bool
}

// Cases returns all cases.
func Cases() []Case {
	var cases []Case
	for _, bodyFraming := range []framing.Framing{framing.Length, framing.Chunked, framing.Closed} {
		for _, interim := range []bool{false, true} {
			for _, reset := range []bool{false, true} {
				cases = append(cases, Case{Interim: interim, Framing: bodyFraming, Reset: reset})
			}
		}
	}
	return cases
}

// String describes the case.
func (c Case) String() string {
	text := "framed by " + string(c.Framing)
	if c.Interim {
		text += ", after an interim answer"
	}
	if c.Reset {
		return text + ", reset"
	}
	return text + ", closed in order"
}

// Head returns the head of a success with some header fields, each with its line end.
func (c Case) Head(fields string) string {
	head := ""
	if c.Interim {
		head = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
	}
	head += "HTTP/1.1 200 OK\r\n"
	switch c.Framing {
	case framing.Length:
		head += "Content-Length: 120\r\n"
	case framing.Chunked:
		head += "Transfer-Encoding: chunked\r\n"
	case framing.Closed:
		head += "Connection: close\r\n"
	}
	return head + fields + "\r\n"
}

// CanBeWhole reports whether what is sent is a whole answer as far as the protocol tells: an empty body that ends with its connection.
func (c Case) CanBeWhole(head string, cut int) bool {
	return c.Framing == framing.Closed && !c.Reset && cut == len(head)
}

// Server answers each request with the beginning of a head, and ends the connection.
type Server struct {
	listener net.Listener
	cut      Case
	// begin writes something else in place of the answer if it returns true.
	begin   func(conn net.Conn, request *http.Request) bool
	head    func(*http.Request) string
	answers atomic.Int64
}

// Start starts a server. head returns the whole head of the answer to a request. begin, unless it is nil, may answer in its place, and then
// returns true.
func Start(cut Case, head func(*http.Request) string, begin func(net.Conn, *http.Request) bool) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: listener, cut: cut, head: head, begin: begin}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s, nil
}

// Address returns where the server listens, IP:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Answers returns the number of answers that were cut.
func (s *Server) Answers() int { return int(s.answers.Load()) }

// Close stops listening.
func (s *Server) Close() { _ = s.listener.Close() }

func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	// A connection that is closed while something of the request is unread is reset.
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	if s.begin != nil && s.begin(conn, request) {
		return
	}
	head := s.head(request)
	cut, err := strconv.Atoi(request.Header.Get(HeaderCut))
	if err != nil {
		panic(fmt.Sprintf("%s: %v", HeaderCut, err))
	}
	s.answers.Add(1)
	if _, err := io.WriteString(conn, head[:cut]); err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok && s.cut.Reset {
		time.Sleep(resetDelay)
		_ = tcp.SetLinger(0)
	}
}
