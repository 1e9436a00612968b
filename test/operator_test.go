package test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/contract/admin"
	"github.com/skylarkpond/skylarkpond/contract/settings"
	"github.com/skylarkpond/skylarkpond/examples"
	"github.com/skylarkpond/skylarkpond/pondctl"
)

// The nodes that operators change. The key that they change bears no unit of the system's work, so that a
// spec may set any number.
const (
	rootNode  = settings.Root
	placeNode = settings.Path("/places/local")
	chatNode  = settings.Path("/places/local/services/chat")
	deskNode  = settings.Path("/places/local/services/desk")

	changedKey = "max_concurrency"
)

// operator is somebody with a checkout of the declarations, and pondctl in a process of its own.
type operator struct {
	c       *cluster
	name    string
	dir     string
	entries []*entryProcess
}

// applyResult is what an operator was told of an apply.
type applyResult struct {
	operator string
	node     settings.Path
	value    int
	code     int
	applied  admin.Applied
	out      string
	progress string
}

func (t applyResult) String() string {
	return fmt.Sprintf("%s set %s to %d: exit code %d\n%s%s", t.operator, t.node, t.value, t.code, t.out, t.progress)
}

// desk is what the operators of a cluster have done so far.
type desk struct {
	mu      sync.Mutex // guards what follows
	value   int
	results []applyResult
}

// firstValue is above all values of the declarations: each change of a spec sets a value of its own.
const firstValue = 1000

func (d *desk) nextValue() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.value++
	return firstValue + d.value
}

func (d *desk) note(t applyResult) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.results = append(d.results, t)
}

func (d *desk) all() []applyResult {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]applyResult(nil), d.results...)
}

// operator gives somebody a fresh checkout, who asks the given entries only.
func (c *cluster) operator(name string, entries ...*entryProcess) *operator {
	GinkgoHelper()
	o := &operator{c: c, name: name, dir: GinkgoT().TempDir(), entries: entries}
	code, out, progress := o.run("pull", o.dir)
	Expect(code).To(Equal(pondctl.ExitOK), "%s%s", out, progress)
	return o
}

// colleague has a copy of the checkout, lock file and edits included.
func (o *operator) colleague(name string, entries ...*entryProcess) *operator {
	GinkgoHelper()
	other := &operator{c: o.c, name: name, dir: GinkgoT().TempDir(), entries: entries}
	Expect(os.CopyFS(other.dir, os.DirFS(o.dir))).To(Succeed())
	return other
}

// pondctlTimeout bounds a run of pondctl, whose own waits are shorter.
const pondctlTimeout = 2 * time.Minute

func (o *operator) run(args ...string) (code int, out, progress string) {
	var addresses []string
	for _, e := range o.entries {
		addresses = append(addresses, e.admin)
	}
	cmd := exec.Command(pondctlBinary, args...)
	cmd.Env = append(os.Environ(),
		"POND_ENTRIES="+strings.Join(addresses, ","), "POND_TOKEN="+examples.DevOperatorKey, "POND_AUTHOR="+o.name)
	var stdout, stderr bytes.Buffer
	cmd.Stdout = &stdout
	cmd.Stderr = &stderr
	cmd.WaitDelay = time.Second
	timer := time.AfterFunc(pondctlTimeout, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	if err := cmd.Run(); err != nil && cmd.ProcessState == nil {
		return -1, "", err.Error()
	}
	return cmd.ProcessState.ExitCode(), stdout.String(), stderr.String()
}

var changedLine = regexp.MustCompile(`(?m)^` + changedKey + `:.*\n?`)

// edit gives a node a value that no other edit gives, and returns it.
func (o *operator) edit(node settings.Path) int {
	GinkgoHelper()
	value := o.c.desk.nextValue()
	o.set(node, changedKey, fmt.Sprint(value))
	return value
}

// set changes one key of a node's file.
func (o *operator) set(node settings.Path, key, value string) {
	GinkgoHelper()
	name := filepath.Join(o.dir, node.File())
	data, err := os.ReadFile(name)
	Expect(err).NotTo(HaveOccurred())
	line := regexp.MustCompile(`(?m)^` + key + `:.*\n?`)
	text := line.ReplaceAllString(string(data), "") + key + ": " + value + "\n"
	Expect(os.WriteFile(name, []byte(text), 0o600)).To(Succeed())
}

// value is what the node's file sets.
func (o *operator) value(node settings.Path) int {
	data, _ := os.ReadFile(filepath.Join(o.dir, node.File()))
	value := 0
	_, _ = fmt.Sscanf(changedLine.FindString(string(data)), changedKey+": %d", &value)
	return value
}

// apply applies the checkout, of which node was edited last.
func (o *operator) apply(node settings.Path, flags ...string) applyResult {
	t := applyResult{operator: o.name, node: node, value: o.value(node)}
	t.code, t.out, t.progress = o.run(append([]string{"--json", "apply", o.dir}, flags...)...)
	_ = json.Unmarshal([]byte(t.out), &t.applied)
	o.c.desk.note(t)
	return t
}

// change edits a node and applies it, which must be accepted.
func (o *operator) change(node settings.Path) applyResult {
	GinkgoHelper()
	o.edit(node)
	return expectAccepted(o.apply(node))
}

// expectAccepted expects that the operator was told that the change was taken, now or before.
func expectAccepted(t applyResult) applyResult {
	GinkgoHelper()
	Expect(t.code).To(Equal(pondctl.ExitOK), t.String())
	Expect(t.applied.Status).To(BeElementOf(settings.Accepted, settings.AlreadyApplied), t.String())
	Expect(t.applied.Version).NotTo(BeZero(), t.String())
	return t
}
