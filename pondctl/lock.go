package pondctl

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/contract/settings"
)

// LockFile is the name of the lock file, which is kept next to the declarations and under version control with them. It
// records the revision of each node on which the declarations are based. Without it, an apply from an old checkout would
// overwrite newer values that somebody else had applied.
const LockFile = "pond.lock.json"

// lockFile is the content of LockFile.
type lockFile struct {
	// Version is the platform version last pulled or applied. It is informational.
	Version uint64                       `json:"version"`
	Nodes   map[settings.Path]lockedNode `json:"nodes"`
}

// lockedNode is the state of a node when it was last pulled or applied.
type lockedNode struct {
	Revision uint64 `json:"revision"`
	// Digest is a hash of the values, by which files edited since then are detected.
	Digest string `json:"digest"`
}

func readLock(dir string) (*lockFile, error) {
	l := &lockFile{Nodes: make(map[settings.Path]lockedNode)}
	data, err := os.ReadFile(filepath.Join(dir, LockFile))
	if errors.Is(err, fs.ErrNotExist) {
		return l, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "read the lock file")
	}
	if err := json.Unmarshal(data, l); err != nil {
		return nil, eris.Wrapf(err, "%s can't be read (after a merge of branches, take either side and run pondctl pull)", LockFile)
	}
	if l.Nodes == nil {
		l.Nodes = make(map[settings.Path]lockedNode)
	}
	return l, nil
}

// write replaces the file atomically, so that an interrupted run leaves the old file intact.
func (l *lockFile) write(dir string) error {
	data, err := json.MarshalIndent(l, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode the lock file")
	}
	return replaceFile(filepath.Join(dir, LockFile), append(data, '\n'))
}

// replaceFile writes a temporary file, syncs it and renames it to name.
func replaceFile(name string, data []byte) error {
	if err := os.MkdirAll(filepath.Dir(name), 0o755); err != nil {
		return eris.Wrap(err, "make the directory")
	}
	temporary, err := os.CreateTemp(filepath.Dir(name), ".pondctl-*")
	if err != nil {
		return eris.Wrap(err, "write a file")
	}
	defer func() { _ = os.Remove(temporary.Name()) }()
	_, err = temporary.Write(data)
	err = errors.Join(err, temporary.Chmod(0o644), temporary.Sync(), temporary.Close())
	if err != nil {
		return eris.Wrap(err, "write a file")
	}
	return eris.Wrap(os.Rename(temporary.Name(), name), "replace a file")
}

func digestValues(values settings.Values) string {
	data, err := json.Marshal(values)
	if err != nil {
		panic("pondctl: checked values can't be encoded: " + err.Error())
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:8])
}

// edited reports whether values differ from those last pulled or applied.
func (l *lockFile) edited(path settings.Path, values settings.Values) bool {
	locked, ok := l.Nodes[path]
	return !ok || locked.Digest != digestValues(values)
}

func (l *lockFile) record(path settings.Path, node settings.Node) {
	l.Nodes[path] = lockedNode{Revision: node.Revision, Digest: digestValues(node.Values)}
}

// change returns the change that apply sends: the nodes that were edited, added or deleted since the lock file was
// written. Untouched nodes are left out, so that an apply from an old checkout does not overwrite what others changed
// meanwhile.
func (l *lockFile) change(declared *settings.Declarations) *settings.Change {
	change := &settings.Change{}
	for _, path := range declared.Tree("").Paths() {
		values := declared.Nodes[path]
		if l.edited(path, values) {
			change.Nodes = append(change.Nodes, settings.NodeChange{Node: path, Base: l.Nodes[path].Revision, Values: values})
		}
	}
	for _, path := range sortedPaths(l.Nodes) {
		if _, ok := declared.Nodes[path]; !ok {
			change.Nodes = append(change.Nodes, settings.NodeChange{Node: path, Base: l.Nodes[path].Revision, Remove: true})
		}
	}
	change.ID = change.Digest()
	return change
}
