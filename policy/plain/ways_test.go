package plain_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/policy/internal/playback"
	"github.com/skylarkpond/skylarkpond/policy/plain"
)

func TestPlain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "plain")
}

// deployment is a plain service: its servers run slots requests at once and queue 24 more.
type deployment struct {
	entries, servers int
	perSecond        float64
	service          time.Duration
}

const (
	slots     = 6
	queueSize = 24
	length    = 60 * time.Second
	// messageTime is the time of a message between an entry and the leader or a server.
	messageTime = 2 * time.Millisecond
)

// trouble returns which share of its requests a server rejects at a time, and by which factor it is slower than usual.
type trouble func(now time.Duration, server int) (rejects, slower float64)

// way is how servers are chosen.
type way int

const (
	// today: each entry takes the server with the least own requests in progress or stated load, rejections are not remembered.
	today way = iota
	// joined: one place chooses by all requests in progress.
	joined
	// apart: as today, and joined while one server rejects more than the others, which is then set apart.
	apart
	// perfect knows the true load, and which servers reject.
	perfect
	ways
)

var wayNames = [ways]string{"today", "joined", "joined if apart", "perfect"}

type view struct {
	running, reported, sentSince [8]int
	reportedAt                   [8]time.Duration
}

type server struct{ running, queued int }

// trial runs callers against the servers in virtual time. A rejected request is sent to one other server.
type trial struct {
	playback.Loop
	deployment
	way                                      way
	trouble                                  trouble
	r                                        *rand.Rand
	servers                                  []server
	waiting                                  [8][]func()
	entries                                  []view
	leader                                   view
	arrivals, rejected, lost, requests, late int
	// pool is what the leader knows, and told whether entries have heard that they are to ask it. joinedFor counts the requests for which they did.
	pool      *plain.Pool
	told      bool
	joinedFor int
}

// note tells the leader how a request ended, and the entries what follows.
func (t *trial) note(server int, rejected bool) {
	t.After(messageTime, func() {
		if rejected {
			t.pool.Note(t.Now(), fmt.Sprint(server), 0, 1)
		} else {
			t.pool.Note(t.Now(), fmt.Sprint(server), 1, 0)
		}
		if joined := t.pool.Joined(); joined != t.told {
			t.After(messageTime, func() { t.told = joined })
		}
	})
}

func (t *trial) choose(v *view, tried int) int {
	best, bestScore := -1, math.Inf(1)
	consider := func(i int, score float64) {
		if i != tried && score < bestScore {
			best, bestScore = i, score
		}
	}
	own := func(i int) float64 {
		taken := v.running[i]
		if t.Now()-v.reportedAt[i] < 2*time.Second {
			taken = max(taken, v.reported[i]+v.sentSince[i])
		}
		return float64(taken) / slots
	}
	order := t.r.Perm(len(t.servers))
	for _, i := range order {
		switch t.way {
		case today:
			consider(i, own(i)+0.05*t.r.Float64())
		case joined:
			consider(i, float64(v.running[i])/slots)
		case apart:
			if v == &t.leader {
				consider(i, t.pool.Score(t.Now(), fmt.Sprint(i), v.running[i], slots, tried >= 0))
			} else {
				consider(i, own(i)+0.05*t.r.Float64())
			}
		case perfect:
			rejects, slower := t.trouble(t.Now(), i)
			consider(i, 10*rejects+slower*float64(1+t.servers[i].running+t.servers[i].queued)/slots)
		}
	}
	return best
}

func (t *trial) send(entry, tried, attempt int, since time.Duration) {
	v, delay := &t.entries[entry], messageTime
	if t.way == joined || t.way == apart && t.told {
		v, delay = &t.leader, 3*messageTime // there, back, and to the server
	}
	i := t.choose(v, tried)
	if v == &t.leader {
		t.joinedFor++
		t.pool.Granted(t.Now(), fmt.Sprint(i))
	}
	v.running[i]++
	v.sentSince[i]++
	ended := func(rejected bool, load int) {
		t.After(messageTime, func() {
			v.running[i]--
			t.note(i, rejected)
			v.reported[i], v.reportedAt[i], v.sentSince[i] = load, t.Now(), 0
			switch {
			case rejected && attempt == 1:
				t.send(entry, i, 2, since)
			case rejected:
				t.lost++
			case t.Now()-since > 200*time.Millisecond:
				t.late++
			}
		})
	}
	t.After(delay, func() {
		t.arrivals++
		rejects, _ := t.trouble(t.Now(), i)
		s := &t.servers[i]
		if t.r.Float64() < rejects || s.queued >= queueSize {
			t.rejected++
			ended(true, s.running+s.queued)
			return
		}
		run := func() {
			s.running++
			_, slower := t.trouble(t.Now(), i)
			t.After(time.Duration(float64(t.service)*slower*(0.5+t.r.Float64())), func() {
				s.running--
				ended(false, s.running+s.queued)
				if s.queued > 0 {
					next := t.waiting[i][0]
					t.waiting[i] = t.waiting[i][1:]
					s.queued--
					next()
				}
			})
		}
		if s.running < slots {
			run()
			return
		}
		s.queued++
		t.waiting[i] = append(t.waiting[i], run)
	})
}

