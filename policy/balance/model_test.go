package balance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

// The simulation models fronts that choose by late reports, homes with a limit and a bounded queue, and engines
// with continuous batching and a prefix cache. It advances in steps of virtual time.
const (
	step          = 10 * time.Millisecond
	prefillRate   = 20_000.0 // tokens a second
	stepBase      = 0.015    // seconds of a decoding step, plus stepPerBatch for each request in the batch
	stepPerBatch  = 0.0004
	prefixTokens  = 800
	suffixTokens  = 200
	outputTokens  = 100 // on average
	cachePrefixes = 20
	maxLimit      = 32
	gapObjective  = 79 * time.Millisecond
	deadline      = 20 * time.Second
	minSteps      = 200 // steps of the averages before a home reports them
	// replicaRate is the requests per second of a replica at its limit if every prefix hits the cache. Goodput
	// is a share of this capacity. A request takes 10 ms of prefill, and 100 tokens at a batch of 32.
	replicaRate = 1 / (suffixTokens/prefillRate + outputTokens*(stepBase+stepPerBatch*maxLimit)/maxLimit)
)

type request struct {
	arrived, started, first, networkDelay time.Duration
	prefix                                uint64
	prefill                               float64 // tokens left
	output                                float64
	finish                                float64 // value of engine.tokens at which the request ends
	front                                 int
}

type byFinish []*request

func (h byFinish) Len() int           { return len(h) }
func (h byFinish) Less(i, j int) bool { return h[i].finish < h[j].finish }
func (h byFinish) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *byFinish) Push(x any)        { *h = append(*h, x.(*request)) }
func (h *byFinish) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// engine models a group: its home's queue and limit, and the batching engine.
type engine struct {
	speed           float64
	up              bool
	servingSince    time.Duration
	limit           float64
	queue, prefills []*request
	decoding        byFinish
	tokens          float64 // tokens that a request in the batch since the start would have
	cached          []uint64
	firstToken      float64 // moving average, seconds
	rate            float64 // moving average, tokens per second of a request in the batch
	steps           int     // simulation steps that the averages cover
	domain          int
}

func (e *engine) inFlight() int { return len(e.prefills) + len(e.decoding) }

// touchPrefix says whether a prefix is cached, and makes it the most recently used one.
func (e *engine) touchPrefix(prefix uint64) bool {
	i := slices.Index(e.cached, prefix)
	found := i >= 0
	if found {
		e.cached = slices.Delete(e.cached, i, i+1)
	} else if len(e.cached) == cachePrefixes {
		e.cached = slices.Delete(e.cached, 0, 1)
	}
	e.cached = append(e.cached, prefix)
	return found
}

type scenario struct {
	name     string
	load     func(at time.Duration) float64 // as a share of the capacity of all replicas
	prefix   func(at time.Duration, r *rand.Rand) uint64
	events   func(at time.Duration, engines []*engine)
	report   func(i int, c *Candidate) // falsifies a report
	length   time.Duration
	from, to time.Duration // only requests that arrive in this window are counted
	replicas int
	fronts   int
	interval time.Duration // of reports
	uneven   bool          // two thirds of the requests enter in one failure domain
}

// chooser is a policy as one front runs it.
type chooser interface {
	put(now time.Duration, i int, c Candidate)
	choose(now time.Duration, prefix uint64, r *rand.Rand) int
	begin(i int)
	end(i int)
}

type result struct {
	sent, refused, late, hits, prefixed, done, overGap, remote int
	firstTokens                                                []float64 // seconds
	byEngine                                                   []int
	firstTokensOnEngine0                                       []float64 // seconds to the first token, on engine 0
	capacity                                                   float64
	tokens                                                     float64
}

func (r *result) ttftQuantile(share float64) time.Duration { return quantile(r.firstTokens, share) }

func quantile(values []float64, share float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return seconds(values[int(share*float64(len(values)-1))]).Round(time.Millisecond)
}

func (r *result) goodput() float64  { return r.tokens / r.capacity }
func (r *result) hitShare() float64 { return float64(r.hits) / math.Max(1, float64(r.prefixed)) }
func (r *result) lost() float64 {
	return float64(r.refused+r.late) / math.Max(1, float64(r.sent))
}

func (r *result) overGapShare() float64 { return float64(r.overGap) / math.Max(1, float64(r.done)) }
func (r *result) remoteShare() float64  { return float64(r.remote) / math.Max(1, float64(r.sent)) }

func (r *result) String() string {
	return fmt.Sprintf("%6d | %6d | %6d | %5.1f | %5.1f | %5.1f | %5.1f", r.ttftQuantile(0.5).Milliseconds(), r.ttftQuantile(0.95).Milliseconds(),
		r.ttftQuantile(0.99).Milliseconds(), 100*r.goodput(), 100*r.hitShare(), 100*r.lost(), 100*r.overGapShare())
}

type report struct {
	at time.Duration
	i  int
	c  Candidate
}

type cluster struct {
	scenario
	now     time.Duration
	engines []*engine
	policy  []chooser
	reports []report
	random  *rand.Rand
	result  result
}

