package quarantine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// This simulation models callers that send to random groups that are up. A poison request crashes its
// group some time after it starts, and a crashed group takes a minute to load. Homes see changes of the
// register with a delay. Claims and other writes take effect at the platform immediately and one at a
// time.
const (
	homes              = 13
	requestsPerSecond  = 4.0 // ordinary requests per second and group
	meanSeconds        = 4.0 // mean duration of an ordinary request, in seconds
	crashDelay         = 500 * time.Millisecond
	loadTime           = 60 * time.Second
	viewLag            = 150 * time.Millisecond
	retryDelay         = time.Second // before the caller of the poison request sends it again
	timeout            = 30 * time.Second
	popularFingerprint = "popular"
	sec                = time.Second
)

type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type request struct {
	fingerprint string
	poison      bool
	arrived     time.Duration
	tries       int
	waited      bool
}

// group is a group of backend servers; life counts its crashes.
type group struct {
	name    string
	up      bool
	life    int
	running []*request
}

func (g *group) fingerprints() []string {
	var list []string
	for _, r := range g.running {
		list = append(list, r.fingerprint)
	}
	return list
}

// strategy selects which parts of the protection are active.
type strategy struct {
	name string
	// noTrials lets every request run that is not quarantined, without trials.
	noTrials bool
	// countCrashes refuses requests that were in progress at two crashes, and applies no other rule.
	countCrashes bool
	// noCap holds back every suspect, however many there are.
	noCap bool
	off   bool
}

type scenario struct {
	name             string
	groups           int
	copies           int     // callers that send each poison request, over and over
	crashProbability float64 // that a poison request crashes its group rather than finishing
	poisonRequests   int     // number of distinct poison requests
	popular          float64 // fraction of ordinary requests with the same content
	busy             bool    // four times as many ordinary requests
	outage           int     // groups that crash together without a poison request
}

// result holds the figures of one run.
type result struct {
	crashes, mostDown                           int
	down                                        time.Duration // summed over groups
	ordinary, answered, failed, waited, refused int
	held                                        []string
}

func (r *result) String() string {
	share := func(n int) float64 { return 100 * float64(n) / float64(max(1, r.ordinary)) }
	return fmt.Sprintf("%3d | %2d | %5.1f | %5d | %5.2f | %5.2f | %5.2f", r.crashes, r.mostDown, r.down.Seconds()/60,
		r.ordinary, share(r.refused), share(r.failed), share(r.waited))
}

// model is one run of the simulation. shared is the register as the platform holds it, views are the
// copies of the homes, and counts holds the number of crashes per fingerprint.
type model struct {
	scenario
	strategy
	now    time.Duration
	queue  events
	groups []*group
	shared *Register
	views  [homes]*Register
	random *rand.Rand
	number int
	counts map[string]int
	result
}

const runFor = 120 * time.Second

var epoch = time.Unix(1_000_000, 0)

// play runs the scenario under the strategy for runFor of simulated time.
func play(s scenario, r strategy) *result {
	m := &model{scenario: s, strategy: r, random: rand.New(rand.NewPCG(1, 1)), shared: New(DefaultConfig()), counts: map[string]int{}}
	if r.noCap {
		m.shared.config.MaxSuspects = MaxRecords
	}
	for i := range s.groups {
		m.groups = append(m.groups, &group{name: fmt.Sprint("group-", i), up: true})
	}
	for h := range m.views {
		m.views[h] = m.shared.Clone()
	}
	m.after(0, m.arrive)
	for p := range s.poisonRequests {
		for range s.copies {
			m.after(20*sec, func() { m.send(&request{fingerprint: fmt.Sprint("poison-", p), poison: true}) })
		}
	}
	m.after(20*sec, func() {
		for _, g := range m.groups[:s.outage] {
			m.crash(g)
		}
	})
	for len(m.queue) > 0 && m.now < runFor {
		next := heap.Pop(&m.queue).(event)
		m.now = next.at
		next.do()
	}
	for _, h := range m.shared.Held(m.time()) {
		if h.Verdict == Quarantined {
			m.held = append(m.held, h.Fingerprint)
		}
	}
	return &m.result
}

func (m *model) after(d time.Duration, do func()) { heap.Push(&m.queue, event{m.now + d, do}) }
func (m *model) time() time.Time                  { return epoch.Add(m.now) }

