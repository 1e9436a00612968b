package test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"github.com/skylarkpond/skylarkpond/timeline"
)

// reportOnFailure adds to the report of a failed spec what happened to the bookings of its last try, and which
// entries the others lost meanwhile.
func (s *stage) reportOnFailure() {
	if !CurrentSpecReport().Failed() {
		return
	}
	t := s.trail()
	for _, b := range s.placed {
		AddReportEntry(fmt.Sprintf("booking at %q", b.step), t.describe(b))
	}
	AddReportEntry("states of the entries", describeEvents(t.events[""], timeline.PeerSuspected, timeline.PeerDead,
		timeline.PeerAlive, timeline.ProcessPaused, timeline.GroupNotWhole, timeline.GroupWhole))
}

// describe lists the events, the attempt records and the runs of a booking, and the calls that are held.
func (t trail) describe(b *booked) string {
	var text strings.Builder
	told := "not answered"
	if b.got != nil {
		told = strings.Join(b.words(), ", ")
	}
	fmt.Fprintf(&text, "%s, request %s: %s\n", b.key, b.request, told)
	for _, record := range t.records[b.key] {
		fmt.Fprintf(&text, "record: %s, attempt %d, request %s, holder %s, nonce %s\n",
			record.State, record.Number, record.RequestID, record.Home, record.Nonce)
	}
	for _, run := range t.runs[bodyHash(booking(b.key))] {
		fmt.Fprintf(&text, "run: %s at %s, request %s\n", run.Phase, run.VM, run.RequestID)
	}
	for _, held := range t.held {
		if strings.HasSuffix(held.Name, "/"+b.key) {
			fmt.Fprintf(&text, "held at the platform: %s, after its effect: %t\n", held.Verb, held.After)
		}
	}
	requests := map[string]bool{b.request: true}
	for _, record := range t.records[b.key] {
		requests[record.RequestID] = true
	}
	for _, got := range b.later {
		requests[got.requestID] = true
	}
	var events []timeline.Event
	for request := range requests {
		if request != "" {
			events = append(events, t.events[request]...)
		}
	}
	text.WriteString(describeEvents(events))
	return text.String()
}

// describeEvents lists events in their order, of the given kinds only if any are given.
func describeEvents(events []timeline.Event, kinds ...timeline.Kind) string {
	var text strings.Builder
	for _, event := range timeline.Merge(events) {
		if len(kinds) > 0 && !slices.Contains(kinds, event.Kind) {
			continue
		}
		fmt.Fprintf(&text, "%s %s %s request=%s peer=%s group=%s %s\n", time.Unix(0, event.Time).UTC().Format("15:04:05.000"),
			event.Process, event.Kind, event.Request, event.Peer, event.Group, event.Detail)
	}
	return text.String()
}
