package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// server is a plain backend server. It serves one request at a time on a connection.
type server struct {
	id       string
	listener net.Listener
	// runs counts the requests that it has begun to work on.
	runs atomic.Int64
	// answer answers a request whose body has been read. It returns false if the connection is to be closed.
	answer func(s *server, conn *net.TCPConn, q received) bool
}

// received is a request that reached a server.
type received struct {
	id        string
	lastEvent string
	bodyBytes int64
}

// addServers starts servers and registers them.
func (g *rig) addServers(n int, answer func(s *server, conn *net.TCPConn, q received) bool) error {
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		s := &server{id: fmt.Sprint("i-desk", len(g.servers)), listener: listener, answer: answer}
		g.servers = append(g.servers, s)
		go s.accept()
		g.api.Write("servers", s.id, map[string]any{
			"service": serviceName, "address": listener.Addr().String(), "zone": "z", "version": "v1", "slots": 26, "state": "ready",
			"coldLeftMs": 0, "sequence": 1,
		})
	}
	return nil
}

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			go s.serve(tcp)
		}
	}
}

func (s *server) serve(conn *net.TCPConn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		n, err := io.Copy(io.Discard, q.Body)
		if err != nil {
			return
		}
		if expected := q.Header.Get("Skylarkpond-Expect-Instance"); expected != s.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nSkylarkpond-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
			continue
		}
		if q.URL.Path == "/v1/report" { // only model servers have one
			fmt.Fprint(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		s.runs.Add(1)
		if !s.answer(s, conn, received{id: q.Header.Get("Skylarkpond-Attempt-Id"), lastEvent: q.Header.Get("Last-Event-Id"), bodyBytes: n}) {
			return
		}
	}
}

// head returns the beginning of a success, without the headers that mark its end.
func (s *server) head(q received) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nSkylarkpond-Attempt-Id: %s\r\nSkylarkpond-Server-Signature: signed.%s\r\n", q.id, s.id)
}
