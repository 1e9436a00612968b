package pondctl

import (
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/internal/experiment"
)

// compare reports whether the difference between the results of two versions is more than chance.
func (c *command) compare(args *CompareArgs) error {
	file, err := os.Open(args.File)
	if err != nil {
		return eris.Wrap(err, "read the plays")
	}
	defer file.Close()
	plays, err := experiment.Read(file)
	if err != nil {
		return err
	}
	compared, err := experiment.Compare(plays, args.Before, args.After)
	if err != nil {
		return err
	}
	return c.printResult(compared, func(w io.Writer) {
		verdict := "not told from chance"
		if compared.Significant() {
			verdict = "more than chance"
		}
		fmt.Fprintf(w, "%s %.3f, %s %.3f: %+.3f, spread %.3f over %d pairs, chance %.3f: %s\n", args.Before, compared.Before, args.After,
			compared.After, compared.Difference, compared.StdDev, compared.Pairs, compared.PValue, verdict)
	})
}