const (
	reportLag        = 200 * time.Millisecond
	crossDomainDelay = 1500 * time.Microsecond // one way, to another failure domain
)

func simulate(s scenario, policy func(front int) chooser, seed uint64) *result {
	c := &cluster{scenario: s, random: rand.New(rand.NewPCG(seed, 1))}
	for i := range s.replicas {
		c.engines = append(c.engines, &engine{speed: 1, up: true, servingSince: -time.Hour, limit: maxLimit, domain: i % 3})
	}
	c.result.byEngine = make([]int, s.replicas)
	for f := range s.fronts {
		c.policy = append(c.policy, policy(f))
	}
	next := 0.0
	for c.now = 0; c.now < s.length; c.now += step {
		if s.events != nil {
			s.events(c.now, c.engines)
		}
		c.gossip()
		for rate := s.load(c.now) * replicaRate * float64(s.replicas); next < (c.now + step).Seconds(); {
			if rate <= 0 {
				next = (c.now + step).Seconds()
				break
			}
			c.arrive()
			next += c.random.ExpFloat64() / rate
		}
		for i, e := range c.engines {
			c.run(i, e)
		}
	}
	return &c.result
}

func (c *cluster) inMeasuredWindow(at time.Duration) bool { return at >= c.from && at < c.to }

func (c *cluster) gossip() {
	every := int(c.interval / step)
	for i, e := range c.engines {
		if (int(c.now/step)+i*every/len(c.engines))%every != 0 && c.now > 0 {
			continue
		}
		report := report{c.now + reportLag, i, Candidate{
			ID: fmt.Sprint("group-", i), Ready: e.up, InFlight: e.inFlight(), Queued: len(e.queue), Limit: int(e.limit),
			FirstToken: seconds(e.firstToken), TokenGap: seconds(1 / max(e.rate, 1e-3)),
			FailureDomain: fmt.Sprint(e.domain), ServingFor: c.now - e.servingSince,
		}}
		if e.steps < minSteps {
			report.c.FirstToken, report.c.TokenGap = 0, 0
		}
		if c.report != nil {
			c.report(i, &report.c)
		}
		c.reports = append(c.reports, report)
	}
	for len(c.reports) > 0 && (c.reports[0].at <= c.now || c.now == 0) {
		for _, p := range c.policy {
			p.put(c.now, c.reports[0].i, c.reports[0].c)
		}
		c.reports = c.reports[1:]
	}
}

func (c *cluster) arrive() {
	j := &request{arrived: c.now, front: c.random.IntN(c.fronts), prefix: c.prefix(c.now, c.random)}
	j.output = 1 + c.random.ExpFloat64()*(outputTokens-1)
	j.prefill = suffixTokens
	if c.uneven && c.random.IntN(2) == 0 {
		j.front = j.front / 3 * 3 // half of the requests that would enter elsewhere enter in failure domain 0
	}
	count := c.inMeasuredWindow(c.now)
	if count {
		c.result.sent++
	}
	i := c.policy[j.front].choose(c.now, j.prefix, c.random)
	if i < 0 {
		c.refuse(j)
		return
	}
	e := c.engines[i]
	if count {
		c.result.byEngine[i]++
	}
	if !e.up || len(e.queue) >= int(e.limit) {
		c.refuse(j)
		return
	}
	if e.domain != j.front%3 {
		j.networkDelay = 2 * crossDomainDelay
		if count {
			c.result.remote++
		}
	}
	c.policy[j.front].begin(i)
	e.queue = append(e.queue, j)
}

func (c *cluster) refuse(j *request) {
	if c.inMeasuredWindow(j.arrived) {
		c.result.refused++
	}
}

// run advances one engine by a step.
func (c *cluster) run(i int, e *engine) {
	for len(e.queue) > 0 && e.inFlight() < int(e.limit) {
		j := e.queue[0]
		e.queue = e.queue[1:]
		if c.now-j.arrived > deadline {
			c.policy[j.front].end(i)
			c.refuse(j)
			continue
		}
		c.start(e, j)
	}
	budget := step.Seconds() * e.speed
	if len(e.prefills) > 0 {
		share := 1.0
		if len(e.decoding) > 0 {
			share = 0.6
		}
		budget -= c.prefill(e, budget*share)
	}
	if len(e.decoding) == 0 {
		return
	}
	stepTime := stepBase + stepPerBatch*float64(len(e.decoding))
	e.tokens += budget / stepTime
	rate := budget / stepTime / step.Seconds()
	e.steps++
	e.rate += (rate - e.rate) * max(0.002, 1/float64(e.steps))
	for len(e.decoding) > 0 && e.decoding[0].finish <= e.tokens {
		c.complete(i, e, heap.Pop(&e.decoding).(*request))
	}
	// Approximates how a home adapts its limit to the token gap objective: within seconds.
	want := (gapObjective.Seconds()*e.speed - stepBase) / stepPerBatch
	e.limit += (math.Min(math.Max(want, 1), maxLimit) - e.limit) * 0.005
}