func (m *model) arrive() {
	rate := requestsPerSecond * float64(len(m.groups))
	if m.busy {
		rate *= 4
	}
	m.after(time.Duration(m.random.ExpFloat64()/rate*1e9), m.arrive)
	m.number++
	fingerprint := fmt.Sprint("request-", m.number)
	if m.random.Float64() < m.popular {
		fingerprint = popularFingerprint
	}
	m.ordinary++
	m.send(&request{fingerprint: fingerprint, arrived: m.now})
}

// send tries a request on random groups that are up, at most eight; a suspect tries them until one may run
// it.
func (m *model) send(r *request) {
	up := slices.DeleteFunc(slices.Clone(m.groups), func(g *group) bool { return !g.up })
	m.random.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	verdict := Waits
	for _, g := range up[:min(len(up), 8)] {
		if verdict = m.askHome(r, g); verdict != Waits {
			break
		}
	}
	switch verdict {
	case Quarantined:
		m.handleRefusal(r)
	case Waits:
		if !r.poison && !r.waited {
			r.waited = true
			m.waited++
		}
		m.after(retryDelay, func() { m.send(r) })
	}
}

// askHome asks the home of a group for its verdict, and starts the request if it may run.
func (m *model) askHome(r *request, g *group) Verdict {
	home := slices.Index(m.groups, g) % homes
	verdict := Free
	switch {
	case m.countCrashes && m.counts[r.fingerprint] > 1:
		verdict = Quarantined
	case !m.off && !m.countCrashes:
		verdict = m.views[home].Verdict(m.time(), r.fingerprint, g.name)
	}
	if m.noTrials && verdict != Quarantined {
		verdict = Free
	}
	if verdict == OnTrial {
		trial := Trial{Group: g.name, Home: fmt.Sprint(home)}
		verdict = m.shared.Claim(m.time(), r.fingerprint, trial, timeout, g.fingerprints())
		m.updateViews()
	}
	if verdict == Free || verdict == OnTrial {
		m.start(r, g)
	}
	return verdict
}

func (m *model) start(r *request, g *group) {
	r.tries++
	g.running = append(g.running, r)
	life := g.life
	crashes := r.poison && m.random.Float64() < m.crashProbability
	length := time.Duration(m.random.ExpFloat64() * meanSeconds * 1e9)
	if crashes {
		length = crashDelay
	}
	m.after(length, func() {
		if g.life != life {
			return
		}
		if crashes {
			m.crash(g)
			return
		}
		g.running = slices.DeleteFunc(g.running, func(other *request) bool { return other == r })
		m.finish(r, g)
	})
}

func (m *model) finish(r *request, g *group) {
	if !m.off && m.shared.RecordFinish(m.time(), r.fingerprint, g.name) {
		m.updateViews()
	}
	if r.poison {
		m.after(retryDelay, func() { m.send(r) })
		return
	}
	m.answered++
}

func (m *model) crash(g *group) {
	m.crashes++
	running := g.fingerprints()
	lost := g.running
	g.up, g.running = false, nil
	g.life++
	id := fmt.Sprint(g.name, "/", g.life)
	m.down += min(loadTime, runFor-m.now)
	down := 0
	for _, other := range m.groups {
		if !other.up {
			down++
		}
	}
	m.mostDown = max(m.mostDown, down)
	m.after(loadTime, func() { g.up = true })
	m.after(20*time.Millisecond, func() {
		if !m.off {
			m.shared.RecordCrash(m.time(), id, g.name, running)
			for _, fingerprint := range running {
				m.counts[fingerprint]++
			}
			m.updateViews()
		}
		for _, r := range lost {
			m.retry(r)
		}
	})
}

// retry sends a request again after a crash, as a front or the caller of the poison request would.
func (m *model) retry(r *request) {
	if r.poison {
		m.after(retryDelay, func() { m.send(r) })
		return
	}
	if r.tries >= 3 {
		m.failed++
		return
	}
	m.after(viewLag, func() { m.send(r) })
}

func (m *model) handleRefusal(r *request) {
	if r.poison {
		m.after(retryDelay, func() { m.send(r) })
		return
	}
	m.refused++
}

// updateViews shows the register's current state to all homes after viewLag.
func (m *model) updateViews() {
	seen := m.shared.Clone()
	m.after(viewLag, func() {
		for h := range m.views {
			m.views[h] = seen
		}
	})
}
