package quarantine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// The model: callers send to random groups that are up; a poison request crashes its group a while after
// it starts; a crashed group loads for a minute. Homes see the register a little late; claims and other
// writes take effect at the platform at once, in some order.
const (
	homes     = 13
	perGroup  = 4.0 // innocent requests a second, for each group
	takes     = 4.0 // seconds of an innocent request, on average
	poisonFor = 500 * time.Millisecond
	loading   = 60 * time.Second
	viewLag   = 150 * time.Millisecond
	repeat    = time.Second // after which the caller of the poison sends again
	timeout   = 30 * time.Second
	popular   = "popular"
	sec       = time.Second
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

// rules are what a contender does; nil parts do nothing.
type rules struct {
	name string
	// any lets every request run that is not quarantined, without trials.
	anyRuns bool
	// counting refuses what was in progress at two crashes, and knows nothing else.
	counting bool
	// noCap holds back every suspect, however many.
	noCap bool
	off   bool
}

type scenario struct {
	name    string
	groups  int
	copies  int     // callers that send the poison, each again and again
	odds    float64 // that the poison crashes its group; else it finishes
	poisons int     // different ones
	popular float64 // share of innocent requests that are alike
	busy    bool    // four times as many innocent requests
	outage  int     // groups that crash together by themselves
}

type result struct {
	crashes, mostDown                          int
	down                                       time.Duration // summed over groups
	innocents, answered, broke, waited, caught int
	held                                       []string
}

func (r *result) String() string {
	share := func(n int) float64 { return 100 * float64(n) / float64(max(1, r.innocents)) }
	return fmt.Sprintf("%3d | %2d | %5.1f | %5d | %5.2f | %5.2f | %5.2f", r.crashes, r.mostDown, r.down.Seconds()/60,
		r.innocents, share(r.caught), share(r.broke), share(r.waited))
}

type world struct {
	scenario
	rules
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

func play(s scenario, r rules) *result {
	w := &world{scenario: s, rules: r, random: rand.New(rand.NewPCG(1, 1)), shared: New(DefaultConfig()), counts: map[string]int{}}
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
	for p := range s.poisons {
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

func (w *world) after(wait time.Duration, do func()) { heap.Push(&w.queue, event{w.now + wait, do}) }
func (w *world) time() time.Time                     { return epoch.Add(w.now) }

func (w *world) arrive() {
	rate := perGroup * float64(len(w.groups))
	if w.busy {
		rate *= 4
	}
	w.after(time.Duration(w.random.ExpFloat64()/rate*1e9), w.arrive)
	w.number++
	fingerprint := fmt.Sprint("request-", w.number)
	if w.random.Float64() < w.popular {
		fingerprint = popular
	}
	w.innocents++
	w.send(&request{fingerprint: fingerprint, arrived: w.now})
}

// send tries a request on a random group that is up; a suspect looks for one that may run it.
func (w *world) send(r *request) {
	up := slices.DeleteFunc(slices.Clone(w.groups), func(g *group) bool { return !g.up })
	w.random.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	verdict := Waits
	for _, g := range up[:min(len(up), 8)] {
		if verdict = w.ask(r, g); verdict != Waits {
			break
		}
	}
	switch verdict {
	case Quarantined:
		w.refused(r)
	case Waits:
		if !r.poison && !r.waited {
			r.waited = true
			w.waited++
		}
		w.after(repeat, func() { w.send(r) })
	}
}

// ask lets the home of a group decide, and starts the request if it may run.
func (w *world) ask(r *request, g *group) Verdict {
	home := slices.Index(w.groups, g) % homes
	verdict := Free
	switch {
	case w.counting && w.counts[r.fingerprint] > 1:
		verdict = Quarantined
	case !w.off && !w.counting:
		verdict = w.views[home].Verdict(w.time(), r.fingerprint, g.name)
	}
	if w.anyRuns && verdict != Quarantined {
		verdict = Free
	}
	if verdict == OnTrial {
		trial := Trial{Group: g.name, Home: fmt.Sprint(home)}
		verdict = w.shared.Claim(w.time(), r.fingerprint, trial, timeout, g.fingerprints())
		w.spread()
	}
	if verdict == Free || verdict == OnTrial {
		w.start(r, g)
	}
	return verdict
}

func (w *world) start(r *request, g *group) {
	r.tries++
	g.running = append(g.running, r)
	life := g.life
	crashes := r.poison && w.random.Float64() < w.odds
	length := time.Duration(w.random.ExpFloat64() * takes * 1e9)
	if crashes {
		length = poisonFor
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

func (w *world) finish(r *request, g *group) {
	if !w.off && w.shared.RecordFinish(w.time(), r.fingerprint, g.name) {
		w.spread()
	}
	if r.poison {
		w.after(repeat, func() { w.send(r) })
		return
	}
	w.answered++
}

func (w *world) crash(g *group) {
	w.crashes++
	running := g.fingerprints()
	lost := g.running
	g.up, g.running = false, nil
	g.life++
	id := fmt.Sprint(g.name, "/", g.life)
	w.down += min(loading, runFor-w.now)
	down := 0
	for _, other := range w.groups {
		if !other.up {
			down++
		}
	}
	w.mostDown = max(w.mostDown, down)
	w.after(loading, func() { g.up = true })
	w.after(20*time.Millisecond, func() {
		if !w.off {
			w.shared.RecordCrash(w.time(), id, g.name, running)
			for _, fingerprint := range running {
				w.counts[fingerprint]++
			}
			w.spread()
		}
		for _, r := range lost {
			w.again(r)
		}
	})
}

// again is a front's retry, or the caller of the poison.
func (w *world) again(r *request) {
	if r.poison {
		w.after(repeat, func() { w.send(r) })
		return
	}
	if r.tries >= 3 {
		w.broke++
		return
	}
	w.after(viewLag, func() { w.send(r) })
}

func (w *world) refused(r *request) {
	if r.poison {
		w.after(repeat, func() { w.send(r) })
		return
	}
	w.caught++
}

// spread lets the homes see the register a little later.
func (w *world) spread() {
	seen := w.shared.Clone()
	w.after(viewLag, func() {
		for h := range w.views {
			w.views[h] = seen
		}
	})
}
