package pondctl

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/url"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/contract/admin"
	"github.com/skylarkpond/skylarkpond/contract/settings"
	"github.com/skylarkpond/skylarkpond/timeline"
)

// writeTable writes rows as aligned columns. The first row holds the column headings.
func writeTable(w io.Writer, rows [][]string) {
	writer := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	_ = writer.Flush()
}

// formatTime formats a time in Unix milliseconds as UTC; "-" if it is not set.
func formatTime(ms int64) string {
	if ms <= 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format("2006-01-02 15:04:05Z")
}

const shortIDLength = 12

func shortenID(id string) string { return id[:min(len(id), shortIDLength)] }

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

func (c *command) explain(ctx context.Context, path settings.Path) error {
	answer, err := get[admin.Explanation](ctx, c.client, admin.ExplainPath, url.Values{"path": {string(path)}})
	if err != nil {
		return err
	}
	return c.printResult(answer, func(w io.Writer) {
		rows := [][]string{{"KEY", "VALUE", "FROM", "MEANING"}}
		for _, e := range answer.Values {
			rows = append(rows, []string{e.Key, e.Value.String(), cmp.Or(string(e.From), "(default)"), e.Doc})
		}
		writeTable(w, rows)
	})
}

func (c *command) history(ctx context.Context, limit int) error {
	answer, err := get[admin.History](ctx, c.client, admin.HistoryPath, nil)
	if err != nil {
		return err
	}
	answer.Changes = answer.Changes[:min(len(answer.Changes), max(limit, 0))]
	return c.printResult(answer, func(w io.Writer) {
		rows := [][]string{{"REVISION", "WHEN", "AUTHOR", "CHANGE", "NODES"}}
		for _, applied := range answer.Changes {
			rows = append(rows, []string{
				formatUint(applied.Revision), formatTime(applied.At), cmp.Or(applied.Author, "-"), shortenID(applied.ID), formatNodes(applied),
			})
		}
		writeTable(w, rows)
	})
}

