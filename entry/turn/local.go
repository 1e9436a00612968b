package turn

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
)

// Local gives turns by what this entry itself knows: the registrations, its own requests in progress, and the load that
// servers tell in their answers.
type Local struct {
	listing func() *backend.Listing
	// age is how long ago the listing was last known to be current.
	age   func() time.Duration
	table func() *route.Table

	mu    sync.Mutex // guards loads; a leaf lock
	loads map[backend.ID]*load
}

// load is what is known of one server's load.
type load struct {
	inFlight int
	// told is what the server said, running and waiting, at toldAt; sent counts the sends since.
	told    int
	toldAt  time.Time
	sent    int
	avoid   time.Time
	failure float64
	failed  time.Time
}

const (
	// toldFor is how long a told load counts.
	toldFor = 2 * time.Second
	// avoidUnreachable, avoidSilent: how long a server is left out after it could not be reached, or kept silent.
	avoidUnreachable = time.Second
	avoidSilent      = 2 * time.Second
	// failureHalf is the time in which the memory of failures fades to a half.
	failureHalf = 2 * time.Second
	// failureWeight makes a server that fails each request look as loaded as one that is full.
	failureWeight = 1.0
	// overhang is how many requests may wait at a group beyond its places: the time until one comes free is below the objective.
	overhang = 3
)

// NewLocal returns a Local.
func NewLocal(listing func() *backend.Listing, age func() time.Duration, table func() *route.Table) *Local {
	return &Local{listing: listing, age: age, table: table, loads: make(map[backend.ID]*load)}
}

// Acquire implements Source.
func (l *Local) Acquire(_ context.Context, ask Request) (*Turn, *Refusal) {
	candidates := l.candidates(ask)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var best *backend.Server
	bestScore := 0.0
	usable := 0
	for _, server := range candidates {
		load := l.of(server.ID)
		if now.Before(load.avoid) || slices.Contains(ask.Tried, server.ID) {
			continue
		}
		usable++
		score := load.score(now, max(1, server.Slots))
		if score < 0 {
			continue
		}
		score += rand.Float64() * 0.05 // spreads equals
		if best == nil || score < bestScore {
			best, bestScore = server, score
		}
	}
	if best == nil {
		reason := NoServer
		if usable > 0 {
			reason = Full
		}
		detail := fmt.Sprintf("%d servers listed, %d usable, listing %d", len(candidates), usable, l.listing().Revision)
		return nil, &Refusal{Reason: reason, RetryAfter: retryAfter(reason), Detail: detail}
	}
	t := l.grant(best)
	t.Basis = Basis{Revision: l.listing().Revision, Age: l.age()}
	return t, nil
}

// retryAfter is spread, so that requests that were refused together do not return together.
func retryAfter(reason Reason) time.Duration {
	if reason == Full {
		return 200*time.Millisecond + rand.N(400*time.Millisecond)
	}
	return 600*time.Millisecond + rand.N(800*time.Millisecond)
}

// of is called under the lock.
func (l *Local) of(id backend.ID) *load {
	held := l.loads[id]
	if held == nil {
		held = &load{}
		l.loads[id] = held
	}
	return held
}

// score is the share of the places that is taken, with the memory of failures on top; negative for a full server.
func (l *load) score(now time.Time, slots int) float64 {
	taken := l.inFlight
	if now.Sub(l.toldAt) < toldFor {
		taken = max(taken, l.told+l.sent)
	}
	if taken >= slots+overhang {
		return -1
	}
	return float64(taken)/float64(slots) + failureWeight*l.fading(now)
}

func (l *load) fading(now time.Time) float64 {
	halves := now.Sub(l.failed).Seconds() / failureHalf.Seconds()
	if halves > 10 {
		return 0
	}
	return l.failure / float64(int(1)<<int(halves))
}

func (l *Local) candidates(ask Request) []*backend.Server {
	servers := l.listing().ByService[ask.Service]
	table := l.table()
	if table == nil {
		return nil
	}
	engine := table.Services[ask.Service].Engine
	if engine == nil || len(engine.Models) == 0 {
		return slices.DeleteFunc(slices.Clone(servers), func(s *backend.Server) bool { return s.Leaving })
	}
	return Heads(servers, engine, ask.Model, nil)
}

// Heads returns the heads of the whole, open groups of a model: every member is registered, in the group, and not leaving. vouched is how many
// members of a group are there although they are not registered; nil for none. It may be out of date, and never stands for the head.
func Heads(servers []*backend.Server, engine *route.Engine, modelName string, vouched func(backend.GroupKey) int) []*backend.Server {
	model, ok := engine.Model(modelName)
	if !ok {
		return nil
	}
	members := make(map[backend.GroupKey]int)
	for _, server := range servers {
		if server.Group.Name != "" && !server.Leaving {
			members[server.Group.GroupKey]++
		}
	}
	var heads []*backend.Server
	for _, server := range servers {
		if server.Group.State != backend.GroupOpen || server.Model != modelName || server.Leaving {
			continue
		}
		present := members[server.Group.GroupKey]
		if present < model.Size && vouched != nil {
			present += vouched(server.Group.GroupKey)
		}
		if present == model.Size {
			heads = append(heads, server)
		}
	}
	return heads
}

// Track notes a turn that another gave.
func (l *Local) Track(server *backend.Server) *Turn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.grant(server)
}

// grant is called under the lock.
func (l *Local) grant(server *backend.Server) *Turn {
	load := l.of(server.ID)
	load.inFlight++
	load.sent++
	return &Turn{
		Server: server,
		ReportLoad: func(running, waiting, _ int) {
			l.mu.Lock()
			defer l.mu.Unlock()
			load.told, load.toldAt, load.sent = running+waiting, time.Now(), 0
		},
		ReportStall: func() {},
		Done:        func(result Result) { l.done(load, result) },
	}
}

func (l *Local) done(load *load, result Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	load.inFlight--
	switch {
	case result.Unreachable:
		load.avoid = now.Add(avoidUnreachable)
	case result.Stalled:
		load.avoid = now.Add(avoidSilent)
	case result.Failed:
		load.failure = min(1, load.fading(now)+0.3)
		load.failed = now
	}
}

// Sweep forgets servers that are no longer registered.
func (l *Local) Sweep() {
	known := l.listing().Servers
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, load := range l.loads {
		if known[id] == nil && load.inFlight == 0 {
			delete(l.loads, id)
		}
	}
}