// play returns the trial after its end.
func play(d deployment, w way, trouble trouble, seed uint64) *trial {
	t := &trial{deployment: d, way: w, trouble: trouble, r: rand.New(rand.NewPCG(seed, 5)), servers: make([]server, d.servers), entries: make([]view, d.entries), pool: plain.NewPool()}
	listed := make(map[string]bool)
	for i := range d.servers {
		listed[fmt.Sprint(i)] = true
	}
	t.pool.SetServers(listed)
	var arrive func()
	arrive = func() {
		t.requests++
		t.send(t.r.IntN(d.entries), -1, 1, t.Now())
		if next := time.Duration(t.r.ExpFloat64() / d.perSecond * float64(time.Second)); t.Now()+next < length {
			t.After(next, arrive)
		}
	}
	t.After(0, arrive)
	t.Run(2 * length)
	return t
}

var (
	northline = deployment{entries: 143, servers: 4, perSecond: 46.4, service: 30 * time.Millisecond}
	afca      = deployment{entries: 89, servers: 7, perSecond: 46.3, service: 60 * time.Millisecond}
)

// one is trouble of the first server, from and to a time.
func one(from, to time.Duration, rejects, slower float64) trouble {
	return func(now time.Duration, i int) (float64, float64) {
		if i == 0 && now >= from && now < to {
			return rejects, slower
		}
		return 0, 1
	}
}

// all is trouble of all servers.
func all(trouble trouble) trouble {
	return func(now time.Duration, _ int) (float64, float64) { return trouble(now, 0) }
}

var troubles = map[string]trouble{
	"none": one(0, 0, 0, 1), "one rejects 60%": one(0, length, 0.6, 1), "one rejects 30%": one(0, length, 0.3, 1),
	"each rejects all for 10 s in turn": func(now time.Duration, i int) (float64, float64) {
		return one(0, 10*time.Second, 1, 1)(now-time.Duration(i)*10*time.Second, 0)
	},
	"one is 40 times slower for 20 s": one(20*time.Second, 40*time.Second, 0, 40),
	"all reject 15%":                  all(one(0, 2*length, 0.15, 1)), "all reject 60%": all(one(0, 2*length, 0.6, 1)),
	"all reject all for 10 s": all(one(10*time.Second, 20*time.Second, 1, 1)),
}

var _ = Describe("Requests to plain servers", func() {
	// Guards against a choice that keeps sending requests to a server that rejects them.
	It("are rejected less than once in 25 if one place hears of all rejections", func() {
		for name, deployment := range map[string]deployment{"northline": northline, "afca": afca} {
			for _, trouble := range slices.Sorted(maps.Keys(troubles)) {
				for w := range ways {
					var arrivals, rejected, lost, late, requests, joinedFor int
					for seed := range uint64(3) {
						t := play(deployment, w, troubles[trouble], seed+1)
						arrivals, rejected, lost, late, requests = arrivals+t.arrivals, rejected+t.rejected, lost+t.lost, late+t.late, requests+t.requests
						joinedFor += t.joinedFor
					}
					share := float64(rejected) / float64(arrivals)
					GinkgoWriter.Println(fmt.Sprintf("%-9s %-34s %-19s rejected %5.2f%% of arrivals, lost %5.2f%%, late %5.2f%% of requests, %5.2f%% chosen at one place",
						name, trouble, wayNames[w], 100*share, 100*float64(lost)/float64(requests), 100*float64(late)/float64(requests), 100*float64(joinedFor)/float64(arrivals)))
					if w == apart && !strings.HasPrefix(trouble, "all reject") {
						Expect(share).To(BeNumerically("<", 0.04), name+", "+trouble)
					}
					if w == apart && (trouble == "none" || strings.HasPrefix(trouble, "all reject")) {
						Expect(float64(joinedFor)/float64(arrivals)).To(BeNumerically("<", 0.02), name+", "+trouble)
					}
				}
			}
		}
	})
})
