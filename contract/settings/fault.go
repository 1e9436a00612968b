package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one validation error in declarations, a stored tree or a change: where it is, what is wrong and
// what is expected instead.
type Fault struct {
	// File and Line are set if the node was read from a file.
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	Node Path   `json:"node,omitempty"`
	Key  string `json:"key,omitempty"`
	// Problem describes what is wrong, Expected what is accepted instead.
	Problem  string `json:"problem"`
	Expected string `json:"want,omitempty"`
}

// String formats the fault as one line: location, node, key, problem and what is expected instead.
func (f Fault) String() string {
	var b strings.Builder
	if f.File != "" {
		fmt.Fprintf(&b, "%s:%d: ", f.File, f.Line)
	}
	if f.Node != "" {
		fmt.Fprintf(&b, "node %s: ", f.Node)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, "key %s: ", f.Key)
	}
	b.WriteString(f.Problem)
	if f.Expected != "" {
		fmt.Fprintf(&b, "; want %s", f.Expected)
	}
	return b.String()
}

// Faults is the error returned by validation. It holds every fault found, not only the first.
type Faults []Fault

// Error lists the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// err returns the faults as an error, sorted and without duplicates: a bad value near the root is reported
// once by each node that inherits it. It returns nil if there are none, because an empty Faults in an error
// interface would not be nil.
func (f Faults) err() error {
	if len(f) == 0 {
		return nil
	}
	f.sort()
	return slices.Compact(f)
}

func (f Faults) sort() {
	slices.SortStableFunc(f, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Node, b.Node), cmp.Compare(a.Key, b.Key), cmp.Compare(a.Problem, b.Problem))
	})
}
