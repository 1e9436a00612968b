package suspects

import (
	"strconv"
	"time"

	link "github.com/skylarkpond/skylarkpond/link/leader"
	"github.com/skylarkpond/skylarkpond/policy/suspicion"
)

// Record adds a reported crash, which the reporter noticed at a time, to a ledger. All reports of one crash count as one.
func Record(ledger *suspicion.Ledger, at time.Duration, crash link.Crash) {
	observations := make([]suspicion.Observation, 0, len(crash.Traits))
	for _, trait := range crash.Traits {
		observations = append(observations, suspicion.Observation{
			Trait: trait.Name, Finished: trait.Finished, FinishedAt: at - time.Duration(trait.FinishedAgoMs)*time.Millisecond, Progressed: trait.Progressed,
		})
	}
	ledger.RecordCrash(at, string(crash.Server)+"@"+strconv.FormatInt(crash.Born, 10), observations)
}
