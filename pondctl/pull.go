package pondctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/contract/admin"
	"github.com/skylarkpond/skylarkpond/contract/settings"
)

// Values of pull --take.
const (
	takeTheirs = "theirs"
	takeOurs   = "ours"
)

// Pulled is the result of pull.
type Pulled struct {
	Version uint64          `json:"version"`
	Written []settings.Path `json:"written,omitempty"`
	Removed []settings.Path `json:"removed,omitempty"`
	// Edited lists nodes whose files differ from the settings and were kept. The next apply sends them.
	Edited    []settings.Path  `json:"edited,omitempty"`
	Conflicts []NodeDifference `json:"conflicts,omitempty"`
}

// pull updates the files to the current settings. A node that was edited locally and changed by somebody else is a
// conflict: then nothing is written, unless --take selects a side.
func (c *command) pull(ctx context.Context, args *PullArgs) error {
	if args.Take != "" && args.Take != takeTheirs && args.Take != takeOurs {
		return eris.Wrap(ErrUsage, "--take is theirs or ours")
	}
	declared, err := loadIfPresent(args.Dir)
	if err != nil {
		return err
	}
	locked, err := readLock(args.Dir)
	if err != nil {
		return err
	}
	current, err := get[admin.Settings](ctx, c.client, admin.SettingsPath, nil)
	if err != nil {
		return err
	}
	if current.FromLocalCopy {
		return eris.New("the platform can't be asked, and the entry's own copy may be old: nothing was written; try again later")
	}
	plan := planPull(declared, locked, current, args.Take)
	if len(plan.Conflicts) == 0 {
		if err := plan.execute(args.Dir, locked, current); err != nil {
			return err
		}
	}
	if err := c.printResult(plan, func(w io.Writer) { writePulled(w, plan) }); err != nil {
		return err
	}
	if len(plan.Conflicts) > 0 {
		return eris.Wrapf(ErrConflict, "%d nodes were changed here and by somebody else; no file was changed. --take theirs or --take ours settles it", len(plan.Conflicts))
	}
	return nil
}

// loadIfPresent reads the declarations in a directory. A directory that is missing or has none yields no nodes, so that pull can
// fill it.
func loadIfPresent(dir string) (map[settings.Path]settings.Values, error) {
	if _, err := os.Stat(filepath.Join(dir, settings.RootFile)); errors.Is(err, fs.ErrNotExist) {
		if _, err := os.Stat(filepath.Join(dir, "places")); errors.Is(err, fs.ErrNotExist) {
			return nil, nil
		}
	}
	declared, err := settings.LoadDir(dir)
	if err != nil {
		return nil, err
	}
	return declared.Nodes, nil
}

func planPull(declared map[settings.Path]settings.Values, locked *lockFile, current admin.Settings, take string) *Pulled {
	plan := &Pulled{Version: current.Version}
	all := make(map[settings.Path]bool)
	for path := range declared {
		all[path] = true
	}
	for path := range current.Tree.Nodes {
		all[path] = true
	}
	for path := range locked.Nodes {
		all[path] = true
	}
	for _, path := range sortedPaths(all) {
		plan.planNode(path, declared, locked, current.Tree, take)
	}
	return plan
}

// planNode decides what pull does with a node. A node that is the same in the files and in the settings needs nothing.
func (p *Pulled) planNode(path settings.Path, declared map[settings.Path]settings.Values, locked *lockFile, tree *settings.Tree, take string) {
	ours, inFiles := declared[path]
	theirs, inSettings := tree.Nodes[path]
	base, inLock := locked.Nodes[path]
	if inFiles == inSettings && (!inFiles || ours.Equal(theirs.Values)) {
		return
	}
	edited := inFiles != inLock || (inFiles && locked.edited(path, ours))
	changedByOthers := theirs.Revision != base.Revision
	switch {
	case edited && (!changedByOthers || take == takeOurs):
		p.Edited = append(p.Edited, path)
	case edited && take == "":
		p.Conflicts = append(p.Conflicts, NodeDifference{
			Node: path, Action: "change", Conflict: true, Keys: diffValues(theirs.Values, ours),
		})
	case inSettings:
		p.Written = append(p.Written, path)
	default:
		p.Removed = append(p.Removed, path)
	}
}

// execute writes the files first and the lock file last. An interrupted run leaves nodes that look edited but equal the
// settings; the next pull resolves them.
func (p *Pulled) execute(dir string, locked *lockFile, current admin.Settings) error {
	for _, path := range p.Written {
		name := filepath.Join(dir, path.File())
		old, err := os.ReadFile(name)
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return eris.Wrap(err, "read a declaration")
		}
		data, err := encodeDeclaration(old, current.Tree.Nodes[path].Values)
		if err != nil {
			return err
		}
		if err := replaceFile(name, data); err != nil {
			return err
		}
	}
	for _, path := range p.Removed {
		err := os.Remove(filepath.Join(dir, path.File()))
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return eris.Wrap(err, "remove a declaration")
		}
	}
	locked.Version = current.Version
	locked.Nodes = make(map[settings.Path]lockedNode, len(current.Tree.Nodes))
	for path, node := range current.Tree.Nodes {
		locked.record(path, node)
	}
	return locked.write(dir)
}

func writePulled(w io.Writer, p *Pulled) {
	for _, path := range p.Written {
		fmt.Fprintln(w, "written", path)
	}
	for _, path := range p.Removed {
		fmt.Fprintln(w, "removed", path)
	}
	for _, path := range p.Edited {
		fmt.Fprintln(w, "kept   ", path, "(edited here; apply sends it)")
	}
	for _, node := range p.Conflicts {
		fmt.Fprintln(w, "conflict on", node.Node, "(theirs -> ours)")
		writeKeys(w, node.Keys)
	}
	if len(p.Conflicts) == 0 {
		fmt.Fprintf(w, "at version %d\n", p.Version)
	}
}
