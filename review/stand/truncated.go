package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"time"

	"github.com/skylarkpond/skylarkpond/platform/standin/operator"
)

const (
	// wholeBytes is the size of an answer.
	wholeBytes = 900 << 10
	// killAfterBytes is how much of the answer the client has read when the entry is killed.
	killAfterBytes = 100 << 10
	// readPause makes the client read 8 KB in 5 ms at most, 13 Mbit/s.
	readPause = 5 * time.Millisecond
	// killRounds is how many requests lose their entry.
	killRounds = 4
)

// truncatedAnswer kills an entry while it sends a client the answer of a server that states neither a length nor chunks. The client must be able to
// tell that the answer is not complete.
func truncatedAnswer(g *rig, logDir string, trouble bool) error {
	whole := strings.Repeat("a", wholeBytes)
	err := g.addServers(2, func(s *server, conn *net.TCPConn, q received) bool {
		n, err := io.WriteString(conn, s.head(q)+"Connection: close\r\n\r\n"+whole)
		g.record.line("%s runs %s, sends its answer of %d bytes in full and closes the connection in order (%d bytes sent, %v)", s.id, q.id, wholeBytes, n, err)
		return false
	})
	if err != nil {
		return err
	}
	err = g.deploy(logDir, 3, operator.Route{
		Name: "look", Host: hostName, PathPrefix: "/look/", Kind: operator.Idempotent, Service: serviceName, Timeout: 5000, LatencyTarget: 150, MaxAttempts: 2,
	})
	if err != nil {
		return err
	}
	for round := range killRounds {
		if err := g.readSlowly(g.entries[round%len(g.entries)], request{method: "GET", path: "/look/1", id: fmt.Sprint("look-", round), deadline: 5 * time.Second}, whole, trouble); err != nil {
			return err
		}
	}
	return nil
}

func (g *rig) readSlowly(e *entry, q request, whole string, trouble bool) error {
	conn, err := slowConn(e.callers)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(q.deadline))
	if _, err := io.WriteString(conn, q.text()); err != nil {
		return err
	}
	g.record.line("client sends %s %s (%s) to %s", q.method, q.path, q.id, e.name)
	killed := false
	got := readAnswer(conn, q, func(n int) {
		if trouble && !killed && n > killAfterBytes {
			killed = true
			e.kill()
			g.record.line("%s is killed; the client has read %d bytes of the answer to %s", e.name, n, q.id)
		}
		time.Sleep(readPause)
	})
	g.record.line("client gets %s: %v", q.id, got)
	if got.isSuccess() && got.body != whole {
		g.record.violation("MIXED: a success for %s whose body of %d bytes isn't the replica's whole body of %d", q.id, len(got.body), len(whole))
	}
	if !killed {
		return nil
	}
	if err := e.start(); err != nil {
		return err
	}
	return await(e.name+" is ready again", 15*time.Second, e.isReady)
}

// slowConn connects as over a network with segments of 1,400 bytes and a small window. Over loopback the kernel would otherwise buffer the whole answer.
func slowConn(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 32<<10)
		})
	}}
	return dialer.Dial("tcp", address)
}
