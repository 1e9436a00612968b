package retry

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Simulation: fronts send requests to random servers, each with a few slots and a bounded queue. A front gives up a
// try that is not answered in time, but the server still completes it.
const (
	servers        = 20
	slots          = 4
	queueLength    = 16
	serviceTime    = 0.2 // mean, in seconds
	deadline       = 5 * time.Second
	fronts         = 4
	capacity       = servers * slots / serviceTime // requests per second
	detectionDelay = 2 * time.Second               // until fronts stop using a dead server
	sec            = time.Second
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
	arrived  time.Duration
	front    int
	attempts int
	tried    []int
	done     bool
}

type server struct {
	busy       int
	queue      []func() // each element starts a try
	broken     bool     // fails every request
	dead       bool     // refuses connections
	generation int      // incremented when it dies
	diedAt     time.Duration
}

type scenario struct {
	name     string
	load     func(at time.Duration) float64
	events   func(at time.Duration, servers []*server)
	from, to time.Duration // interval of arrivals that are measured
	// tryTimeout is how long a front waits for the answer to a try.
	tryTimeout time.Duration
}

// retryPolicy decides on a retry.
type retryPolicy func(front int, now time.Duration, try Try, random float64) (time.Duration, bool)

// strategy builds a retry policy: first records the first try of a request, and again decides on a retry.
type strategy struct {
	name  string
	build func() (first func(front int, now time.Duration), again retryPolicy)
}

type result struct {
	sent, answered, tries int
	latencies             []float64
	maxAnswered           float64
}

func (r *result) lossRatio() float64 { return 1 - float64(r.answered)/float64(r.sent) }
func (r *result) goodput() float64   { return float64(r.answered) / r.maxAnswered }
func (r *result) triesPerRequest() float64 {
	return float64(r.tries) / float64(r.sent)
}

func (r *result) latency(share float64) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	slices.Sort(r.latencies)
	return time.Duration(r.latencies[int(share*float64(len(r.latencies)-1))] * 1e9)
}

func (r *result) String() string {
	return fmt.Sprintf("%4d | %4d | %5.1f | %5.1f | %4.2f", r.latency(0.5).Milliseconds(), r.latency(0.95).Milliseconds(),
		100*r.goodput(), 100*r.lossRatio(), r.triesPerRequest())
}

// cluster is the state of a simulation run.
type cluster struct {
	scenario
	now     time.Duration
	queue   events
	servers []*server
	first   func(int, time.Duration)
	again   retryPolicy
	random  *rand.Rand
	result
}

func simulate(s scenario, c strategy) *result {
	w := &cluster{scenario: s, random: rand.New(rand.NewPCG(1, 1))}
	w.first, w.again = c.build()
	for range servers {
		w.servers = append(w.servers, &server{})
	}
	w.after(0, w.arrive)
	for len(w.queue) > 0 && w.now < s.to+deadline {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		if s.events != nil {
			s.events(w.now, w.servers)
		}
		next.do()
	}
	return &w.result
}

func (w *cluster) after(wait time.Duration, do func()) { heap.Push(&w.queue, event{w.now + wait, do}) }

func (w *cluster) measured(r *request) bool { return r.arrived >= w.from && r.arrived < w.to }

func (w *cluster) arrive() {
	rate := w.load(w.now) * capacity
	gap := time.Duration(w.random.ExpFloat64() / rate * 1e9)
	w.after(gap, w.arrive)
	r := &request{arrived: w.now, front: w.random.IntN(fronts)}
	if w.measured(r) {
		w.sent++
		w.maxAnswered += math.Min(1, 1/w.load(w.now))
	}
	w.first(r.front, w.now)
	w.try(r)
}

func (w *cluster) try(r *request) {
	r.attempts++
	if w.measured(r) {
		w.tries++
	}
	i := w.random.IntN(servers)
	for slices.Contains(r.tried, i) || w.servers[i].dead && w.now > w.servers[i].diedAt+detectionDelay {
		i = w.random.IntN(servers)
	}
	r.tried = append(r.tried, i)
	s := w.servers[i]
	if s.dead || len(s.queue) >= queueLength {
		w.failed(r, NotRun)
		return
	}
	ended := false // whether the front is done with this try
	end := func(result Result) {
		if !ended {
			ended = true
			w.failed(r, result)
		}
	}
	w.after(w.tryTimeout, func() { end(MayHaveRun) })
	s.queue = append(s.queue, func() { w.run(s, r, &ended, end) })
	w.start(s)
}

func (w *cluster) start(s *server) {
	for s.busy < slots && len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.busy++
		next()
	}
}

// run occupies a slot for the service time, and then answers the front if it still waits.
func (w *cluster) run(s *server, r *request, ended *bool, end func(Result)) {
	duration := time.Duration(w.random.ExpFloat64() * serviceTime * 1e9)
	if s.broken {
		duration = 10 * time.Millisecond
	}
	generation := s.generation
	w.after(duration, func() {
		if s.generation != generation {
			end(MayHaveRun)
			return
		}
		s.busy--
		w.start(s)
		if s.broken {
			end(MayHaveRun)
			return
		}
		if !*ended {
			*ended = true
			w.answer(r)
		}
	})
}

func (w *cluster) answer(r *request) {
	if r.done || w.now-r.arrived > deadline {
		return
	}
	r.done = true
	if w.measured(r) {
		w.answered++
		w.latencies = append(w.latencies, (w.now - r.arrived).Seconds())
	}
}

func (w *cluster) failed(r *request, result Result) {
	try := Try{Result: result, Idempotent: true, Number: r.attempts, TimeLeft: deadline - (w.now - r.arrived)}
	wait, again := w.again(r.front, w.now, try, w.random.Float64())
	if again {
		w.after(wait, func() { w.try(r) })
	}
}

func noRetries() (func(int, time.Duration), retryPolicy) {
	return func(int, time.Duration) {}, func(int, time.Duration, Try, float64) (time.Duration, bool) { return 0, false }
}

func blindRetries() (func(int, time.Duration), retryPolicy) {
	return func(int, time.Duration) {}, func(_ int, _ time.Duration, try Try, _ float64) (time.Duration, bool) {
		return 0, try.Number <= 3 && try.TimeLeft > 0
	}
}

func budgeted(change func(*Config)) func() (func(int, time.Duration), retryPolicy) {
	return func() (func(int, time.Duration), retryPolicy) {
		config := DefaultConfig()
		if change != nil {
			change(&config)
		}
		var budgets []*Budget
		for range fronts {
			budgets = append(budgets, NewBudget(config, 0))
		}
		first := func(front int, now time.Duration) { budgets[front].FirstTry(now) }
		return first, func(front int, now time.Duration, try Try, random float64) (time.Duration, bool) {
			d := budgets[front].Decide(now, try, random)
			return d.Wait, d.Reason == Again
		}
	}
}
