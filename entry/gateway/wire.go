//go:build wireinject

package gateway

import (
	"github.com/google/wire"

	"github.com/skylarkpond/skylarkpond/entry/drain"
)

//go:generate ../../.bin/wire

// assemble builds the components of a gateway on top of the shared state.
func assemble(s *shared) (*Gateway, error) {
	wire.Build(
		provideStore, provideIdentity, provideHolder, provideCatalog, provideRoster, provideLease, provideController, provideLeader,
		provideLinks, provideLocal, provideRemote, provideSuspects, provideLimits, provideBackoff, provideStanding, provideIsolation, provideRetries, provideBodies, provideConnections, provideRelay, providePool, provideProgress, wire.Struct(new(drain.Gate)),
		wire.Struct(new(components), "*"), wire.Struct(new(Gateway), "*"),
	)
	return nil, nil
}
