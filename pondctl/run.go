package pondctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/contract/settings"
)

// Streams are the standard streams of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Errors that determine the exit code of a command.
var (
	ErrConflict   = eris.New("conflict")
	ErrRefused    = eris.New("refused by the checks")
	ErrNotInForce = eris.New("not in force everywhere in time")
	ErrUsage      = eris.New("usage")
	ErrWarnings   = eris.New("warnings")
	ErrUnusable   = eris.New("unusable input")
)

// command is one invocation of pondctl.
type command struct {
	Streams
	args   Args
	client *client
}

// Run runs the command given by args and returns its exit code.
func Run(ctx context.Context, args []string, streams Streams) int {
	c := &command{Streams: streams}
	parser, err := arg.NewParser(arg.Config{Program: "pondctl", Out: streams.Err}, &c.args)
	if err != nil {
		fmt.Fprintln(streams.Err, "pondctl:", err)
		return ExitFailure
	}
	switch err := parser.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(streams.Out, parser.SubcommandNames()...)
		return ExitOK
	case err != nil:
		_ = parser.WriteUsageForSubcommand(streams.Err, parser.SubcommandNames()...)
		fmt.Fprintln(streams.Err, "error:", err)
		return ExitUsage
	}
	c.client = newClient(c.args)
	err = c.run(ctx)
	if errors.Is(err, ErrUsage) {
		_ = parser.WriteUsageForSubcommand(streams.Err, parser.SubcommandNames()...)
	}
	return c.reportError(err)
}

func (c *command) run(ctx context.Context) error {
	a := &c.args
	switch {
	case a.Validate != nil:
		return c.validate(a.Validate.Dir)
	case a.Diff != nil:
		return c.diff(ctx, a.Diff)
	case a.Apply != nil:
		return c.apply(ctx, a.Apply)
	case a.Pull != nil:
		return c.pull(ctx, a.Pull)
	case a.Explain != nil:
		return c.explain(ctx, settings.Path(a.Explain.Path))
	case a.History != nil:
		return c.history(ctx, a.History.Limit)
	case a.Status != nil:
		return c.status(ctx, a.Status.Groups)
	case a.Trace != nil:
		return c.trace(a.Trace)
	case a.Compare != nil:
		return c.compare(a.Compare)
	case a.Timeline != nil:
		return c.timeline(ctx, a.Timeline)
	case a.Quarantine != nil && a.Quarantine.Lift != nil:
		return c.lift(ctx, a.Quarantine.Lift)
	case a.Quarantine != nil:
		return c.quarantine(ctx)
	case a.HashKey != nil:
		return c.hashKey(a.HashKey.New)
	case a.CheckConfig != nil:
		return c.checkConfig(a.CheckConfig)
	}
	return eris.Wrap(ErrUsage, "no command given; see pondctl --help")
}

// reportError prints an error to standard error and returns the matching exit code.
func (c *command) reportError(err error) int {
	if err == nil {
		return ExitOK
	}
	c.logf("error: %s", err)
	var faults settings.Faults
	switch {
	case errors.Is(err, ErrUsage):
		return ExitUsage
	case errors.Is(err, ErrConflict):
		return ExitConflict
	case errors.Is(err, ErrRefused), errors.As(err, &faults):
		return ExitRefused
	case errors.Is(err, ErrNotInForce):
		return ExitNotInForce
	case errors.Is(err, ErrWarnings):
		return ExitWarnings
	case errors.Is(err, ErrUnusable):
		return ExitUnusable
	}
	return ExitFailure
}

// logf prints a line of progress to standard error.
func (c *command) logf(format string, args ...any) {
	fmt.Fprintf(c.Err, format+"\n", args...)
}

// printResult writes a result to standard output: as JSON with --json, otherwise by calling text.
func (c *command) printResult(result any, text func(w io.Writer)) error {
	if !c.args.JSON {
		text(c.Out)
		return nil
	}
	encoder := json.NewEncoder(c.Out)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return eris.Wrap(encoder.Encode(result), "write the result")
}
