package fleet

import (
	"time"

	"github.com/skylarkpond/skylarkpond/policy/fairqueue"
	"github.com/skylarkpond/skylarkpond/policy/internal/playback"
)

// homes dispatches requests through a home for each group, which holds the limit and the fair queue of the
// group. A front sends a request to the home of the less loaded of two random groups. If that home refuses
// it, the front picks one more time.
type homes struct {
	fleet *Fleet
	homes []*playback.Home
	// sentSinceReport counts the requests that each front sent to each group since the last load report.
	sentSinceReport [][]uint16
}

// Homes returns the factory of a dispatcher with a home for each group.
func Homes(newLimiter LimiterFactory) DispatcherFactory {
	return func(f *Fleet) dispatcher {
		h := &homes{fleet: f, sentSinceReport: make([][]uint16, f.cfg.Fronts)}
		for i := range h.sentSinceReport {
			h.sentSinceReport[i] = make([]uint16, f.cfg.Groups)
		}
		for _, engine := range f.engines {
			home := playback.NewHome(f.loop, engine, playback.NewFairQueue(fairqueue.Config{}), newLimiter(1), 0, 1, f.cfg.MeasureUntil)
			home.OnRefused = h.handleRefusal
			f.observe(engine)
			h.homes = append(h.homes, home)
		}
		f.loop.Every(f.cfg.LoadReportInterval, h.resetSent)
		return h
	}
}

func (h *homes) resetSent() {
	for _, sent := range h.sentSinceReport {
		clear(sent)
	}
}

func (h *homes) loadOf(group int) int { return h.homes[group].Load() }

func (h *homes) responseLatency() time.Duration { return h.fleet.cfg.HopLatency }

func (h *homes) accept(r *playback.Request) {
	r.Tries = 1
	h.send(r)
}

func (h *homes) send(r *playback.Request) {
	sent := h.sentSinceReport[r.Front]
	group := h.fleet.pickLessLoaded(len(h.homes), func(g int) int { return h.fleet.reportedLoad[g] + int(sent[g]) })
	sent[group]++
	h.fleet.loop.After(h.fleet.cfg.HopLatency, func() { h.homes[group].Offer(r) })
}

// maxAttempts is how often a request is offered to a home.
const maxAttempts = 2

// handleRefusal sends a refused request again, or refuses it to its caller after maxAttempts. Both happen
// once the refusal has reached the front.
func (h *homes) handleRefusal(r *playback.Request) {
	h.fleet.loop.After(h.fleet.cfg.HopLatency, func() {
		if r.Tries < maxAttempts {
			r.Tries++
			h.send(r)
			return
		}
		r.Outcome = playback.Refused
		r.Ended = h.fleet.loop.Now()
	})
}
