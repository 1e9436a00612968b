package fleet

import (
	"time"

	"github.com/skylarkpond/skylarkpond/policy/fairqueue"
	"github.com/skylarkpond/skylarkpond/policy/internal/playback"
)

// homes is a home for each group: it holds the limit and the fair queue. A front sends a request to the home of
// the less loaded of two groups; if that refuses, to one other.
type homes struct {
	fleet *Fleet
	homes []*playback.Home
	// sent is what each front sent to a group since it last heard of its load.
	sent [][]uint16
}

// Homes returns the dispatcher with a home for each group.
func Homes(limits LimiterFactory) DispatcherFactory {
	return func(f *Fleet) dispatcher {
		h := &homes{fleet: f, sent: make([][]uint16, f.cfg.Fronts)}
		for i := range h.sent {
			h.sent[i] = make([]uint16, f.cfg.Groups)
		}
		for _, engine := range f.engines {
			home := playback.NewHome(f.loop, engine, playback.NewFair(fairqueue.Config{}), limits(1), 0, 1, f.cfg.MeasureUntil)
			home.Refused = h.refused
			f.observe(engine)
			h.homes = append(h.homes, home)
		}
		f.loop.Every(f.cfg.LoadReportAge, h.forget)
		return h
	}
}

func (h *homes) forget() {
	for _, sent := range h.sent {
		clear(sent)
	}
}

func (h *homes) load(group int) int { return h.homes[group].Load() }

func (h *homes) wayBack() time.Duration { return h.fleet.cfg.HopLatency }

func (h *homes) arrive(r *playback.Request) {
	r.Tries = 1
	h.send(r)
}

func (h *homes) send(r *playback.Request) {
	sent := h.sent[r.Front]
	group := h.fleet.pick(len(h.homes), func(g int) int { return h.fleet.known[g] + int(sent[g]) })
	sent[group]++
	h.fleet.loop.After(h.fleet.cfg.HopLatency, func() { h.homes[group].Offer(r) })
}

// tries is how many homes a request is offered to.
const tries = 2

// refused sends a request once more, or tells its caller, after the way back to the front.
func (h *homes) refused(r *playback.Request) {
	h.fleet.loop.After(h.fleet.cfg.HopLatency, func() {
		if r.Tries < tries {
			r.Tries++
			h.send(r)
			return
		}
		r.Outcome = playback.Refused
		r.Ended = h.fleet.loop.Now()
	})
}
