package logline

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"
)

// Line is one parsed log line of a process.
type Line struct {
	Time    time.Time
	Entry   string
	Message string
	// Text is the JSON of the line as it was written.
	Text string

	fields fields
}

// fields are the attributes of a line that Find matches on.
type fields struct {
	Time    time.Time `json:"time"`
	Entry   string    `json:"entry"`
	Message string    `json:"msg"`
	Request string    `json:"request"`
	Model   string    `json:"model"`
	Servers []string  `json:"servers"`
	Service string    `json:"service"`
	Group   string    `json:"group"`
	VM      string    `json:"vm"`
	TookMs  int64     `json:"took_ms"`
}

// maxLine is the longest line that Read accepts, in bytes. The longest lines list the VMs of about forty fabric domains.
const maxLine = 1 << 20

// Read parses the output of one process. Lines that a gateway did not write are skipped.
func Read(from io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var f fields
		if json.Unmarshal([]byte(text[start:]), &f) != nil || f.Message == "" {
			continue // another program's line
		}
		lines = append(lines, Line{Time: f.Time, Entry: f.Entry, Message: f.Message, Text: text[start:], fields: f})
	}
	return lines, scanner.Err()
}

const (
	// lookBack is how long before the arrival of a request its cause of failure may be logged. A lost group member is detected within
	// 0.9 s, a lost head within 4.5 s.
	lookBack = 5 * time.Second
	// lookAhead is how long after the end of a request the lines about the recovery may be logged.
	lookAhead = 5 * time.Second
	// demandWindow is the largest distance in time between the end of a request and a related demand line. Demand is logged once a
	// second.
	demandWindow = time.Second
)

// Find returns the lines that explain how one request ended, ordered by time: its own lines, events of the servers that it was sent to
// and of their groups, limits of servers of its service, the demand for its model, who was the leader, and the state and lost connections of its entry. It returns nothing
// if no line records the end of the request: it was then served, or never arrived.
func Find(lines []Line, request string) []Line {
	i := slices.IndexFunc(lines, func(l Line) bool { return l.Message == RequestEnded && l.fields.Request == request })
	if i < 0 {
		return nil
	}
	end := lines[i]
	began := end.Time.Add(-time.Duration(end.fields.TookMs) * time.Millisecond)
	var found []Line
	for _, line := range lines {
		if line.Time.Before(began.Add(-lookBack)) || line.Time.After(end.Time.Add(lookAhead)) {
			continue
		}
		if line.Text == end.Text || end.explainedBy(line) {
			found = append(found, line)
		}
	}
	slices.SortStableFunc(found, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return found
}

// explainedBy reports whether other, a line of about the same time, may explain the end of the request that l records.
func (l Line) explainedBy(other Line) bool {
	switch other.Message {
	case RequestEnded:
		return false
	case RequestRejected, ServerCrashed:
		return other.fields.Request == l.fields.Request
	case Demand, QueueOrder:
		_, model, _ := strings.Cut(other.fields.Model, "/")
		return l.fields.Model != "" && model == l.fields.Model && other.Time.Sub(l.Time).Abs() <= demandWindow
	case Lease, LeaseRefused, Linked, LinkEnded, Isolation, PlatformLost, PlatformRegained, Started, Leaving, Stopped, ConfigInForce, WorkStalled, WorkGoesOn:
		return other.Entry == l.Entry
	case RequestsHeldBack:
		return true
	case LimitInForce:
		return l.fields.Service != "" && other.fields.Service == l.fields.Service
	}
	if len(l.fields.Servers) == 0 {
		// The request was sent to no server, so any event of a group that serves its model may be the cause.
		return other.fields.Group != "" && (other.fields.Model == "" || other.fields.Model == l.fields.Model)
	}
	return slices.ContainsFunc(l.fields.Servers, other.isAbout)
}

// isAbout reports whether the line concerns a server, or a group whose head is that server.
func (l Line) isAbout(server string) bool {
	return l.fields.VM == server || strings.HasPrefix(l.fields.Group, server+"~")
}
