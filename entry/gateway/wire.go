//go:build wireinject

package gateway

import (
	"github.com/google/wire"

	"github.com/skylarkpond/skylarkpond/entry/drain"
	"github.com/skylarkpond/skylarkpond/link/upstream"
)

//go:generate ../../.bin/wire

// assemble makes the parts of a process and ties them to its shell.
func assemble(s *shell) (*Gateway, error) {
	wire.Build(
		provideStore, provideIdentity, provideHolder, provideCatalog, provideRoster, provideLease, provideController, provideLeader,
		provideLinks, provideLocal, provideRemote, provideSuspects, provideRetries, provideRelay, upstream.NewPool, wire.Struct(new(drain.Gate)),
		wire.Struct(new(parts), "*"), wire.Struct(new(Gateway), "*"),
	)
	return nil, nil
}
