package timeline

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"slices"

	"github.com/rotisserie/eris"
)

// Filter narrows a time line; zero fields don't.
type Filter struct {
	// Since and Until bound the time, Until excluded, in Unix nanoseconds.
	Since, Until int64
	Kind         Kind
	Request      string
	VM           string
	Group        string
	// Entry is the process that wrote the event, or one that the event is about.
	Entry string
}

// Matches reports whether the filter lets the event through.
func (f Filter) Matches(e Event) bool {
	return e.Time >= f.Since && (f.Until == 0 || e.Time < f.Until) &&
		(f.Kind == "" || f.Kind == e.Kind) &&
		(f.Request == "" || f.Request == e.Request) &&
		(f.VM == "" || f.VM == e.VM) &&
		(f.Group == "" || f.Group == e.Group) &&
		(f.Entry == "" || f.Entry == e.Process || f.Entry == e.Entry || f.Entry == e.Peer)
}

// Select returns the events that match, in their order.
func Select(events []Event, f Filter) []Event {
	var selected []Event
	for _, e := range events {
		if f.Matches(e) {
			selected = append(selected, e)
		}
	}
	return selected
}

// Merge puts the events of several processes into one order: an event comes after all that its process
// had recorded, and all that others had recorded before they sent it a message. An event that comes in
// more than once, from a process and from its file, is given once.
func Merge(streams ...[]Event) []Event {
	merged := slices.Concat(streams...)
	slices.SortFunc(merged, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Time, b.Time), cmp.Compare(a.Process, b.Process), cmp.Compare(a.Seq, b.Seq))
	})
	return slices.CompactFunc(merged, func(a, b Event) bool {
		return a.Time == b.Time && a.Process == b.Process && a.Seq == b.Seq
	})
}

// maxLine is the longest line that Read takes.
const maxLine = 1 << 20

// Read reads the events that a process wrote as JSON lines. Lines that are no event are left out and
// counted: a process that was killed leaves its last one torn.
func Read(in io.Reader) (events []Event, torn int, err error) {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		var e Event
		if json.Unmarshal(lines.Bytes(), &e) != nil || e.Kind == "" {
			torn++
			continue
		}
		events = append(events, e)
	}
	return events, torn, eris.Wrap(lines.Err(), "reading events")
}
