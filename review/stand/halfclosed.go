package main

import (
	"fmt"
	"io"
	"net"
	"time"

	"github.com/skylarkpond/skylarkpond/platform/standin/operator"
)

const (
	// workTime is how long a server works on a request.
	workTime = 30 * time.Millisecond
	// leaveAfter is when a client closes its sending side, counted from when it has sent its request.
	leaveAfter = 10 * time.Millisecond
	bookings   = 20
	// leavers is every how manyth client leaves: a quarter.
	leavers = 4
)

// halfClosed lets some clients close the sending side of their connections before their requests are answered. They read on to the end and must not
// get a success that no server gave.
func halfClosed(g *rig, logDir string, trouble bool) error {
	err := g.addServers(3, func(s *server, conn *net.TCPConn, q received) bool {
		g.record.line("%s runs %s", s.id, q.id)
		time.Sleep(workTime)
		_, err := io.WriteString(conn, s.head(q)+"Content-Length: 6\r\n\r\nbooked")
		return err == nil
	})
	if err != nil {
		return err
	}
	err = g.deploy(logDir, 2, operator.Route{
		Name: "book", Host: hostName, PathPrefix: "/book/", Kind: operator.NonIdempotent, Service: serviceName, Timeout: 1200, LatencyTarget: 150, MaxAttempts: 1,
	})
	if err != nil {
		return err
	}
	for i := range bookings {
		q := request{method: "POST", path: "/book/1", id: fmt.Sprint("book-", i), body: "one lot", deadline: 2500 * time.Millisecond}
		got, err := g.book(g.entries[i%len(g.entries)].callers, q, trouble && i%leavers == 0)
		if err != nil {
			return err
		}
		g.record.line("client gets %s: %v", q.id, got)
		if got.isSuccess() && (got.signature == "" || got.body != "booked") {
			g.record.violation("MIXED: a success for %s without a replica's signature, and with body %q", q.id, got.body)
		}
	}
	return nil
}

func (g *rig) book(address string, q request, leaves bool) (answer, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{}, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(q.deadline))
	if _, err := io.WriteString(conn, q.text()); err != nil {
		return answer{}, err
	}
	g.record.line("client sends %s %s (%s)", q.method, q.path, q.id)
	if tcp, ok := conn.(*net.TCPConn); ok && leaves {
		time.AfterFunc(leaveAfter, func() {
			_ = tcp.CloseWrite()
			g.record.line("client of %s closes its sending side", q.id)
		})
	}
	return readAnswer(conn, q, func(int) {}), nil
}
