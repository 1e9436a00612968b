//go:build wireinject

package entry

import (
	"github.com/google/wire"
	"github.com/sirupsen/logrus"

	"github.com/skylarkpond/skylarkpond/entry/admission"
	"github.com/skylarkpond/skylarkpond/entry/drain"
	"github.com/skylarkpond/skylarkpond/entry/mirror"
	"github.com/skylarkpond/skylarkpond/link/engine"
	"github.com/skylarkpond/skylarkpond/timeline"
	"github.com/skylarkpond/skylarkpond/vm"
)

//go:generate ../.bin/wire

// assemble builds an entry from its configuration and its published identity.
func assemble(config Config, self publishedEntry, recorder *timeline.Recorder, measures *processMetrics, log *logrus.Entry) *Entry {
	wire.Build(
		provideStore, provideReach, provideMembers, provideMembership, providePeerClient, providePeerServer,
		providePinger, provideFollower, provideTable, provideHomedGroups, provideAttempts, providePurger, provideHome, provideGuard, provideDispatcher,
		provideFront, provideRouter, provideProber, provideController, provideStatusCollector, provideDirectory, provideOperator, provideRegistration,
		newSettingsInForce, newHomeCandidates, wire.Struct(new(drain.Gate)), mirror.New, admission.New, vm.NewPresence,
		provideEngines, provideSettingsReady, provideBodies, provideConnections, wire.Bind(new(engine.Client), new(*engine.HTTPClient)),
		wire.Struct(new(Entry), "*"),
	)
	return nil
}