func (c *cluster) start(e *engine, j *request) {
	j.started = c.now
	if j.prefix != 0 {
		hit := e.touchPrefix(j.prefix)
		if !hit {
			j.prefill += prefixTokens
		}
		if c.inMeasuredWindow(j.arrived) {
			c.result.prefixed++
			if hit {
				c.result.hits++
			}
		}
	}
	e.prefills = append(e.prefills, j)
}

// prefill processes prompts in order and returns the time used.
func (c *cluster) prefill(e *engine, budget float64) float64 {
	left := budget
	for left > 0 && len(e.prefills) > 0 {
		j := e.prefills[0]
		needed := j.prefill / prefillRate
		used := math.Min(left, needed)
		j.prefill -= used * prefillRate
		left -= used
		if used < needed {
			break
		}
		e.prefills = e.prefills[1:]
		j.finish = e.tokens + j.output
		heap.Push(&e.decoding, j)
		at := c.now + step
		j.first = at
		if e.firstToken == 0 {
			e.firstToken = (at - j.started).Seconds()
		}
		e.firstToken += ((at - j.started).Seconds() - e.firstToken) * 0.1
		if first := (at - j.arrived + j.networkDelay).Seconds(); c.inMeasuredWindow(j.arrived) {
			c.result.firstTokens = append(c.result.firstTokens, first)
			if e == c.engines[0] {
				c.result.firstTokensOnEngine0 = append(c.result.firstTokensOnEngine0, first)
			}
		}
	}
	return budget - left
}

func (c *cluster) complete(i int, e *engine, j *request) {
	c.policy[j.front].end(i)
	if c.inMeasuredWindow(c.now) {
		c.result.capacity = (c.to - c.from).Seconds() * replicaRate * outputTokens * float64(c.replicas)
		if c.now-j.arrived <= deadline {
			c.result.tokens += j.output
		}
	}
	if !c.inMeasuredWindow(j.arrived) {
		return
	}
	c.result.done++
	if c.now-j.arrived > deadline {
		c.result.late++
	}
	if (c.now - j.first).Seconds() > gapObjective.Seconds()*j.output {
		c.result.overGap++
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// tableChooser runs a Table.
type tableChooser struct{ table *Table }

func (o tableChooser) put(now time.Duration, _ int, c Candidate) { o.table.Put(now, c) }
func (o tableChooser) begin(i int)                               { o.table.Begin(fmt.Sprint("group-", i)) }

func (o tableChooser) end(i int) { o.table.End(fmt.Sprint("group-", i)) }

func (o tableChooser) choose(now time.Duration, prefix uint64, r *rand.Rand) int {
	choice := o.table.Choose(now, Request{Prefix: prefix}, r)
	if choice.Reason == NoGroup {
		return -1
	}
	return groupNumber(choice.ID)
}

// nearOnlyChooser knows only the groups of its own failure domain.
type nearOnlyChooser struct {
	tableChooser
	domain int
}

func (n nearOnlyChooser) put(now time.Duration, i int, c Candidate) {
	if c.FailureDomain == fmt.Sprint(n.domain) {
		n.table.Put(now, c)
	}
}

func groupNumber(id string) int {
	i, _ := strconv.Atoi(strings.TrimPrefix(id, "group-"))
	return i
}

// baseline uses the ready groups and their last reports without any correction.
type baseline struct {
	groups []Candidate
	next   int
	pick   picker
}

type picker func(p *baseline, ready []int, prefix uint64, r *rand.Rand) int

func (p *baseline) begin(int) {}
func (p *baseline) end(int)   {}
func (p *baseline) put(_ time.Duration, i int, c Candidate) {
	for len(p.groups) <= i {
		p.groups = append(p.groups, Candidate{})
	}
	p.groups[i] = c
}

func (p *baseline) choose(_ time.Duration, prefix uint64, r *rand.Rand) int {
	var ready []int
	for i, c := range p.groups {
		if c.Ready {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		return -1
	}
	return p.pick(p, ready, prefix, r)
}

func roundRobin(p *baseline, ready []int, _ uint64, r *rand.Rand) int {
	if p.next == 0 {
		p.next = 1 + r.IntN(len(ready)) // fronts start at different groups
	}
	p.next++
	return ready[p.next%len(ready)]
}

func random(_ *baseline, ready []int, _ uint64, r *rand.Rand) int { return ready[r.IntN(len(ready))] }

func leastLoaded(p *baseline, ready []int, _ uint64, _ *rand.Rand) int {
	return slices.MinFunc(ready, func(a, b int) int {
		return p.groups[a].InFlight + p.groups[a].Queued - p.groups[b].InFlight - p.groups[b].Queued
	})
}

func rendezvous(p *baseline, ready []int, prefix uint64, _ *rand.Rand) int {
	best, weight := -1, uint64(0)
	for _, i := range ready {
		if w := mix(prefix ^ hashID(p.groups[i].ID)); best < 0 || w > weight {
			best, weight = i, w
		}
	}
	return best
}
