package grouping

import (
	"slices"
	"time"

	"github.com/skylarkpond/skylarkpond/contract/route"
)

// Limits of loads from the weight store.
const (
	// paceShare of the store's rate is used: a late order may add a load that was counted elsewhere.
	paceShare = 0.9
	// paceBurst is how many loads may begin together; with the rate it stays below the store's ceiling over any window.
	paceBurst = 3
	// earlyLoads is how many loads run beside each other before callers come: one group more than what the store
	// loads at full speed, so that it never idles.
	earlyLoads = 21
)

// loadPace counts the loads that were ordered. It is guarded by the Controller's lock.
type loadPace struct {
	tokens float64
	filled time.Time
	// ends are the expected ends of loads.
	ends []time.Time
}

func newLoadPace() *loadPace { return &loadPace{} }

// restart begins without any room: an earlier holder may just have used it.
func (p *loadPace) restart(now time.Time) {
	p.tokens = 0
	p.filled = now
	p.ends = nil
}

// room is how many loads may begin now. More of them beside each other than the store loads at full speed would not end
// sooner, and the first would end later.
func (p *loadPace) room(engine *route.Engine, now time.Time) int {
	p.fill(engine, now)
	return max(0, min(int(p.tokens), engine.LoadsAtOnce-p.inProgress(now)))
}

// earlyRoom is the same before callers come, when the rate does not count.
func (p *loadPace) earlyRoom(engine *route.Engine, now time.Time) int {
	return max(0, engine.LoadsAtOnce+earlyLoads-p.inProgress(now))
}

func (p *loadPace) fill(engine *route.Engine, now time.Time) {
	p.tokens = min(paceBurst, p.tokens+now.Sub(p.filled).Seconds()*engine.LoadsPerSecond*paceShare)
	p.filled = now
}

// take notes n loads that end at a time. Those before callers come do not draw on the rate.
func (p *loadPace) take(n int, end time.Time, early bool) {
	if !early {
		p.tokens -= float64(n)
	}
	for range n {
		p.ends = append(p.ends, end)
	}
}

// giveBack takes back a load that did not begin.
func (p *loadPace) giveBack(end time.Time) {
	if i := slices.Index(p.ends, end); i >= 0 {
		p.ends = slices.Delete(p.ends, i, i+1)
	}
}

func (p *loadPace) inProgress(now time.Time) int {
	live := p.ends[:0]
	for _, end := range p.ends {
		if end.After(now) {
			live = append(live, end)
		}
	}
	p.ends = live
	return len(live)
}
