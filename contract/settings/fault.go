package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one thing wrong with declarations: where it stands and what would be right.
type Fault struct {
	// File and Line are set if the node was read from files.
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	Node Path   `json:"node,omitempty"`
	Key  string `json:"key,omitempty"`
	// Problem says what is wrong, Want what would be right.
	Problem  string `json:"problem"`
	Expected string `json:"want,omitempty"`
}

// String is one line: place, node, key, problem, and what would be right.
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

// Faults is the error of a check: every fault that was found, not only the first.
type Faults []Fault

// Error lists the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// err sorts the faults and drops doubles: a bad value near the root shows at each node that inherits it.
// It is nil if there are none, so that an empty Faults never becomes a non-nil error.
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
