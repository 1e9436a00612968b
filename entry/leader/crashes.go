package leader

import (
	"slices"
	"strconv"
	"time"

	link "github.com/skylarkpond/skylarkpond/link/leader"
	"github.com/skylarkpond/skylarkpond/policy/quarantine"
)

// crashesHeld is how many servers a request must have crashed to be held back. Where VMs are lost every few seconds, a request that was on two of
// them is no rarity; operators allow three.
const crashesHeld = 3

// crashes counts, for each service, which requests crashed servers. It is used under the leader's lock.
type crashes struct {
	registers map[string]*quarantine.Register
	// told is what the followers were told last, by service.
	told map[string][]string
}

func newCrashes() *crashes {
	return &crashes{registers: make(map[string]*quarantine.Register), told: make(map[string][]string)}
}

func (c *crashes) register(service string) *quarantine.Register {
	register := c.registers[service]
	if register == nil {
		config := quarantine.DefaultConfig()
		config.Crashes = crashesHeld
		register = quarantine.New(config)
		c.registers[service] = register
	}
	return register
}

func (c *crashes) add(crash link.Crash) {
	life := string(crash.Server) + "@" + strconv.FormatInt(crash.Born, 10)
	c.register(crash.Service).RecordCrash(time.Now(), life, string(crash.Server), []string{crash.Fingerprint})
}

func (c *crashes) clear(cleared link.Cleared) {
	register := c.register(cleared.Service)
	register.RecordFinish(time.Now(), cleared.Fingerprint, "")
	register.Expire(time.Now())
}

// held returns the requests of a service that are held back, in order.
func (c *crashes) held(service string) []string {
	var fingerprints []string
	for _, held := range c.register(service).Held(time.Now()) {
		if held.Verdict == quarantine.Quarantined {
			fingerprints = append(fingerprints, held.Fingerprint)
		}
	}
	slices.Sort(fingerprints)
	return fingerprints
}

// changed returns what is held back of a service, and whether that is new to the followers.
func (c *crashes) changed(service string) (link.Held, bool) {
	held := c.held(service)
	if slices.Equal(held, c.told[service]) {
		return link.Held{}, false
	}
	c.told[service] = held
	return link.Held{Service: service, Fingerprints: held}, true
}

// crashed counts a crash and tells all followers what follows.
func (l *Leader) crashed(crash link.Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes.add(crash)
	l.tellHeld(crash.Service)
}

// cleared takes a request out of suspicion that a server has answered in full.
func (l *Leader) cleared(cleared link.Cleared) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes.clear(cleared)
	l.tellHeld(cleared.Service)
}

// tellHeld is called under the lock.
func (l *Leader) tellHeld(service string) {
	if held, changed := l.crashes.changed(service); changed {
		l.deps.Held(held)
		l.share(&link.Shared{Down: link.Down{Held: &held}})
	}
}

// tellAllHeld tells one follower all that is held back. It is called under the lock.
func (l *Leader) tellAllHeld(to sender) {
	for service, fingerprints := range l.crashes.told {
		to.Send(link.Down{Held: &link.Held{Service: service, Fingerprints: fingerprints}})
	}
}
