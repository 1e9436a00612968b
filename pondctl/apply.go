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

// validation is the result of validate.
type validation struct {
	Nodes  int             `json:"nodes"`
	Faults settings.Faults `json:"faults,omitempty"`
}

func (c *command) validate(dir string) error {
	declared, err := settings.LoadDir(dir)
	faults, _ := err.(settings.Faults)
	if err != nil && faults == nil {
		return eris.Wrap(err, "read the declarations")
	}
	result := validation{Faults: faults}
	if declared != nil {
		result.Nodes = len(declared.Nodes)
	}
	printErr := c.printResult(result, func(w io.Writer) {
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

// loadDeclarations reads the declarations in a directory and their lock file.
func loadDeclarations(dir string) (*settings.Declarations, *lockFile, error) {
	declared, err := settings.LoadDir(dir)
	if err != nil {
		return nil, nil, err
	}
	locked, err := readLock(dir)
	return declared, locked, err
}

func (c *command) apply(ctx context.Context, args *ApplyArgs) error {
	declared, locked, err := loadDeclarations(args.Dir)
	if err != nil {
		return err
	}
	change, err := c.plan(ctx, declared, locked, args.Exact)
	if err != nil {
		return err
	}
	if len(change.Nodes) == 0 {
		return c.nothingToApply(ctx, args, declared, locked)
	}
	change.Author = cmp.Or(args.Author, os.Getenv("USER"))
	answer, err := c.send(ctx, change)
	if err != nil {
		return err
	}
	for i, fault := range answer.Faults {
		answer.Faults[i] = declared.Locate(fault)
	}
	if err := c.printResult(answer, func(w io.Writer) { writeApplied(w, answer) }); err != nil {
		return err
	}
	if err := applyError(answer); err != nil {
		return err
	}
	c.updateLock(ctx, args.Dir, locked, declared)
	return c.waitIfAsked(ctx, args, answer.Version)
}

// plan returns the change from the state in the lock file to the declarations or, if exact, from the current settings.
func (c *command) plan(ctx context.Context, declared *settings.Declarations, locked *lockFile, exact bool) (*settings.Change, error) {
	if !exact {
		return locked.change(declared), nil
	}
	current, err := get[admin.Settings](ctx, c.client, admin.SettingsPath, nil)
	if err != nil {
		return nil, err
	}
	now := &lockFile{Nodes: make(map[settings.Path]lockedNode)}
	for path, node := range current.Tree.Nodes {
		now.record(path, node)
	}
	return now.change(declared), nil
}

func (c *command) send(ctx context.Context, change *settings.Change) (admin.Applied, error) {
	c.logf("applying %d nodes as change %s", len(change.Nodes), shortenID(change.ID))
	var answer admin.Applied
	err := c.client.call(ctx, http.MethodPost, admin.ApplyPath, change, &answer)
	return answer, eris.Wrap(err, "apply; running it again is safe, a change is taken once")
}

func (c *command) waitIfAsked(ctx context.Context, args *ApplyArgs, version uint64) error {
	if !args.Wait {
		return nil
	}
	return c.wait(ctx, version, args.WaitFor)
}

// nothingToApply handles an apply without edited files. The settings may still differ from the declarations: in an
// old checkout, or after a revert that also reverted the lock file. Reporting "unchanged" would then let an operator
// believe that the revert is in force, so this is a conflict unless --exact is given.
func (c *command) nothingToApply(ctx context.Context, args *ApplyArgs, declared *settings.Declarations, locked *lockFile) error {
	current, err := get[admin.Settings](ctx, c.client, admin.SettingsPath, nil)
	if err != nil {
		return err
	}
	difference := diffSettings(locked, &settings.Change{}, current)
	if len(difference.Behind) > 0 && !args.Exact {
		if err := c.printResult(difference, func(w io.Writer) { writeDifference(w, difference) }); err != nil {
			return err
		}
		return eris.Wrapf(ErrConflict, "no file was edited since the last pull, and %d nodes were changed by others since; nothing was changed. "+
			"pondctl pull brings their side, pondctl apply --exact puts this directory's state in force", len(difference.Behind))
	}
	answer := admin.Applied{Result: settings.Result{Status: settings.Unchanged, Revision: current.Tree.Revision}, Version: current.Version}
	if err := c.printResult(answer, func(w io.Writer) { writeApplied(w, answer) }); err != nil {
		return err
	}
	c.updateLock(ctx, args.Dir, locked, declared)
	return c.waitIfAsked(ctx, args, answer.Version)
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

// applyError returns the error for the result of an apply, which determines the exit code; nil if it succeeded.
func applyError(answer admin.Applied) error {
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

// updateLock writes the current revisions of the declared nodes to the lock file. If that fails, the next apply
// sends the same change ID, is told that the change is already applied, and updates the lock file.
func (c *command) updateLock(ctx context.Context, dir string, locked *lockFile, declared *settings.Declarations) {
	current, err := get[admin.Settings](ctx, c.client, admin.SettingsPath, nil)
	if err == nil {
		locked.Version = current.Version
		locked.recordEqual(declared, current.Tree)
		err = locked.write(dir)
	}
	if err != nil {
		c.logf("warning: accepted, but %s was not brought up to date (%v); run the same command again", LockFile, err)
	}
}

// recordEqual records the revisions of the nodes whose values are as declared, and drops nodes that neither side has.
// Other nodes are left alone: somebody else has changed them, and with their revision as the base the next apply would
// overwrite that change without reporting a conflict.
func (l *lockFile) recordEqual(declared *settings.Declarations, tree *settings.Tree) {
	for path, values := range declared.Nodes {
		if current, exists := tree.Nodes[path]; exists && current.Values.Equal(values) {
			l.record(path, current)
		}
	}
	for path := range l.Nodes {
		_, inFiles := declared.Nodes[path]
		if _, inSettings := tree.Nodes[path]; !inFiles && !inSettings {
			delete(l.Nodes, path)
		}
	}
}
