package timeline

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"slices"

	"github.com/rotisserie/eris"
)

// Filter selects events of a timeline. A zero field matches every event.
type Filter struct {
	// Since (inclusive) and Until (exclusive) bound the time, in Unix nanoseconds.
	Since, Until int64
	Kind         Kind
	Request      string
	VM           string
	Group        string
	// Entry is the process that recorded the event, or an entry that the event is about.
	Entry string
}

// Matches reports whether the event passes the filter.
func (f Filter) Matches(e Event) bool {
	return e.Time >= f.Since && (f.Until == 0 || e.Time < f.Until) &&
		(f.Kind == "" || f.Kind == e.Kind) &&
		(f.Request == "" || f.Request == e.Request) &&
		(f.VM == "" || f.VM == e.VM) &&
		(f.Group == "" || f.Group == e.Group) &&
		(f.Entry == "" || f.Entry == e.Process || f.Entry == e.Entry || f.Entry == e.Peer)
}

// Select returns the events that match the filter, in their original order.
func Select(events []Event, f Filter) []Event {
	var selected []Event
	for _, e := range events {
		if f.Matches(e) {
			selected = append(selected, e)
		}
	}
	return selected
}

// Merge orders the events of several processes by causality: an event sorts after all earlier events of its
// process, and after all events that another process recorded before it sent this process a message. An event
// that occurs more than once, for example from a process and from its file, is returned once.
func Merge(streams ...[]Event) []Event {
	merged := slices.Concat(streams...)
	slices.SortFunc(merged, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Time, b.Time), cmp.Compare(a.Process, b.Process), cmp.Compare(a.Seq, b.Seq))
	})
	return slices.CompactFunc(merged, func(a, b Event) bool {
		return a.Time == b.Time && a.Process == b.Process && a.Seq == b.Seq
	})
}

// maxLine is the longest line that Read accepts, in bytes.
const maxLine = 1 << 20

// Read parses the events that a process wrote as JSON lines. Lines that are not events are skipped and
// counted in torn: a process that is killed may leave its last line incomplete.
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
