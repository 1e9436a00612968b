// Package pondctl implements the operators' command line. It compares declarations in a directory under version control with
// the settings in force, and changes the settings through the admin address of any entry.
//
// Results are written to standard output, progress and errors to standard error. With --json a result is a single JSON value.
// The exit code reports the outcome of a command.
package pondctl

import "time"

// Exit codes.
const (
	ExitOK         = 0
	ExitFailure    = 1
	ExitUsage      = 2
	ExitConflict   = 3
	ExitRefused    = 4
	ExitNotInForce = 5
	ExitWarnings   = 6
	ExitUnusable   = 7
)

// Args defines the command line. Each flag can also be set by an environment variable.
type Args struct {
	Validate   *DirArgs        `arg:"subcommand:validate" help:"check declarations without asking any entry"`
	Diff       *DiffArgs       `arg:"subcommand:diff" help:"show what apply would change"`
	Apply      *ApplyArgs      `arg:"subcommand:apply" help:"make declarations the settings"`
	Pull       *PullArgs       `arg:"subcommand:pull" help:"bring declarations up to the settings"`
	Explain    *ExplainArgs    `arg:"subcommand:explain" help:"show each value in force at a node and the node it comes from"`
	History    *HistoryArgs    `arg:"subcommand:history" help:"list accepted changes, latest first"`
	Status     *StatusArgs     `arg:"subcommand:status" help:"show entries, the settings in force on each, services and groups"`
	Timeline   *TimelineArgs   `arg:"subcommand:timeline" help:"show events over all entries"`
	Trace      *TraceArgs      `arg:"subcommand:trace" help:"show what led to the end of one request, from the output of gateways"`
	Compare    *CompareArgs    `arg:"subcommand:compare" help:"say whether one version plays better than another, from the figures of their plays"`
	Quarantine *QuarantineArgs `arg:"subcommand:quarantine" help:"list requests that crashed backend servers, or lift one"`
	HashKey    *HashKeyArgs    `arg:"subcommand:hash-key" help:"print the hash of a key, as declarations hold it"`

	CheckConfig *CheckConfigArgs `arg:"subcommand:check-config" help:"check a configuration of the platform before it is sent, without asking anything"`

	Entries string        `arg:"--entries,env:POND_ENTRIES" placeholder:"ADDRESSES" help:"admin addresses of entries, IP:port, separated by commas; the first that answers is used"`
	Token   string        `arg:"--token,env:POND_TOKEN" help:"operator's token; better given by the environment variable, which other users of the machine don't see"`
	JSON    bool          `arg:"--json,env:POND_JSON" help:"print results as JSON"`
	Timeout time.Duration `arg:"--timeout,env:POND_TIMEOUT" default:"20s" help:"longest wait for the answer of one entry"`
}

// DirArgs holds the directory of declarations.
type DirArgs struct {
	Dir string `arg:"positional,env:POND_DIR" default:"." help:"directory of declarations"`
}

// DiffArgs holds the arguments of diff.
type DiffArgs struct {
	DirArgs
	Exact bool `arg:"--exact,env:POND_EXACT" help:"show what apply --exact would change"`
}

// ApplyArgs holds the arguments of apply.
type ApplyArgs struct {
	DirArgs
	Exact   bool          `arg:"--exact,env:POND_EXACT" help:"make the settings just what the directory says, also where others changed them since the last pull: for going back to an older state"`
	Wait    bool          `arg:"--wait,env:POND_WAIT" help:"wait until the change is in force on every live entry"`
	WaitFor time.Duration `arg:"--wait-for,env:POND_WAIT_FOR" default:"60s" help:"longest wait of --wait; exit code 5 when it is over"`
	Author  string        `arg:"--author,env:POND_AUTHOR" help:"who applies, for the history [default: $USER]"`
}

// PullArgs holds the arguments of pull.
type PullArgs struct {
	DirArgs
	Take string `arg:"--take,env:POND_TAKE" placeholder:"SIDE" help:"for nodes changed on both sides: theirs replaces the file, ours keeps it and lets the next apply win"`
}

// ExplainArgs holds the arguments of explain.
type ExplainArgs struct {
	Path string `arg:"positional,required,env:POND_PATH" help:"path of a node, such as /places/pampa/services/asistente"`
}

// HistoryArgs holds the arguments of history.
type HistoryArgs struct {
	Limit int `arg:"--limit,env:POND_LIMIT" default:"20" help:"how many changes"`
}

