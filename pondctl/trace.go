package pondctl

import (
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/logline"
)

// errNoLogLine is returned if no log line reports the end of a request.
var errNoLogLine = eris.New("no line tells of its end: it was served, or did not come to these processes, or the line was dropped (msg \"log lines dropped\")")

// trace prints the log lines about a request.
func (c *command) trace(args *TraceArgs) error {
	lines, err := c.readLogs(args.Files)
	if err != nil {
		return err
	}
	found := logline.Find(lines, args.Request)
	if len(found) == 0 {
		return eris.Wrap(errNoLogLine, args.Request)
	}
	texts := make([]string, 0, len(found))
	for _, line := range found {
		texts = append(texts, line.Text)
	}
	return c.printResult(texts, func(w io.Writer) {
		for _, text := range texts {
			fmt.Fprintln(w, text)
		}
	})
}

func (c *command) readLogs(files []string) ([]logline.Line, error) {
	if len(files) == 0 {
		return logline.Read(c.In)
	}
	var all []logline.Line
	for _, name := range files {
		lines, err := readLogFile(name)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLogFile(name string) ([]logline.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	lines, err := logline.Read(file)
	return lines, eris.Wrap(err, name)
}
