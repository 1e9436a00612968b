// Command stand2 plays the scripts of an independent review: it starts entries as separate processes before stand-ins for the platform's store and
// for backend servers, and judges a rule by what callers see.
//
//	stand2 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 it plays the case without its disruption.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld = iota
	exitBroken
	exitUnable
)

var cases = map[string]func(r *rig, trouble bool) (broken bool){
	"lost-machines":  lostMachines,
	"reclaimed-zone": reclaimedZone,
	"rejecting-head": rejectingHead,
	"torn-entry":     tornEntry,
}

// plainServers is the number of backend servers of the plain service.
const plainServers = 3

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD")
		os.Exit(exitUnable)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(judge func(*rig, bool) bool, record string) (exit int) {
	defer func() {
		if failed := recover(); failed != nil {
			reason, ok := failed.(unable)
			if !ok {
				panic(failed)
			}
			fmt.Fprintln(os.Stderr, "the case couldn't run:", reason)
			exit = exitUnable
		}
	}()
	r := newRig(record, plainServers)
	defer r.close()
	if judge(r, os.Getenv("TROUBLE") != "0") {
		r.note("the rule is broken")
		fmt.Println("broken")
		return exitBroken
	}
	r.note("the rule held")
	fmt.Println("held")
	return exitHeld
}
