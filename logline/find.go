package logline

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"
)

// Line is one line of a process's output.
type Line struct {
	Time    time.Time
	Entry   string
	Message string
	// Text is the line as it was written.
	Text string

	fields fields
}

// fields are those that say what a line is about.
type fields struct {
	Time    time.Time `json:"time"`
	Entry   string    `json:"entry"`
	Message string    `json:"msg"`
	Request string    `json:"request"`
	Model   string    `json:"model"`
	Servers []string  `json:"servers"`
	Group   string    `json:"group"`
	VM      string    `json:"vm"`
	TookMs  int64     `json:"took_ms"`
}

// maxLine bounds a line. The longest name the VMs of some forty fabric domains.
const maxLine = 1 << 20

// Read takes in the lines of one process's output. What is no line of a gateway is left out.
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
	// lookBack is how long before a request came a cause may lie: a lost member is noticed within 0.9 s, a lost head within 4.5 s.
	lookBack = 5 * time.Second
	// lookAhead is how long after its end the lines may follow that tell what was done about it.
	lookAhead = 5 * time.Second
	// demandNear is how near in time the load of a model tells of a request; it is written once a second.
	demandNear = time.Second
)

// Find returns the lines that tell of one request, in the order of time: its own, what befell the servers that it was sent to and their
// groups, the load of its model, who was in charge, and what its entry had lost. It returns nothing if no line tells of its end: then
// it was served, or never came.
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

// explainedBy says whether a line of about the same time has to do with the end of a request.
func (l Line) explainedBy(other Line) bool {
	switch other.Message {
	case RequestEnded:
		return false
	case RequestRejected:
		return other.fields.Request == l.fields.Request
	case Demand:
		_, model, _ := strings.Cut(other.fields.Model, "/")
		return l.fields.Model != "" && model == l.fields.Model && other.Time.Sub(l.Time).Abs() <= demandNear
	case Lease, LeaseRefused, Linked, LinkEnded, PlatformLost, PlatformRegained, Started, Leaving, Stopped, ConfigInForce:
		return other.Entry == l.Entry
	case RequestsHeldBack:
		return true
	}
	if len(l.fields.Servers) == 0 {
		// It was sent to none, so whatever happened to a group of its model may be why.
		return other.fields.Group != "" && (other.fields.Model == "" || other.fields.Model == l.fields.Model)
	}
	return slices.ContainsFunc(l.fields.Servers, other.concerns)
}

// concerns says whether a line is about a server, or about a group that it heads.
func (l Line) concerns(server string) bool {
	return l.fields.VM == server || strings.HasPrefix(l.fields.Group, server+"~")
}
