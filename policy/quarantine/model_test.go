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

type simulation struct {
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

func play(s scenario, r strategy) *result {
	w := &simulation{scenario: s, strategy: r, random: rand.New(rand.NewPCG(1, 1)), shared: New(DefaultConfig()), counts: map[string]int{}}
	if r.noCap {
		w.shared.config.MaxSuspects = MaxRecords
	}
	for i := range s.groups {
		w.groups = append(w.groups, &group{name: fmt.Sprint("group-", i), up: true})
	}
	for h := range w.views {
		w.views[h] = w.shared.Clone()
	}
	w.after(0, w.arrive)
	for p := range s.poisonRequests {
		for range s.copies {
			w.after(20*sec, func() { w.send(&request{fingerprint: fmt.Sprint("poison-", p), poison: true}) })
		}
	}
	w.after(20*sec, func() {
		for _, g := range w.groups[:s.outage] {
			w.crash(g)
		}
	})
	for len(w.queue) > 0 && w.now < runFor {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.do()
	}
	for _, h := range w.shared.Held(w.time()) {
		if h.Verdict == Quarantined {
			w.held = append(w.held, h.Fingerprint)
		}
	}
	return &w.result
}

func (w *simulation) after(wait time.Duration, do func()) {
	heap.Push(&w.queue, event{w.now + wait, do})
}
func (w *simulation) time() time.Time { return epoch.Add(w.now) }

func (w *simulation) arrive() {
	rate := requestsPerSecond * float64(len(w.groups))
	if w.busy {
		rate *= 4
	}
	w.after(time.Duration(w.random.ExpFloat64()/rate*1e9), w.arrive)
	w.number++
	fingerprint := fmt.Sprint("request-", w.number)
	if w.random.Float64() < w.popular {
		fingerprint = popularFingerprint
	}
	w.ordinary++
	w.send(&request{fingerprint: fingerprint, arrived: w.now})
}

// send tries a request on random groups that are up, at most eight; a suspect tries them until one may run
// it.
func (w *simulation) send(r *request) {
	up := slices.DeleteFunc(slices.Clone(w.groups), func(g *group) bool { return !g.up })
	w.random.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	verdict := Waits
	for _, g := range up[:min(len(up), 8)] {
		if verdict = w.askHome(r, g); verdict != Waits {
			break
		}
	}
	switch verdict {
	case Quarantined:
		w.handleRefusal(r)
	case Waits:
		if !r.poison && !r.waited {
			r.waited = true
			w.waited++
		}
		w.after(retryDelay, func() { w.send(r) })
	}
}

// askHome asks the home of a group for its verdict, and starts the request if it may run.
func (w *simulation) askHome(r *request, g *group) Verdict {
	home := slices.Index(w.groups, g) % homes
	verdict := Free
	switch {
	case w.countCrashes && w.counts[r.fingerprint] > 1:
		verdict = Quarantined
	case !w.off && !w.countCrashes:
		verdict = w.views[home].Verdict(w.time(), r.fingerprint, g.name)
	}
	if w.noTrials && verdict != Quarantined {
		verdict = Free
	}
	if verdict == OnTrial {
		trial := Trial{Group: g.name, Home: fmt.Sprint(home)}
		verdict = w.shared.Claim(w.time(), r.fingerprint, trial, timeout, g.fingerprints())
		w.updateViews()
	}
	if verdict == Free || verdict == OnTrial {
		w.start(r, g)
	}
	return verdict
}

func (w *simulation) start(r *request, g *group) {
	r.tries++
	g.running = append(g.running, r)
	life := g.life
	crashes := r.poison && w.random.Float64() < w.crashProbability
	length := time.Duration(w.random.ExpFloat64() * meanSeconds * 1e9)
	if crashes {
		length = crashDelay
	}
	w.after(length, func() {
		if g.life != life {
			return
		}
		if crashes {
			w.crash(g)
			return
		}
		g.running = slices.DeleteFunc(g.running, func(other *request) bool { return other == r })
		w.finish(r, g)
	})
}

func (w *simulation) finish(r *request, g *group) {
	if !w.off && w.shared.RecordFinish(w.time(), r.fingerprint, g.name) {
		w.updateViews()
	}
	if r.poison {
		w.after(retryDelay, func() { w.send(r) })
		return
	}
	w.answered++
}

func (w *simulation) crash(g *group) {
	w.crashes++
	running := g.fingerprints()
	lost := g.running
	g.up, g.running = false, nil
	g.life++
	id := fmt.Sprint(g.name, "/", g.life)
	w.down += min(loadTime, runFor-w.now)
	down := 0
	for _, other := range w.groups {
		if !other.up {
			down++
		}
	}
	w.mostDown = max(w.mostDown, down)
	w.after(loadTime, func() { g.up = true })
	w.after(20*time.Millisecond, func() {
		if !w.off {
			w.shared.RecordCrash(w.time(), id, g.name, running)
			for _, fingerprint := range running {
				w.counts[fingerprint]++
			}
			w.updateViews()
		}
		for _, r := range lost {
			w.retry(r)
		}
	})
}

// retry sends a request again after a crash, as a front or the caller of the poison request would.
func (w *simulation) retry(r *request) {
	if r.poison {
		w.after(retryDelay, func() { w.send(r) })
		return
	}
	if r.tries >= 3 {
		w.failed++
		return
	}
	w.after(viewLag, func() { w.send(r) })
}

func (w *simulation) handleRefusal(r *request) {
	if r.poison {
		w.after(retryDelay, func() { w.send(r) })
		return
	}
	w.refused++
}

// updateViews shows the register's current state to all homes after viewLag.
func (w *simulation) updateViews() {
	seen := w.shared.Clone()
	w.after(viewLag, func() {
		for h := range w.views {
			w.views[h] = seen
		}
	})
}
