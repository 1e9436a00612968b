package pondctl

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/contract/route/lint"
	"github.com/skylarkpond/skylarkpond/platform"
)

// configCheck is the result of check-config. Against and Changes are set with --against.
type configCheck struct {
	File      string                   `json:"file"`
	Against   string                   `json:"against,omitempty"`
	Errors    int                      `json:"errors"`
	Warnings  int                      `json:"warnings"`
	Findings  []platform.ConfigProblem `json:"findings"`
	Changes   []configChange           `json:"changes,omitempty"`
	NotJudged []string                 `json:"not_judged"`
}

// configChange is one difference. File and Line are those of the new value, or of the old one if it is removed.
type configChange struct {
	File   string      `json:"file"`
	Line   int         `json:"line"`
	Action lint.Action `json:"action"`
	Field  string      `json:"field"`
	Was    string      `json:"was,omitempty"`
	Now    string      `json:"now,omitempty"`
}

// checkConfig checks a configuration of the platform and compares it with the one in force.
func (c *command) checkConfig(args *CheckConfigArgs) error {
	source, err := readConfig(args.File)
	if err != nil {
		return err
	}
	result := configCheck{File: args.File, Against: args.Against, NotJudged: lint.NotJudged()}
	if source.Partial {
		result.NotJudged = append(result.NotJudged, "everything else, until all values have the right types")
	} else if err := result.check(source); err != nil {
		return err
	}
	result.Findings = slices.SortedStableFunc(slices.Values(source.Problems), func(a, b platform.ConfigProblem) int { return cmp.Compare(a.Line, b.Line) })
	for _, problem := range result.Findings {
		if problem.Severity == lint.Error {
			result.Errors++
		}
	}
	result.Warnings = len(result.Findings) - result.Errors
	if err := c.printResult(result, result.write); err != nil {
		return err
	}
	switch {
	case result.Errors > 0:
		return eris.Wrapf(ErrRefused, "%d errors", result.Errors)
	case result.Warnings > 0 && args.Strict:
		return eris.Wrapf(ErrWarnings, "%d", result.Warnings)
	}
	return nil
}

func readConfig(name string) (*platform.ConfigSource, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, eris.Wrap(ErrUnusable, err.Error())
	}
	source, err := platform.ReadConfigSource(text)
	var syntax *platform.ConfigSyntaxError
	if errors.As(err, &syntax) {
		return nil, eris.Wrapf(ErrUnusable, "%s:%d: not JSON: %s", name, syntax.Line, syntax.Reason)
	}
	return source, err
}

// check adds the problems of the configuration to source, and lists the changes.
func (r *configCheck) check(source *platform.ConfigSource) error {
	source.Report(lint.Check(source.Config))
	if r.Against == "" {
		return nil
	}
	inForce, err := readConfig(r.Against)
	if err != nil {
		return err
	}
	if inForce.Partial {
		return eris.Wrapf(ErrUnusable, "%s: values have the wrong types", r.Against)
	}
	changes, findings := lint.Compare(inForce.Config, source.Config)
	source.Report(findings)
	for _, change := range changes {
		file, from := r.File, source
		if change.Action == lint.Remove {
			file, from = r.Against, inForce
		}
		field, line := from.Locate(change.Path)
		r.Changes = append(r.Changes, configChange{file, line, change.Action, field, change.Was, change.Now})
	}
	return nil
}

func (r *configCheck) write(w io.Writer) {
	for _, p := range r.Findings {
		fmt.Fprintf(w, "%s:%d: %s: %s: %s\n", r.File, p.Line, p.Severity, cmp.Or(p.Field, "configuration"), p.Problem)
	}
	for _, change := range r.Changes {
		fmt.Fprintf(w, "%s:%d: %s %s", change.File, change.Line, actionSigns[string(change.Action)], change.Field)
		switch {
		case change.Action == lint.Modify:
			fmt.Fprintf(w, ": %s -> %s", change.Was, change.Now)
		case change.Was+change.Now != "":
			fmt.Fprintf(w, ": %s", change.Was+change.Now)
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintf(w, "%d errors, %d warnings\n", r.Errors, r.Warnings)
	for _, question := range r.NotJudged {
		fmt.Fprintf(w, "not judged: %s\n", question)
	}
}
