package pondctl

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/skylarkpond/skylarkpond/contract/admin"
	"github.com/skylarkpond/skylarkpond/contract/settings"
	"github.com/skylarkpond/skylarkpond/timeline"
)

// table writes rows of columns, the first row being the heads.
func table(w io.Writer, rows [][]string) {
	writer := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	_ = writer.Flush()
}

// clock shows a time in Unix milliseconds.
func clock(ms int64) string {
	if ms <= 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format("2006-01-02 15:04:05Z")
}

const shortID = 12

func short(id string) string { return id[:min(len(id), shortID)] }

func number(n uint64) string { return strconv.FormatUint(n, 10) }

func (c *command) explain(ctx context.Context, path settings.Path) error {
	answer, err := get[admin.Explanation](ctx, c.client, admin.ExplainPath, url.Values{"path": {string(path)}})
	if err != nil {
		return err
	}
	return c.print(answer, func(w io.Writer) {
		rows := [][]string{{"KEY", "VALUE", "FROM", "MEANING"}}
		for _, e := range answer.Values {
			rows = append(rows, []string{e.Key, e.Value.String(), cmp.Or(string(e.From), "(default)"), e.Doc})
		}
		table(w, rows)
	})
}

func (c *command) history(ctx context.Context, limit int) error {
	answer, err := get[admin.History](ctx, c.client, admin.HistoryPath, nil)
	if err != nil {
		return err
	}
	answer.Changes = answer.Changes[:min(len(answer.Changes), max(limit, 0))]
	return c.print(answer, func(w io.Writer) {
		rows := [][]string{{"REVISION", "WHEN", "AUTHOR", "CHANGE", "NODES"}}
		for _, applied := range answer.Changes {
			rows = append(rows, []string{
				number(applied.Revision), clock(applied.At), cmp.Or(applied.Author, "-"), short(applied.ID), nodesOf(applied),
			})
		}
		table(w, rows)
	})
}

func nodesOf(applied settings.Applied) string {
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
	return c.print(answer, func(w io.Writer) {
		writeEntries(w, answer.Entries)
		fmt.Fprintln(w)
		writeServices(w, answer.Services)
		if groups {
			fmt.Fprintln(w)
			writeGroups(w, answer.Groups)
		}
	})
}

// writeEntries marks the entries that lag behind the highest version in force.
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
			entry.Name, entry.Place, entry.FailureDomain, entryState(entry), number(entry.SettingsVersion),
			clock(entry.SettingsSince), note,
		})
	}
	table(w, rows)
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
	rows := [][]string{{"SERVICE", "WANTED", "SERVING", "UP TO DATE", "CHANGING"}}
	for _, s := range services {
		rows = append(rows, []string{
			s.Name, strconv.Itoa(s.Wanted), strconv.Itoa(s.Serving), strconv.Itoa(s.Current), strconv.Itoa(s.Changing),
		})
	}
	table(w, rows)
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
	table(w, rows)
}

func (c *command) timeline(ctx context.Context, args *TimelineArgs) error {
	query := url.Values{"limit": {strconv.Itoa(args.Limit)}}
	query.Set("since", strconv.FormatInt(time.Now().Add(-args.Since).UnixNano(), 10))
	for name, value := range map[string]string{"kind": args.Kind, "request": args.Request, "group": args.Group, "entry": args.From} {
		if value != "" {
			query.Set(name, value)
		}
	}
	answer, err := get[admin.Timeline](ctx, c.client, admin.TimelinePath, query)
	if err != nil {
		return err
	}
	if len(answer.Missing) > 0 {
		c.progress("warning: no answer from %s; their events are missing", strings.Join(answer.Missing, ", "))
	}
	return c.print(answer, func(w io.Writer) {
		for _, event := range answer.Events {
			fmt.Fprintln(w, eventLine(event))
		}
	})
}

// eventLine is one event in words: time, process, kind, and the fields that are set.
func eventLine(e timeline.Event) string {
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
