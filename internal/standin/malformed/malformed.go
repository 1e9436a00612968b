// Package malformed is a stand-in, for tests, for a server whose answers have a head that no HTTP/1.1 response has.
package malformed

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
)

// Case is a kind of malformed answer.
type Case struct {
	name   string
	answer func(fields, body string) string
}

// Answer returns an answer with some header fields, each with its line end, and a body.
func (c Case) Answer(fields, body string) string { return c.answer(fields, body) }

// String describes the case.
func (c Case) String() string { return c.name }

// status returns a case of a status whose body is itself the text of a success.
func status(code string) Case {
	return Case{"status " + code + " with a success in its body", func(fields, body string) string {
		inner := success("", fields, body)
		return fmt.Sprintf("HTTP/1.1 %s Odd\r\n%sContent-Length: %d\r\n\r\n%s", code, fields, len(inner), inner)
	}}
}

func success(line, fields, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s%sContent-Length: %d\r\n\r\n%s", fields, line, len(body), body)
}

// line returns a case of a success with an odd line in its head.
func line(odd string) Case {
	return Case{fmt.Sprintf("a line %q", odd), func(fields, body string) string { return success(odd, fields, body) }}
}

// Cases returns all cases.
func Cases() []Case {
	cases := []Case{
		line("X Odd: 1\r\n"), line("X-Odd : 1\r\n"), line("X\x01Odd: 1\r\n"), line("X\x7fOdd: 1\r\n"), line("X\tOdd: 1\r\n"), line(": 1\r\n"),
		line("Content-Length : 7\r\n"),
		{"a blank before the colon of the transfer encoding", func(fields, body string) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sTransfer-Encoding : chunked\r\nConnection: close\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", fields, len(body), body)
		}},
		{"a blank before the colon of the only length", func(fields, body string) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length : %d\r\nConnection: close\r\n\r\n%smore", fields, len(body), body)
		}},
	}
	for _, code := range []string{"000", "001", "099", "101", "103", "600", "999"} {
		cases = append(cases, status(code))
	}
	return cases
}

// Server answers each request with a malformed answer, and closes the connection.
type Server struct {
	listener net.Listener
}

// Start starts a server whose answers have the header fields that fields returns for a request, each with its line end, around body.
func Start(c Case, fields func(*http.Request) string, body string) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn, c, fields, body)
		}
	}()
	return &Server{listener: listener}, nil
}

func serve(conn net.Conn, c Case, fields func(*http.Request) string, body string) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	// A connection that is closed while something of the request is unread is reset.
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	_, _ = io.WriteString(conn, c.Answer(fields(request), body)) // the other side may have closed it
}

// Address returns where the server listens, IP:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops listening.
func (s *Server) Close() { _ = s.listener.Close() }
