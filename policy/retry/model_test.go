package retry

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The model: fronts send requests to random servers, each with a few slots and a bounded queue. A try that
// has no answer in time is given up; what runs goes on running for nobody.
const (
	servers     = 20
	slots       = 4
	queueLength = 16
	serviceTime = 0.2 // seconds on average
	deadline    = 5 * time.Second
	fronts      = 4
	capacity    = servers * slots / serviceTime // requests a second
	noticed     = 2 * time.Second               // after which fronts leave a dead server out
	sec         = time.Second
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
	arrived time.Duration
	front   int
	number  int
	tried   []int
	done    bool
}

type server struct {
	busy   int
	queue  []func() // start of a try
	broken bool     // breaks what it is given
	dead   bool     // refuses connections
	life   int      // grows when it dies
	diedAt time.Duration
}

type scenario struct {
	name     string
	load     func(at time.Duration) float64
	events   func(at time.Duration, servers []*server)
	from, to time.Duration // requests that arrived in it are counted
	// tryTimeout is when a front gives a try up.
	tryTimeout time.Duration
}

// policy decides on another try.
type policy func(front int, now time.Duration, try Try, random float64) (time.Duration, bool)

type contender struct {
	name  string
	build func() (first func(front int, now time.Duration), again policy)
}

type result struct {
	sent, answered, tries int
	seconds               []float64
	possible              float64
}

func (r *result) lost() float64   { return 1 - float64(r.answered)/float64(r.sent) }
func (r *result) useful() float64 { return float64(r.answered) / r.possible }
func (r *result) perRequest() float64 {
	return float64(r.tries) / float64(r.sent)
}

func (r *result) at(share float64) time.Duration {
	if len(r.seconds) == 0 {
		return 0
	}
	slices.Sort(r.seconds)
	return time.Duration(r.seconds[int(share*float64(len(r.seconds)-1))] * 1e9)
}

func (r *result) String() string {
	return fmt.Sprintf("%4d | %4d | %5.1f | %5.1f | %4.2f", r.at(0.5).Milliseconds(), r.at(0.95).Milliseconds(),
		100*r.useful(), 100*r.lost(), r.perRequest())
}

type world struct {
	scenario
	now     time.Duration
	queue   events
	servers []*server
	first   func(int, time.Duration)
	again   policy
	random  *rand.Rand
	result
}

func play(s scenario, c contender) *result {
	w := &world{scenario: s, random: rand.New(rand.NewPCG(1, 1))}
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

func (w *world) after(wait time.Duration, do func()) { heap.Push(&w.queue, event{w.now + wait, do}) }

func (w *world) counted(r *request) bool { return r.arrived >= w.from && r.arrived < w.to }

func (w *world) arrive() {
	rate := w.load(w.now) * capacity
	gap := time.Duration(w.random.ExpFloat64() / rate * 1e9)
	w.after(gap, w.arrive)
	r := &request{arrived: w.now, front: w.random.IntN(fronts)}
	if w.counted(r) {
		w.sent++
		w.possible += math.Min(1, 1/w.load(w.now))
	}
	w.first(r.front, w.now)
	w.try(r)
}

func (w *world) try(r *request) {
	r.number++
	if w.counted(r) {
		w.tries++
	}
	i := w.random.IntN(servers)
	for slices.Contains(r.tried, i) || w.servers[i].dead && w.now > w.servers[i].diedAt+noticed {
		i = w.random.IntN(servers)
	}
	r.tried = append(r.tried, i)
	s := w.servers[i]
	if s.dead || len(s.queue) >= queueLength {
		w.failed(r, NotRun)
		return
	}
	over := false // of this try, for the front
	end := func(result Result) {
		if !over {
			over = true
			w.failed(r, result)
		}
	}
	w.after(w.tryTimeout, func() { end(MayHaveRun) })
	s.queue = append(s.queue, func() { w.run(s, r, &over, end) })
	w.start(s)
}

func (w *world) start(s *server) {
	for s.busy < slots && len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.busy++
		next()
	}
}

// run holds a slot for the service time, and then answers a front that still waits.
func (w *world) run(s *server, r *request, over *bool, end func(Result)) {
	takes := time.Duration(w.random.ExpFloat64() * serviceTime * 1e9)
	if s.broken {
		takes = 10 * time.Millisecond
	}
	life := s.life
	w.after(takes, func() {
		if s.life != life {
			end(MayHaveRun)
			return
		}
		s.busy--
		w.start(s)
		if s.broken {
			end(MayHaveRun)
			return
		}
		if !*over {
			*over = true
			w.answer(r)
		}
	})
}

func (w *world) answer(r *request) {
	if r.done || w.now-r.arrived > deadline {
		return
	}
	r.done = true
	if w.counted(r) {
		w.answered++
		w.seconds = append(w.seconds, (w.now - r.arrived).Seconds())
	}
}

func (w *world) failed(r *request, result Result) {
	try := Try{Result: result, Idempotent: true, Number: r.number, TimeLeft: deadline - (w.now - r.arrived)}
	wait, again := w.again(r.front, w.now, try, w.random.Float64())
	if again {
		w.after(wait, func() { w.try(r) })
	}
}

func none() (func(int, time.Duration), policy) {
	return func(int, time.Duration) {}, func(int, time.Duration, Try, float64) (time.Duration, bool) { return 0, false }
}

func blind() (func(int, time.Duration), policy) {
	return func(int, time.Duration) {}, func(_ int, _ time.Duration, try Try, _ float64) (time.Duration, bool) {
		return 0, try.Number <= 3 && try.TimeLeft > 0
	}
}

func budgeted(change func(*Config)) func() (func(int, time.Duration), policy) {
	return func() (func(int, time.Duration), policy) {
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