func formatNodes(applied settings.AppliedChange) string {
	var names []string
	for _, path := range applied.Nodes {
		names = append(names, string(path))
	}
	if more := applied.NodeCount - len(names); more > 0 {
		names = append(names, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(names, " ")
}

func (c *command) status(ctx context.Context, groups bool) error {
	answer, err := get[admin.Status](ctx, c.client, admin.StatusPath, nil)
	if err != nil {
		return err
	}
	return c.printResult(answer, func(w io.Writer) {
		writeEntries(w, answer.Entries)
		fmt.Fprintln(w)
		writeServices(w, answer.Services)
		writeBlockedDomains(w, answer.BlockedActions)
		if groups {
			fmt.Fprintln(w)
			writeGroups(w, answer.Groups)
		}
	})
}

// writeEntries lists the entries and marks those that lag behind the highest settings version in force.
func writeEntries(w io.Writer, entries []admin.EntryStatus) {
	newest := uint64(0)
	for _, entry := range entries {
		newest = max(newest, entry.SettingsVersion)
	}
	rows := [][]string{{"ENTRY", "PLACE", "DOMAIN", "STATE", "SETTINGS", "SINCE", "NOTE"}}
	for _, entry := range entries {
		note := entry.Problem
		if entry.Live && entry.SettingsVersion < newest {
			note = strings.TrimSpace("lags " + note)
		}
		rows = append(rows, []string{
			entry.Name, entry.Place, entry.FailureDomain, entryState(entry), formatUint(entry.SettingsVersion),
			formatTime(entry.SettingsSince), note,
		})
	}
	writeTable(w, rows)
}

func entryState(entry admin.EntryStatus) string {
	switch {
	case !entry.Live:
		return "dead"
	case entry.Leaving:
		return "leaving"
	}
	return "live"
}

func writeServices(w io.Writer, services []admin.ServiceStatus) {
	rows := [][]string{{"SERVICE", "WANTED", "SERVING", "UP TO DATE", "CHANGING", "NOTE"}}
	for _, s := range services {
		rows = append(rows, []string{
			s.Name, strconv.Itoa(s.Wanted), strconv.Itoa(s.Serving), strconv.Itoa(s.UpToDate), strconv.Itoa(s.Changing), s.Note,
		})
	}
	writeTable(w, rows)
}

// writeBlockedDomains lists the fabric domains whose controller is blocked. What blocks a single service is in that
// service's note.
func writeBlockedDomains(w io.Writer, blocked []admin.BlockedAction) {
	for _, action := range blocked {
		if action.Service == "" {
			fmt.Fprintf(w, "fabric domain %s is held up: %s\n", action.FabricDomain, action.Reason)
		}
	}
}

func writeGroups(w io.Writer, groups []admin.GroupStatus) {
	rows := [][]string{{"GROUP", "SERVICE", "FABRIC", "STATE", "WHOLE", "HOME", "VERSION", "MEMBERS", "NOTE"}}
	for _, g := range groups {
		var members []string
		for _, member := range g.Members {
			members = append(members, string(member.VM))
		}
		rows = append(rows, []string{
			string(g.ID), g.Service, g.FabricDomain, string(g.State), strconv.FormatBool(g.Whole), cmp.Or(g.Home, "-"),
			cmp.Or(g.ModelVersion, "-"), strings.Join(members, ","), strings.TrimSpace(g.Reason + " " + g.Problem),
		})
	}
	writeTable(w, rows)
}

func (c *command) timeline(ctx context.Context, args *TimelineArgs) error {
	filter := args.filter(time.Now())
	read := func() (admin.Timeline, error) {
		return get[admin.Timeline](ctx, c.client, admin.TimelinePath, timelineQuery(filter, args.Limit))
	}
	if len(args.Files) > 0 {
		read = func() (admin.Timeline, error) { return c.readFiles(args.Files, filter, args.Limit) }
	}
	answer, err := read()
	if err != nil {
		return err
	}
	if len(answer.Missing) > 0 {
		c.logf("warning: no answer from %s; their events are missing", strings.Join(answer.Missing, ", "))
	}
	return c.printResult(answer, func(w io.Writer) {
		for _, event := range answer.Events {
			fmt.Fprintln(w, formatEvent(event))
		}
	})
}

func (a *TimelineArgs) filter(now time.Time) timeline.Filter {
	f := timeline.Filter{
		Since: now.Add(-a.Since).UnixNano(), Kind: timeline.Kind(a.Kind),
		Request: a.Request, VM: a.VM, Group: a.Group, Entry: a.From,
	}
	if a.Until > 0 {
		f.Until = now.Add(-a.Until).UnixNano()
	}
	return f
}

func timelineQuery(f timeline.Filter, limit int) url.Values {
	values := url.Values{"limit": {strconv.Itoa(limit)}, "since": {strconv.FormatInt(f.Since, 10)}}
	if f.Until > 0 {
		values.Set("until", strconv.FormatInt(f.Until, 10))
	}
	for name, value := range map[string]string{
		"kind": string(f.Kind), "request": f.Request, "vm": f.VM, "group": f.Group, "entry": f.Entry,
	} {
		if value != "" {
			values.Set(name, value)
		}
	}
	return values
}

// readFiles merges timeline files that entries wrote. It calls no entry, so it also works for entries that no longer run.
func (c *command) readFiles(paths []string, f timeline.Filter, limit int) (admin.Timeline, error) {
	var streams [][]timeline.Event
	for _, path := range paths {
		events, skipped, err := readEvents(path)
		if err != nil {
			return admin.Timeline{}, err
		}
		if skipped > 0 {
			c.logf("warning: %d lines of %s are no events and are left out", skipped, path)
		}
		streams = append(streams, events)
	}
	events := timeline.Select(timeline.Merge(streams...), f)
	return admin.Timeline{Events: events[max(0, len(events)-max(0, limit)):]}, nil
}

func readEvents(path string) ([]timeline.Event, int, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, 0, eris.Wrap(err, "--file")
	}
	defer file.Close()
	return timeline.Read(file)
}

// formatEvent formats an event as a line: time, process, kind, and the fields that are set.
func formatEvent(e timeline.Event) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", time.Unix(0, e.Time).UTC().Format("15:04:05.000"), e.Process, e.Kind)
	for _, field := range []struct{ name, value string }{
		{"peer", e.Peer},
		{"service", e.Service},
		{"group", e.Group},
		{"vm", e.VM},
		{"domain", e.Domain},
		{"request", e.Request},
		{"team", e.Team},
	} {
		if field.value != "" {
			fmt.Fprintf(&b, " %s=%s", field.name, field.value)
		}
	}
	if e.Version > 0 {
		fmt.Fprintf(&b, " version=%d", e.Version)
	}
	if e.Millis > 0 {
		fmt.Fprintf(&b, " ms=%d", e.Millis)
	}
	if e.Detail != "" {
		fmt.Fprintf(&b, " %q", e.Detail)
	}
	return b.String()
}
