package pondctl

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/contract/admin"
	"github.com/skylarkpond/skylarkpond/contract/settings"
)

func sortedPaths[V any](nodes map[settings.Path]V) []settings.Path {
	return slices.Sorted(maps.Keys(nodes))
}

// checked is the answer of validate.
type checked struct {
	Nodes  int             `json:"nodes"`
	Faults settings.Faults `json:"faults,omitempty"`
}

func (c *command) validate(dir string) error {
	declared, err := settings.LoadDir(dir)
	faults, _ := err.(settings.Faults)
	if err != nil && faults == nil {
		return eris.Wrap(err, "read the declarations")
	}
	result := checked{Faults: faults}
	if declared != nil {
		result.Nodes = len(declared.Nodes)
	}
	printErr := c.print(result, func(w io.Writer) {
		for _, fault := range faults {
			fmt.Fprintln(w, fault)
		}
		if faults == nil {
			fmt.Fprintf(w, "%d nodes, no faults\n", result.Nodes)
		}
	})
	if faults != nil {
		return eris.Wrapf(ErrRefused, "%d faults", len(faults))
	}
	return printErr
}

// load reads the declarations and their lock.
func load(dir string) (*settings.Declarations, *lock, error) {
	declared, err := settings.LoadDir(dir)
	if err != nil {
		return nil, nil, err
	}
	locked, err := readLock(dir)
	return declared, locked, err
}

func (c *command) apply(ctx context.Context, args *ApplyArgs) error {
	declared, locked, err := load(args.Dir)
	if err != nil {
		return err
	}
	change := locked.change(declared, cmp.Or(args.Author, os.Getenv("USER")))
	answer := admin.Applied{Result: settings.Result{Status: settings.Unchanged}, Version: locked.Version}
	if len(change.Nodes) > 0 {
		c.progress("applying %d nodes as change %s", len(change.Nodes), change.ID[:12])
		if err := c.client.call(ctx, http.MethodPost, admin.ApplyPath, change, &answer); err != nil {
			return eris.Wrap(err, "apply; running it again is safe, a change is taken once")
		}
	}
	for i, fault := range answer.Faults {
		answer.Faults[i] = declared.Locate(fault)
	}
	if err := c.print(answer, func(w io.Writer) { writeApplied(w, answer) }); err != nil {
		return err
	}
	if err := outcome(answer); err != nil {
		return err
	}
	if len(change.Nodes) > 0 {
		c.relock(ctx, args.Dir, locked, change)
	}
	if args.Wait {
		return c.wait(ctx, answer.Version, args.WaitFor)
	}
	return nil
}

func writeApplied(w io.Writer, answer admin.Applied) {
	switch answer.Status {
	case settings.Conflicted:
		for _, conflict := range answer.Conflicts {
			writeConflict(w, conflict)
		}
	case settings.Refused:
		for _, fault := range answer.Faults {
			fmt.Fprintln(w, fault)
		}
	case settings.AlreadyApplied:
		fmt.Fprintf(w, "already applied at revision %d\n", answer.Revision)
		for _, path := range answer.Superseded {
			fmt.Fprintf(w, "  %s was changed again since\n", path)
		}
	case settings.Unchanged:
		fmt.Fprintf(w, "unchanged: the settings say this already, version %d\n", answer.Version)
	default:
		fmt.Fprintf(w, "%s at revision %d, version %d\n", answer.Status, answer.Revision, answer.Version)
	}
}

// outcome turns an answer into the error that gives the exit code.
func outcome(answer admin.Applied) error {
	switch {
	case answer.Status == settings.Conflicted:
		return eris.Wrapf(ErrConflict, "%d nodes were changed by somebody else; nothing was changed. pondctl pull brings their side", len(answer.Conflicts))
	case answer.Status == settings.Refused:
		return eris.Wrapf(ErrRefused, "%d faults; nothing was changed", len(answer.Faults))
	case len(answer.Superseded) > 0:
		return eris.Wrapf(ErrConflict, "this change was accepted before, and %d of its nodes were changed again since; nothing was changed. pondctl pull brings the newer side", len(answer.Superseded))
	}
	return nil
}

// relock notes the revisions that the applied nodes have now. If that fails, the next apply finds the same
// change id and mends it.
func (c *command) relock(ctx context.Context, dir string, locked *lock, change *settings.Change) {
	current, err := get[admin.Settings](ctx, c.client, admin.SettingsPath, nil)
	if err == nil {
		locked.Version = current.Version
		for _, node := range change.Nodes {
			locked.takeApplied(node, current.Tree)
		}
		err = locked.write(dir)
	}
	if err != nil {
		c.progress("warning: accepted, but %s was not brought up to date (%v); run the same command again", LockFile, err)
	}
}

// takeApplied leaves nodes alone that somebody has changed again already.
func (l *lock) takeApplied(node settings.NodeChange, tree *settings.Tree) {
	current, exists := tree.Nodes[node.Node]
	if node.Remove && !exists {
		delete(l.Nodes, node.Node)
	}
	if !node.Remove && exists && current.Values.Equal(node.Values) {
		l.take(node.Node, current)
	}
}
