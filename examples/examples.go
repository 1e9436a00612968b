// Package examples holds the declarations that stand in this directory, for `skylarkpond dev` and for
// tests.
package examples

import (
	"embed"
	"io/fs"
)

//go:embed dev cooperative studio
var declarations embed.FS

// The public keys of the dev declarations, in clear.
const (
	DevTeamKey     = "dev-team-key"
	DevOperatorKey = "dev-operator-key"
)

// Dev returns the declarations of `skylarkpond dev`.
func Dev() fs.FS { return sub("dev") }

// Cooperative returns a deployment that weighs downtime more than stranded accelerators.
func Cooperative() fs.FS { return sub("cooperative") }

// Studio returns a deployment that weighs stranded accelerators more than downtime.
func Studio() fs.FS { return sub("studio") }

func sub(dir string) fs.FS {
	tree, err := fs.Sub(declarations, dir)
	if err != nil {
		panic(err) // the directory is embedded: only a build without it gets here
	}
	return tree
}
