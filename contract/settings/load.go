package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"strings"

	"go.yaml.in/yaml/v3"
)

// MaxFileBytes bounds the size of a declaration file. A typical node takes a few hundred bytes.
const MaxFileBytes = 256 << 10

const expectedFiles = RootFile + ", places/P.yaml, places/P/services/S.yaml or places/P/teams/T.yaml, each name " +
	nodeNameDescription

// Declarations holds the nodes declared by a directory of YAML files, one node per file: root.yaml,
// places/P.yaml, places/P/services/S.yaml and places/P/teams/T.yaml.
type Declarations struct {
	Nodes map[Path]Values

	// lines and files locate each key for faults; line 1 stands for the whole file.
	lines map[Path]map[string]int
	files map[Path]string
}

// LoadDir reads and validates the declarations in dir and its subdirectories. The error is a Faults that
// holds every fault found, or wraps an error of the file system.
func LoadDir(dir string) (*Declarations, error) {
	return LoadFS(os.DirFS(dir), dir)
}

// LoadFS is like LoadDir but reads from any file system. Faults show file names with displayDir prepended.
func LoadFS(fsys fs.FS, displayDir string) (*Declarations, error) {
	l := loader{fsys: fsys, displayDir: displayDir, declared: &Declarations{
		Nodes: make(map[Path]Values), lines: make(map[Path]map[string]int), files: make(map[Path]string),
	}}
	if err := fs.WalkDir(fsys, ".", l.visit); err != nil {
		return nil, fmt.Errorf("read declarations in %s: %w", displayDir, err)
	}
	if len(l.faults) == 0 && len(l.declared.Nodes) == 0 {
		l.faults = Faults{{File: displayDir, Problem: "no declarations here", Expected: RootFile + " and places/P.yaml"}}
	}
	// Checks across nodes are skipped after parse errors: on partially read nodes they would report faults
	// that do not exist.
	if len(l.faults) == 0 {
		l.faults = l.declared.crossCheck()
	}
	if err := l.faults.err(); err != nil {
		return nil, err
	}
	return l.declared, nil
}

// Tree returns the declarations as an initial tree: the one that the first apply would store.
func (d *Declarations) Tree(nonce string) *Tree {
	tree := &Tree{Nonce: nonce, Revision: 1, Nodes: make(map[Path]Node, len(d.Nodes))}
	for path, values := range d.Nodes {
		tree.Nodes[path] = Node{Revision: 1, Values: values}
	}
	return tree
}

// crossCheck runs the checks that span several values or nodes and adds file and line to their faults.
func (d *Declarations) crossCheck() Faults {
	var faults Faults
	if !errors.As(d.Tree("").Check(), &faults) {
		return nil
	}
	for i := range faults {
		faults[i] = d.Locate(faults[i])
	}
	return faults
}

// Locate adds file and line to a fault whose node is declared here. Other faults are returned unchanged.
func (d *Declarations) Locate(fault Fault) Fault {
	file, ok := d.files[fault.Node]
	if !ok {
		return fault
	}
	fault.File = file
	fault.Line = max(d.lines[fault.Node][fault.Key], 1)
	return fault
}

type loader struct {
	fsys       fs.FS
	displayDir string
	declared   *Declarations
	faults     Faults
}

// visit loads a .yaml file. It ignores hidden files and directories and files with other extensions, such
// as the lock file or documentation. A .yml file, or a .yaml file that declares no possible node, is
// reported as a fault, because ignoring it would hide a mistake.
func (l *loader) visit(name string, entry fs.DirEntry, err error) error {
	if err != nil {
		return err
	}
	if name != "." && strings.HasPrefix(entry.Name(), ".") {
		if entry.IsDir() {
			return fs.SkipDir
		}
		return nil
	}
	extension := path.Ext(name)
	if entry.IsDir() || (extension != fileSuffix && extension != ".yml") {
		return nil
	}
	node := pathOfFile(name)
	if extension != fileSuffix || node.Level() == InvalidLevel || node.File() != name {
		l.faults = append(l.faults, Fault{
			File: l.displayPath(name), Line: 1, Problem: "no node has its declaration here", Expected: expectedFiles,
		})
		return nil
	}
	return l.loadFile(name, node)
}

func (l *loader) displayPath(name string) string { return filepath.Join(l.displayDir, name) }

func (l *loader) loadFile(name string, node Path) error {
	file, err := l.fsys.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, MaxFileBytes+1))
	if err != nil {
		return err
	}
	l.declared.files[node] = l.displayPath(name)
	if len(data) > MaxFileBytes {
		l.addFault(node, 1, Fault{Problem: "file too large", Expected: fmt.Sprintf("at most %d bytes", MaxFileBytes)})
		return nil
	}
	l.parse(node, data)
	return nil
}

func (l *loader) addFault(node Path, line int, fault Fault) {
	fault.File = l.declared.files[node]
	fault.Line = line
	fault.Node = node
	l.faults = append(l.faults, fault)
}

// parse decodes one file as a mapping of keys to values. An empty file declares a node without values.
func (l *loader) parse(node Path, data []byte) {
	l.declared.Nodes[node] = make(Values)
	l.declared.lines[node] = make(map[string]int)
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var document yaml.Node
	err := decoder.Decode(&document)
	if errors.Is(err, io.EOF) {
		return
	}
	if err != nil {
		l.addFault(node, 1, Fault{Problem: "not YAML: " + err.Error(), Expected: "lines of the form key: value"})
		return
	}
	if decoder.Decode(new(yaml.Node)) != io.EOF {
		l.addFault(node, 1, Fault{Problem: "more than one document", Expected: "one node a file"})
		return
	}
	if len(document.Content) != 1 {
		return
	}
	l.parseMapping(node, document.Content[0])
}

func (l *loader) parseMapping(node Path, content *yaml.Node) {
	if content.Kind == yaml.ScalarNode && content.Tag == "!!null" {
		return
	}
	if content.Kind != yaml.MappingNode {
		l.addFault(node, content.Line, Fault{Problem: "not a mapping", Expected: "lines of the form key: value"})
		return
	}
	for i := 0; i+1 < len(content.Content); i += 2 {
		l.parseEntry(node, content.Content[i], content.Content[i+1])
	}
}

func (l *loader) parseEntry(node Path, key, item *yaml.Node) {
	name := key.Value
	if key.Kind != yaml.ScalarNode {
		l.addFault(node, key.Line, Fault{Problem: "a key that is not text", Expected: "one of " + keyNamesAt(node.Level())})
		return
	}
	if line, ok := l.declared.lines[node][name]; ok {
		l.addFault(node, key.Line, Fault{
			Key: name, Problem: fmt.Sprintf("set already on line %d", line), Expected: "each key once",
		})
		return
	}
	l.declared.lines[node][name] = key.Line
	if usesAlias(item) {
		l.addFault(node, item.Line, Fault{Key: name, Problem: "YAML aliases are not taken", Expected: "the value itself"})
		return
	}
	var raw any
	if err := item.Decode(&raw); err != nil {
		l.addFault(node, item.Line, Fault{Key: name, Problem: "not YAML: " + err.Error(), Expected: "a value"})
		return
	}
	value, fault := parseValue(node.Level(), name, raw)
	if fault != nil {
		l.addFault(node, item.Line, *fault)
		return
	}
	l.declared.Nodes[node][name] = value
}

func usesAlias(node *yaml.Node) bool {
	if node.Kind == yaml.AliasNode {
		return true
	}
	for _, child := range node.Content {
		if usesAlias(child) {
			return true
		}
	}
	return false
}
