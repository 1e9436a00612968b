package pondctl

import (
	"context"
	"fmt"
	"io"

	"github.com/skylarkpond/skylarkpond/contract/admin"
	"github.com/skylarkpond/skylarkpond/contract/settings"
)

// Difference is the result of diff.
type Difference struct {
	Version uint64           `json:"version"`
	Nodes   []NodeDifference `json:"nodes"`
	// Behind lists nodes that others changed and that were not edited locally. pull updates their files.
	Behind []settings.Path `json:"behind,omitempty"`
}

// NodeDifference describes what apply would do to a node.
type NodeDifference struct {
	Node settings.Path `json:"node"`
	// Action is "add", "change", "remove" or "none" (the settings already are as declared).
	Action string `json:"action"`
	// Conflict reports that somebody else changed the node since it was last pulled or applied. apply would be refused.
	Conflict bool            `json:"conflict,omitempty"`
	Keys     []KeyDifference `json:"keys,omitempty"`
}

// KeyDifference holds both values of a key. A side that does not set the key, so that the node inherits it, is nil.
type KeyDifference struct {
	Key    string          `json:"key"`
	Theirs *settings.Value `json:"theirs"`
	Ours   *settings.Value `json:"ours"`
}

func (c *command) diff(ctx context.Context, args *DiffArgs) error {
	declared, locked, err := loadDeclarations(args.Dir)
	if err != nil {
		return err
	}
	change, err := c.plan(ctx, declared, locked, args.Exact)
	if err != nil {
		return err
	}
	current, err := get[admin.Settings](ctx, c.client, admin.SettingsPath, nil)
	if err != nil {
		return err
	}
	if current.FromLocalCopy {
		c.logf("warning: the platform can't be asked; this is compared with the entry's own copy, which may be old")
	}
	difference := diffSettings(locked, change, current)
	return c.printResult(difference, func(w io.Writer) { writeDifference(w, difference) })
}

func diffSettings(locked *lockFile, change *settings.Change, current admin.Settings) Difference {
	difference := Difference{Version: current.Version}
	touched := make(map[settings.Path]bool)
	for _, node := range change.Nodes {
		touched[node.Node] = true
		difference.Nodes = append(difference.Nodes, diffNode(node, current.Tree))
	}
	for _, path := range current.Tree.Paths() {
		if !touched[path] && locked.edited(path, current.Tree.Nodes[path].Values) {
			difference.Behind = append(difference.Behind, path)
		}
	}
	for _, path := range sortedPaths(locked.Nodes) {
		if _, exists := current.Tree.Nodes[path]; !exists && !touched[path] {
			difference.Behind = append(difference.Behind, path)
		}
	}
	return difference
}

func diffNode(node settings.NodeChange, tree *settings.Tree) NodeDifference {
	theirs, exists := tree.Nodes[node.Node]
	result := NodeDifference{Node: node.Node, Keys: diffValues(theirs.Values, node.Values)}
	switch {
	case node.Remove && exists:
		result.Action = "remove"
	case !node.Remove && !exists:
		result.Action = "add"
	case len(result.Keys) > 0:
		result.Action = "change"
	default:
		result.Action = "none"
	}
	result.Conflict = result.Action != "none" && theirs.Revision != node.Base
	return result
}

func diffValues(theirs, ours settings.Values) []KeyDifference {
	var keys []KeyDifference
	for _, key := range settings.Keys() {
		their, inTheirs := theirs[key.Name]
		our, inOurs := ours[key.Name]
		if inTheirs == inOurs && (!inOurs || their.Equal(our)) {
			continue
		}
		difference := KeyDifference{Key: key.Name}
		if inTheirs {
			difference.Theirs = &their
		}
		if inOurs {
			difference.Ours = &our
		}
		keys = append(keys, difference)
	}
	return keys
}

var actionSigns = map[string]string{"add": "+", "change": "~", "remove": "-", "none": "="}

func writeDifference(w io.Writer, difference Difference) {
	if len(difference.Nodes) == 0 {
		fmt.Fprintln(w, "nothing to apply")
	}
	for _, node := range difference.Nodes {
		fmt.Fprintf(w, "%s %s", actionSigns[node.Action], node.Node)
		if node.Conflict {
			fmt.Fprint(w, "  (conflict: somebody else changed it since it was pulled)")
		}
		fmt.Fprintln(w)
		writeKeys(w, node.Keys)
	}
	for _, path := range difference.Behind {
		fmt.Fprintf(w, "< %s was changed by somebody else; pondctl pull brings it\n", path)
	}
}

func writeKeys(w io.Writer, keys []KeyDifference) {
	for _, key := range keys {
		fmt.Fprintf(w, "    %s: %s -> %s\n", key.Key, formatSide(key.Theirs), formatSide(key.Ours))
	}
}

func formatSide(value *settings.Value) string {
	if value == nil {
		return "(inherited)"
	}
	return value.String()
}

// writeConflict prints both sides of a node that somebody else changed.
func writeConflict(w io.Writer, conflict settings.Conflict) {
	fmt.Fprintf(w, "conflict on %s: based on revision %d", conflict.Node, conflict.Base)
	var theirs, ours settings.Values
	if conflict.Theirs == nil {
		fmt.Fprintln(w, ", and removed meanwhile")
	} else {
		theirs = conflict.Theirs.Values
		fmt.Fprintf(w, ", now at revision %d%s\n", conflict.Theirs.Revision, formatOrigin(conflict.By))
	}
	if conflict.Ours == nil {
		fmt.Fprintln(w, "    this change removes it")
	} else {
		ours = *conflict.Ours
	}
	keys := diffValues(theirs, ours)
	for _, key := range keys {
		fmt.Fprintf(w, "    %s: theirs %s, ours %s\n", key.Key, formatSide(key.Theirs), formatSide(key.Ours))
	}
}

func formatOrigin(applied *settings.AppliedChange) string {
	if applied == nil {
		return ""
	}
	text := " by change " + shortenID(applied.ID)
	if applied.Author != "" {
		text += " of " + applied.Author
	}
	return text + " at " + formatTime(applied.At)
}
