package leader

import (
	"slices"
	"strconv"
	"time"

	link "github.com/skylarkpond/skylarkpond/link/leader"
	"github.com/skylarkpond/skylarkpond/policy/quarantine"
)

// quarantineThreshold is the number of servers that a request must have crashed to be quarantined. Where VMs fail every
// few seconds, requests that lost two servers by chance are common, and operators allow three.
const quarantineThreshold = 3

// crashTracker records, for each service, which requests crashed servers. It is guarded by the leader's mutex.
type crashTracker struct {
	registers map[string]*quarantine.Register
	// announced is the quarantine that the followers were last sent, by service.
	announced map[string][]string
}

func newCrashTracker() *crashTracker {
	return &crashTracker{registers: make(map[string]*quarantine.Register), announced: make(map[string][]string)}
}

func (c *crashTracker) register(service string) *quarantine.Register {
	register := c.registers[service]
	if register == nil {
		config := quarantine.DefaultConfig()
		config.Crashes = quarantineThreshold
		register = quarantine.New(config)
		c.registers[service] = register
	}
	return register
}

func (c *crashTracker) add(crash link.Crash) {
	incarnation := string(crash.Server) + "@" + strconv.FormatInt(crash.Born, 10)
	c.register(crash.Service).RecordCrash(time.Now(), incarnation, string(crash.Server), []string{crash.Fingerprint})
}

func (c *crashTracker) clear(cleared link.Cleared) {
	register := c.register(cleared.Service)
	register.RecordFinish(time.Now(), cleared.Fingerprint, "")
	register.Expire(time.Now())
}

// quarantined returns the fingerprints of the quarantined requests of a service in sorted order.
func (c *crashTracker) quarantined(service string) []string {
	var fingerprints []string
	for _, request := range c.register(service).Held(time.Now()) {
		if request.Verdict == quarantine.Quarantined {
			fingerprints = append(fingerprints, request.Fingerprint)
		}
	}
	slices.Sort(fingerprints)
	return fingerprints
}

// quarantineChange returns the quarantine of a service, and whether it differs from what the followers were last sent.
func (c *crashTracker) quarantineChange(service string) (link.Quarantine, bool) {
	quarantined := c.quarantined(service)
	if slices.Equal(quarantined, c.announced[service]) {
		return link.Quarantine{}, false
	}
	c.announced[service] = quarantined
	return link.Quarantine{Service: service, Fingerprints: quarantined}, true
}

// addCrash records a crash, and sends the quarantine to all followers if it has changed.
func (l *Leader) addCrash(crash link.Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes.add(crash)
	l.broadcastQuarantine(crash.Service)
}

// clearCrashes clears a request of suspicion because a server has answered it completely.
func (l *Leader) clearCrashes(cleared link.Cleared) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes.clear(cleared)
	l.broadcastQuarantine(cleared.Service)
}

// broadcastQuarantine must be called with l.mu held.
func (l *Leader) broadcastQuarantine(service string) {
	if quarantined, changed := l.crashes.quarantineChange(service); changed {
		l.deps.ReportQuarantine(quarantined)
		l.sendToAll(&link.Shared{Down: link.Down{Quarantine: &quarantined}})
	}
}

// sendQuarantines sends the quarantines of all services to one follower. It must be called with l.mu held.
func (l *Leader) sendQuarantines(to recipient) {
	for service, fingerprints := range l.crashes.announced {
		to.Send(link.Down{Quarantine: &link.Quarantine{Service: service, Fingerprints: fingerprints}})
	}
}
