package suspicion_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/skylarkpond/skylarkpond/policy/suspicion"
)

// way is one way to decide which requests to hold back.
type way interface {
	crash(now time.Duration, id string, running []*request)
	finish(now time.Duration, r *request)
	held(now time.Duration, r *request) bool
}

// request is a request of the simulation; its traits are its content, the parts that it shares, and a part of its own.
type request struct {
	traits  []string
	guilty  bool
	sentAt  time.Duration
	endsAt  time.Duration
	crashAt time.Duration
	// progressed is set if the request was past its beginning when its server crashed.
	progressed bool
}

// bound holds a trait after three crashes for good. With clears set, a request that finishes takes its traits out. only selects the traits.
type bound struct {
	clears  bool
	only    string
	crashes map[string]map[string]bool
}

func newBound(clears bool, only string) *bound {
	return &bound{clears: clears, only: only, crashes: make(map[string]map[string]bool)}
}

func (b *bound) crash(_ time.Duration, id string, running []*request) {
	for _, r := range running {
		for _, trait := range r.traits {
			if b.crashes[trait] == nil {
				b.crashes[trait] = make(map[string]bool)
			}
			b.crashes[trait][id] = true
		}
	}
}

func (b *bound) finish(_ time.Duration, r *request) {
	if b.clears {
		for _, trait := range r.traits {
			delete(b.crashes, trait)
		}
	}
}

func (b *bound) held(_ time.Duration, r *request) bool {
	return slices.ContainsFunc(r.traits, func(trait string) bool { return strings.HasPrefix(trait, b.only) && len(b.crashes[trait]) >= 3 })
}

// ledger is the way of this package.
type ledger struct {
	*suspicion.Ledger
	finishedAt map[string]time.Duration
}

func newLedger() *ledger { return &ledger{suspicion.New(), make(map[string]time.Duration)} }

func (l *ledger) crash(now time.Duration, id string, running []*request) {
	for _, r := range running {
		var observations []suspicion.Observation
		for _, trait := range r.traits {
			at, finished := l.finishedAt[trait]
			observations = append(observations, suspicion.Observation{Trait: trait, Finished: finished, FinishedAt: at, Progressed: r.progressed})
		}
		l.RecordCrash(now, id, observations)
	}
}

func (l *ledger) finish(now time.Duration, r *request) {
	for _, trait := range r.traits {
		l.finishedAt[trait] = now
		l.RecordFinish(now, now, trait)
	}
}

func (l *ledger) held(now time.Duration, r *request) bool {
	return slices.ContainsFunc(l.Rules(now), func(rule suspicion.Rule) bool { return rule.Matches(r.traits) })
}

// outcome is what a way costs.
type outcome struct {
	// late counts the guilty requests that were sent later than 3 s after the fifth crash; crashes counts all crashes on them.
	late, crashes int
	// served, lost and refused count the sound requests by how they ended: answered, cut by a crash, held back or without a server.
	served, lost, heldBack, noServer int
}

func (o outcome) String() string {
	return fmt.Sprintf("%d guilty requests late, %d crashes; of sound ones %d served, %d lost with servers, %d held back, %d without a server",
		o.late, o.crashes, o.served, o.lost, o.heldBack, o.noServer)
}

const (
	simServers   = 12
	simSlots     = 8
	simLength    = 40 * time.Second
	simStep      = 10 * time.Millisecond
	simDown      = 3 * time.Second
	simDelay     = 150 * time.Millisecond // from a crash until every entry knows what follows from it
	simAnswer    = 1200 * time.Millisecond
	simBeginning = 100 * time.Millisecond
)

