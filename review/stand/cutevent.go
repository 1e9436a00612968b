package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/skylarkpond/skylarkpond/platform/standin/operator"
)

const (
	// dataLineBytes is the length of the data line of each event, without its line feed.
	dataLineBytes = 1024
	// streamEvents is the number of events of a stream, eventInterval the time before each.
	streamEvents  = 12
	eventInterval = 20 * time.Millisecond
	// cutInside is the event in the middle of which a server crashes: after its data line, before the empty line that ends it.
	cutInside = 5
	streams   = 6
)

// eventLines returns an event without the empty line that ends it.
func eventLines(number int, id string) string {
	data := fmt.Sprintf("data: piece %d of %s ", number, id)
	return fmt.Sprintf("id: %d\n%s\n", number, data+strings.Repeat("x", dataLineBytes-len(data)))
}

// cutEvent lets one of six servers crash in the middle of an event of a stream that may be resumed. The stream that the client gets must have each
// piece once, as an event of its own.
func cutEvent(g *rig, logDir string, trouble bool) error {
	var crashing atomic.Bool
	err := g.addServers(6, func(s *server, conn *net.TCPConn, q received) bool { return g.stream(s, conn, q, &crashing) })
	if err != nil {
		return err
	}
	err = g.deploy(logDir, 2, operator.Route{
		Name: "chat", Host: hostName, PathPrefix: "/chat/", Kind: operator.Streaming, Service: serviceName, Timeout: 5000, LatencyTarget: 200,
		EventGapTarget: 200, MaxAttempts: 2, Resumable: true,
	})
	if err != nil {
		return err
	}
	for i := range streams {
		q := request{method: "POST", path: "/chat/1", id: fmt.Sprint("chat-", i), body: "prompt", deadline: 5 * time.Second}
		crashing.Store(trouble && i == streams/2)
		g.record.line("client sends %s %s (%s)", q.method, q.path, q.id)
		got := send(g.entries[i%len(g.entries)].callers, q)
		g.record.line("client gets %s: %v", q.id, got)
		g.checkStream(q, got)
	}
	return nil
}

// stream answers with a stream. If crashing is set, the server crashes in the middle of an event, and crashing is cleared.
func (g *rig) stream(s *server, conn *net.TCPConn, q received, crashing *atomic.Bool) bool {
	last := 0
	if q.lastEvent != "" {
		if _, err := fmt.Sscan(q.lastEvent, &last); err != nil {
			return false
		}
	}
	crash := crashing.Swap(false)
	g.record.line("%s runs %s, and sends it from event %d on", s.id, q.id, last+1)
	_, _ = io.WriteString(conn, s.head(q)+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for number := last + 1; number <= streamEvents; number++ {
		time.Sleep(eventInterval)
		writeChunk(conn, eventLines(number, q.id))
		if crash && number == cutInside {
			time.Sleep(eventInterval)
			g.record.line("%s crashes: of event %d of %s it has sent all but the empty line that ends the event", s.id, number, q.id)
			_ = s.listener.Close()
			_ = conn.SetLinger(0)
			return false
		}
		writeChunk(conn, "\n")
	}
	_, _ = io.WriteString(conn, "0\r\n\r\n")
	return true
}

func writeChunk(conn net.Conn, text string) { fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text) }

// checkStream checks that a stream which ends as complete has each piece once, as an event of its own.
func (g *rig) checkStream(q request, got answer) {
	if !got.isSuccess() {
		return
	}
	events := strings.SplitAfter(got.body, "\n\n")
	events = events[:len(events)-1]
	for number := 1; number <= max(streamEvents, len(events)); number++ {
		want, have := eventLines(number, q.id)+"\n", ""
		if number <= len(events) {
			have = events[number-1]
		}
		if have == want {
			continue
		}
		var lines []string
		for line := range strings.Lines(have) {
			lines = append(lines, fmt.Sprintf("%.28q", line))
		}
		g.record.line("event %d that the client gets has the lines %s", number, strings.Join(lines, ", "))
		g.record.violation("ORDER: %s: the client has no event that is piece %d alone; %d events, %d expected", q.id, number, len(events), streamEvents)
		return
	}
}
