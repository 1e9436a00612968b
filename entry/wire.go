//go:build wireinject

package entry

import (
	"github.com/google/wire"
	"github.com/sirupsen/logrus"

	"github.com/skylarkpond/skylarkpond/entry/admission"
	"github.com/skylarkpond/skylarkpond/entry/drain"
	"github.com/skylarkpond/skylarkpond/entry/mirror"
	"github.com/skylarkpond/skylarkpond/timeline"
	"github.com/skylarkpond/skylarkpond/vm"
)

//go:generate ../.bin/wire

// assemble builds an entry from its settings and its registration.
func assemble(config Config, self registered, recorder *timeline.Recorder, measures *measures, log *logrus.Entry) *Entry {
	wire.Build(
		provideStore, provideReach, provideMembers, provideOwners, providePeerClient, providePeerServer,
		providePinger, provideFollower, provideTable, providePlaced, provideAttempts, providePurger, provideHome, provideGuard, provideDispatcher,
		provideFront, provideRouter, provideProber, provideController, provideOverview, provideDirectory, provideOperator, provideRegistration,
		newSettingsInForce, newHomes, wire.Struct(new(drain.Gate)), mirror.New, admission.New, vm.NewPresence,
		provideEngines, provideSettled,
		wire.Struct(new(Entry), "*"),
	)
	return nil
}