// simulate sends sound requests, guilty ones each guiltyEvery (never, if it is 0), which crash their servers after a time, and crashes a rack of a
// third of the servers each rackEvery.
func simulate(w way, guiltyEvery, crashAfter, rackEvery time.Duration) (o outcome) {
	random := rand.New(rand.NewPCG(1, 2))
	type pending struct {
		at      time.Duration
		id      string
		running []*request
	}
	var (
		servers  [simServers][]*request
		upAt     [simServers]time.Duration
		reports  []pending
		crashes  []time.Duration
		sent     int
		crashing func(now time.Duration, i int)
	)
	crashing = func(now time.Duration, i int) {
		reports = append(reports, pending{now + simDelay, fmt.Sprint(i, "@", now), servers[i]})
		for _, r := range servers[i] {
			r.progressed = now-r.sentAt > 2*simBeginning
			if !r.guilty {
				o.lost++
			}
		}
		servers[i], upAt[i] = nil, now+simDown
	}
	send := func(now time.Duration, guilty bool) {
		sent++
		r := &request{guilty: guilty, sentAt: now, endsAt: now + simAnswer/2 + time.Duration(random.Int64N(int64(simAnswer)))}
		// One session in ten has three requests; the others have one.
		session := sent
		if sent%10 < 3 {
			session = sent - sent%10
		}
		r.traits = []string{fmt.Sprint("request ", sent), "part route", fmt.Sprint("part session ", session)}
		if guilty {
			r.traits = append(r.traits, "part bad")
			r.crashAt = now + crashAfter
		}
		if w.held(now, r) {
			if !guilty {
				o.heldBack++
			}
			return
		}
		best := -1
		for i := range servers {
			if now >= upAt[i] && len(servers[i]) < simSlots && (best < 0 || len(servers[i]) < len(servers[best])) {
				best = i
			}
		}
		if best < 0 {
			if !guilty {
				o.noServer++
			}
			return
		}
		if guilty && len(crashes) >= 5 && now > crashes[4]+3*time.Second {
			o.late++
		}
		servers[best] = append(servers[best], r)
	}
	for now := time.Duration(0); now < simLength; now += simStep {
		for len(reports) > 0 && reports[0].at <= now {
			w.crash(now, reports[0].id, reports[0].running)
			reports = reports[1:]
		}
		for i := range servers {
			if slices.ContainsFunc(servers[i], func(r *request) bool { return r.guilty && now >= r.crashAt }) {
				crashes = append(crashes, now)
				o.crashes++
				crashing(now, i)
			}
			servers[i] = slices.DeleteFunc(servers[i], func(r *request) bool {
				if now < r.endsAt {
					return false
				}
				o.served++
				w.finish(now, r)
				return true
			})
		}
		if now%(20*time.Millisecond) == 0 {
			send(now, false)
		}
		if guiltyEvery > 0 && now > 5*time.Second && now%guiltyEvery == 0 {
			send(now, true)
		}
		if rackEvery > 0 && now > 0 && now%rackEvery == 0 {
			first := random.IntN(simServers)
			for i := range simServers / 3 {
				crashing(now, (first+i)%simServers)
			}
		}
	}
	return o
}

// TestComparesWaysByWhatSoundCallersLose runs each way under the load that the package is made for, and under crashes that no request causes.
func TestComparesWaysByWhatSoundCallersLose(t *testing.T) {
	ways := map[string]func() way{
		"whole requests":               func() way { return newBound(true, "request") },
		"a bound on crashes per part":  func() way { return newBound(false, "") },
		"the bound, cleared by finish": func() way { return newBound(true, "") },
		"this package":                 func() way { return newLedger() },
	}
	for _, load := range []struct {
		name                      string
		guilty, crashAfter, racks time.Duration
	}{
		{"guilty requests each 180 ms", 180 * time.Millisecond, simBeginning, 0},
		{"guilty requests each 50 ms", 50 * time.Millisecond, simBeginning, 0},
		{"guilty requests each 50 ms that crash servers in the middle", 50 * time.Millisecond, 5 * simBeginning, 0},
		{"racks crash each 2 s", 0, 0, 2 * time.Second},
		{"guilty requests and racks", 180 * time.Millisecond, simBeginning, 2 * time.Second},
	} {
		for name, start := range ways {
			o := simulate(start(), load.guilty, load.crashAfter, load.racks)
			t.Logf("%s, %s: %v", load.name, name, o)
			if name != "this package" {
				continue
			}
			if o.late > 3 {
				t.Errorf("%s: %d guilty requests late, 3 are allowed", load.name, o.late)
			}
			if o.heldBack > (o.served+o.lost)/100 {
				t.Errorf("%s: %d sound requests held back", load.name, o.heldBack)
			}
		}
	}
}