// StatusArgs holds the arguments of status.
type StatusArgs struct {
	Groups bool `arg:"--groups,env:POND_GROUPS" help:"list each group too"`
}

// TimelineArgs holds the arguments of timeline.
type TimelineArgs struct {
	Since   time.Duration `arg:"--since,env:POND_SINCE" default:"10m" help:"how far back"`
	Kind    string        `arg:"--kind,env:POND_KIND" help:"only events of this kind, such as settings-in-force"`
	Request string        `arg:"--request,env:POND_REQUEST" help:"only events of this request id"`
	Group   string        `arg:"--group,env:POND_GROUP" help:"only events of this group"`
	VM      string        `arg:"--vm,env:POND_VM" help:"only events about this VM"`
	Until   time.Duration `arg:"--until,env:POND_UNTIL" help:"leave out events newer than this long ago"`
	Files   []string      `arg:"--file,separate,env:POND_FILE" help:"read events from this file, which an entry wrote, in place of asking entries; may be given more than once"`
	From    string        `arg:"--from,env:POND_FROM" help:"only events of or about this entry"`
	Limit   int           `arg:"--limit,env:POND_LIMIT" default:"200" help:"at most so many events, the latest"`
}

// TraceArgs holds the arguments of trace.
type TraceArgs struct {
	Request string   `arg:"positional,required" help:"id of the request, as its caller sent it"`
	Files   []string `arg:"positional" placeholder:"FILE" help:"output of gateways, one or more processes in each; standard input without any"`
}

// CompareArgs holds the arguments of compare.
type CompareArgs struct {
	File   string `arg:"positional,required" help:"plays, one a line: version,case,seed,figure"`
	Before string `arg:"positional,required" help:"version to compare with"`
	After  string `arg:"positional,required" help:"version that is compared"`
}

// QuarantineArgs holds the subcommands of quarantine; without one, requests are listed.
type QuarantineArgs struct {
	List *struct{} `arg:"subcommand:list" help:"list quarantined requests"`
	Lift *LiftArgs `arg:"subcommand:lift" help:"let a request run again"`
}

// LiftArgs identifies a quarantined request.
type LiftArgs struct {
	Service     string `arg:"positional,required" help:"service, as quarantine list shows it"`
	Fingerprint string `arg:"positional,required" help:"fingerprint, as quarantine list shows it"`
}

// HashKeyArgs holds the arguments of hash-key.
type HashKeyArgs struct {
	New bool `arg:"--new,env:POND_NEW" help:"make a new random key, and print it before its hash"`
}

// CheckConfigArgs holds the arguments of check-config.
type CheckConfigArgs struct {
	File    string `arg:"positional,required" help:"configuration of the platform, as JSON"`
	Against string `arg:"--against,env:POND_AGAINST" placeholder:"FILE" help:"configuration in force: show what changes, and check that the version is higher"`
	Strict  bool   `arg:"--strict,env:POND_STRICT" help:"exit code 6 if there are warnings but no errors"`
}

// Description returns the text at the head of --help.
func (Args) Description() string {
	return "pondctl changes the settings of skylarkpond and shows what it does.\n" +
		"Every flag is also an environment variable; a flag on the command line wins.\n"
}

// Epilogue returns the text at the end of --help.
func (Args) Epilogue() string {
	return `Examples:
  pondctl validate settings/              check before a commit
  pondctl diff settings/                  what would change, and who changed the same meanwhile
  pondctl apply --wait settings/          make it so, and wait until it is in force everywhere
  git revert HEAD && pondctl apply --exact settings/
                                          go back to the state before
  pondctl pull settings/                  take in what others applied
  pondctl explain /places/pampa           each value, and the node that it comes from
  pondctl status --json | jq .services    how far the groups of each service are
  pondctl timeline --since 1h --kind settings-in-force
  pondctl check-config --against old.json new.json
                                          what is wrong with a configuration, and what it changes
  pondctl hash-key --new                  a new key, and its hash for the declarations

Exit codes:
  0  done
  1  failure: no entry answered, not authorised, platform unavailable; an unsure apply can be repeated
  2  usage
  3  conflict: somebody else changed the same node; nothing was changed
  4  refused by the checks; nothing was changed
  5  accepted, but not in force on every live entry in time
  6  check-config --strict: warnings, no errors
  7  check-config: a file can't be read, or is no configuration at all`
}
