// Command stand plays one case of the review: it starts entries as processes, with stand-ins for the store and the servers in this process, brings
// the disruption about and checks the rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu      sync.Mutex // guards file and broken
	file    *os.File
	started time.Time
	broken  int
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// violation records that the rule was broken.
func (r *record) violation(format string, args ...any) {
	r.line("BROKEN: "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken++
}

// maxRunTime bounds a case.
const maxRunTime = 110 * time.Second

// closeEarly ends all processes of the rig and this one if the case takes too long or is called off.
func (g *rig) closeEarly() {
	calledOff := make(chan os.Signal, 1)
	signal.Notify(calledOff, syscall.SIGTERM, os.Interrupt)
	select {
	case <-calledOff:
	case <-time.After(maxRunTime):
	}
	g.record.line("could not run: called off, or it took too long")
	g.close()
	os.Exit(exitNotRun)
}

// scenario is one case. trouble is false if it is to run without the disruption.
type scenario func(g *rig, logDir string, trouble bool) error

var scenarios = map[string]scenario{
	"truncated-answer": truncatedAnswer, "cut-event": cutEvent, "half-closed": halfClosed, "long-requests": longRequests,
	"many-versions": manyVersions,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	r := &record{file: file, started: time.Now()}
	run, known := scenarios[name]
	if !known {
		r.line("no case %s", name)
		return exitNotRun
	}
	logDir, err := os.MkdirTemp("", "review")
	if err != nil {
		r.line("could not run: %v", err)
		return exitNotRun
	}
	defer os.RemoveAll(logDir)
	g, err := newRig(r)
	if err != nil {
		r.line("could not run: %v", err)
		return exitNotRun
	}
	defer g.close()
	go g.closeEarly()
	if err := run(g, logDir, os.Getenv("TROUBLE") != "0"); err != nil {
		r.line("could not run: %v", err)
		if r.broken == 0 {
			return exitNotRun
		}
	}
	if r.broken > 0 {
		r.line("the rule was broken %d times", r.broken)
		return exitBroken
	}
	r.line("the rule held")
	return exitHeld
}
