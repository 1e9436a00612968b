// Command skylarkpond runs on an entry VM.
//
//	skylarkpond serve   serves as one entry
//	skylarkpond check   checks the flags and the connection to the platform, then exits
//	skylarkpond gateway serves callers of a platform whose backend servers register themselves; with --check it only checks
//	skylarkpond dev     serves on loopback, with stand-ins for the platform and the backend servers
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/skylarkpond/skylarkpond/dev"
	"github.com/skylarkpond/skylarkpond/entry"
	"github.com/skylarkpond/skylarkpond/entry/gateway"
)

// arguments holds the settings of the selected subcommand; those of the others are nil.
type arguments struct {
	Serve   *entry.Config   `arg:"subcommand:serve" help:"serve as one entry"`
	Check   *entry.Config   `arg:"subcommand:check" help:"check the settings of this process and whether the platform answers"`
	Gateway *gateway.Config `arg:"subcommand:gateway" help:"serve callers of a platform whose backend servers register themselves"`
	Dev     *dev.Config     `arg:"subcommand:dev" help:"serve on loopback with stand-ins for the platform and the backend servers"`
}

// Description returns the text at the head of the output of --help.
func (arguments) Description() string {
	return "skylarkpond serves models whose replicas span several VMs."
}

// Epilogue returns the text at the end of the output of --help.
func (arguments) Epilogue() string {
	return "Exit codes: 0 stopped in order, 1 failed, 2 wrong settings."
}

const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	// Handled before anything else: the platform may signal a process in its first milliseconds, and an unhandled
	// SIGHUP ends it.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	var args arguments
	parser := arg.MustParse(&args)
	if args.Gateway == nil {
		signal.Reset(syscall.SIGHUP)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	switch {
	case args.Serve != nil:
		exitIfInvalid(args.Serve.Check())
		exitIfFailed(entry.Serve(ctx, *args.Serve))
	case args.Check != nil:
		exitIfInvalid(args.Check.Check())
		exitIfFailed(entry.CheckPlatform(ctx, *args.Check, os.Stdout))
	case args.Gateway != nil:
		exitIfInvalid(args.Gateway.Check())
		if args.Gateway.CheckOnly {
			exitIfFailed(gateway.CheckPlatform(ctx, *args.Gateway, os.Stdout))
			return
		}
		exitIfFailed(gateway.Serve(ctx, *args.Gateway, reload))
	case args.Dev != nil:
		exitIfInvalid(args.Dev.Check())
		exitIfFailed(dev.Run(ctx, *args.Dev, os.Stdout))
	default:
		parser.WriteHelp(os.Stdout)
		os.Exit(exitUsage)
	}
}

func exitIfInvalid(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "skylarkpond:", err)
		os.Exit(exitUsage)
	}
}

func exitIfFailed(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "skylarkpond:", err)
		os.Exit(exitFailed)
	}
}
