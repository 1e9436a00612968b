package turns

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/skylarkpond/skylarkpond/policy/deadlines"
)

// This file keeps slots free for new requests while callers return after failed attempts.
//
// Load pattern: all entries lose power for a second. When they run again, the callers of that second return at once, beside the new ones, and nothing
// remembers them. They take all slots, and the new requests wait behind them until their answers are late as well, though capacity exceeds their rate.
// The answer of a returning caller is late in any case.
//
// A returning caller is recognized by the fingerprint of a request that was rejected, or by what is left of its deadline (package deadlines). It gets a
// slot only while the slots that new requests will occupy stay free, or while returning callers occupy fewer than a small share. One that can't
// have a slot soon is rejected at once, and told the next free place at the rate that new requests leave over. It is not new demand.

const (
	// minReturningShare is the share of a model's slots that returning callers may use however many new requests come, so that none starves.
	minReturningShare = 0.05
	// rateWindow is the time over which the rate of new requests is averaged. With 1 s, the surge of unrecognized returning callers kept slots from
	// the others for too long: 0.71 of them were served instead of 0.83.
	rateWindow = 400 * time.Millisecond
	// minRateAge is the shortest time over which it is averaged.
	minRateAge = 100 * time.Millisecond
	// storedRatePeriod is how long after the first request a stored rate is used if it is higher than the measured one: until then, not all
	// entries have connected.
	storedRatePeriod = 3 * time.Second
	// reserveDeviations is the number of standard deviations of the number of new requests in progress, as of a Poisson process, for which slots
	// are kept beyond its mean. With 2, 0.83 of the returning callers were served instead of 0.86, and as many new requests on time.
	reserveDeviations = 1
	// obeyedShare is the largest Retry-After that callers obey, as a share of their remaining deadline.
	obeyedShare = 1.0 / 3
	// returnSpread is the part of a Retry-After by which callers are spread that are all told the latest that they obey.
	returnSpread = 0.3
)

// ReturningSlots describes the slots of a model's returning callers.
type ReturningSlots struct {
	// Running is the number of their requests in progress, and Allowed the largest number at the moment.
	Running, Allowed int
	// PerSecond is the rate at which new requests leave places over.
	PerSecond float64
}

// ReturningCount counts the requests of returning callers to one model since the previous call of TakeReturning.
type ReturningCount struct {
	Model string
	// Recognized counts those recognized by their remaining deadline, and Remembered those by their fingerprint.
	Recognized, Remembered int
	Granted, Rejected      int
	// Bound is the lowest remaining deadline of new requests, by priority the lowest; 0 if unknown. NewPerSecond is the rate of new requests.
	Bound        time.Duration
	NewPerSecond float64
	ReturningSlots
}

// reserve is what is known of returning callers. A nil reserve is that of a scheduler that does not tell them apart.
type reserve struct {
	usual  *deadlines.Learner
	models map[string]*returningModel
	// turns maps the keys of the turns that returning callers use to the models.
	turns map[string]string
}

type returningModel struct {
	newRate rateEstimate
	running int
	pace    pace
	// promisedUntil is the time up to which places were promised to rejected returning callers.
	promisedUntil time.Duration
	count         ReturningCount
}

func newReserve() *reserve {
	return &reserve{usual: deadlines.New(), models: make(map[string]*returningModel), turns: make(map[string]string)}
}

func (r *reserve) model(name string) *returningModel {
	m := r.models[name]
	if m == nil {
		m = &returningModel{}
		r.models[name] = m
	}
	return m
}

// markReturning marks retries, and the requests of returning callers, which count as retries. A request that an entry sends again because its server
// failed is not one of a returning caller, who still waits for it, and neither is one whose remaining deadline is unknown.
func (s *Scheduler) markReturning(now time.Duration, request Request) Request {
	sentBefore := request.Retry
	request = s.markRetry(now, request)
	if s.reserve == nil || request.Optional || sentBefore || request.TimeLeft <= 0 || !s.hasGroup(request.Model) {
		return request
	}
	m := s.reserve.model(request.Model)
	m.newRate.begin(now)
	m.pace.note(request.Size)
	kind := deadlines.Kind{Model: request.Model, Priority: request.Priority}
	switch {
	case request.Retry:
		request.Returning = true
		if s.reserve.callersReturn(now, request.Model) {
			m.count.Remembered++
		}
	case len(request.TriedHeads) > 0:
		request.Returning = s.reserve.usual.Recognize(kind, request.Team, request.TimeLeft)
	default:
		request.Returning = s.reserve.usual.Observe(now, kind, request.Team, request.TimeLeft)
		if request.Returning && s.reserve.callersReturn(now, request.Model) {
			m.count.Recognized++
		} else {
			m.newRate.add(now)
		}
	}
	if request.Returning = request.Returning && s.reserve.callersReturn(now, request.Model); request.Returning {
		request.Retry, request.FirstTokenBudget, request.MaxWait = true, 0, MaxRetryWait
	}
	return request
}

// callersReturn reports whether callers may still return to a model whose attempts failed before this scheduler took over: until their deadlines have
// passed. In a shortage later on, slots that are kept free rejected hundreds of callers for good, and no more new requests
// were answered on time.
func (r *reserve) callersReturn(now time.Duration, model string) bool {
	return now-r.model(model).newRate.began < r.usual.Lowest(model)
}

func (s *Scheduler) hasGroup(model string) bool {
	for _, g := range s.groups {
		if !g.removed && g.Model == model {
			return true
		}
	}
	return false
}

// groupFor is bestGroup, but returns nil for the request of a returning caller while all free slots are kept for new ones.
func (s *Scheduler) groupFor(now time.Duration, request Request) *group {
	if request.Returning {
		slots := s.returningSlots(now, request.Model)
		if slots.Running >= slots.Allowed || now < s.reserve.model(request.Model).pace.next {
			return nil
		}
	}
	return s.bestGroup(now, request)
}

// returningSlots returns which slots returning callers use and may use. The number of new requests in progress is their rate times the duration of a
// turn (Little's law).
func (s *Scheduler) returningSlots(now time.Duration, model string) ReturningSlots {
	m := s.reserve.model(model)
	running, slots := s.slots(model)
	rate := m.newRate.at(now)
	expected := rate * s.model(model).meanTurnTime.Seconds()
	kept := max(expected+reserveDeviations*math.Sqrt(expected), float64(running-m.running))
	perSecond := 0.0
	for _, g := range s.groups {
		if !g.removed && !g.Standing.Blocked && g.Model == model && now >= g.suspectUntil {
			perSecond += s.sustainedRate(g, m.pace.size)
		}
	}
	return ReturningSlots{
		Running: m.running, Allowed: max(int(float64(slots)-kept), int(math.Ceil(minReturningShare*float64(slots)))),
		PerSecond: max(perSecond-rate, minReturningShare*perSecond),
	}
}

// returnWait estimates how long the request of a returning caller waits for a slot; 0 for others. It is beyond the longest wait if the answer would
// then come after the caller's deadline.
func (s *Scheduler) returnWait(now time.Duration, m *modelQueue, request Request) time.Duration {
	if !request.Returning {
		return 0
	}
	slots := s.returningSlots(now, request.Model)
	ahead := 0
	for _, w := range m.queue {
		if w.Returning && !request.precedes(w.Request) {
			ahead++
		}
	}
	missing := max(0, slots.Running-slots.Allowed+1+ahead)
	wait := max(perPlace(slots.PerSecond, missing), s.reserve.model(request.Model).pace.next-now+perPlace(slots.PerSecond, ahead))
	if wait <= 0 {
		return 0
	}
	if wait+m.meanTurnTime >= request.TimeLeft {
		return max(wait, MaxRetryWait+1)
	}
	return wait
}

// perPlace returns the time in which a number of places become free; maxPromise at most.
func perPlace(perSecond float64, places int) time.Duration {
	if perSecond <= 0 {
		return maxPromise
	}
	return min(maxPromise, time.Duration(float64(places)/perSecond*float64(time.Second)))
}

// describeReturn adds the slots of returning callers to a rejection, and replaces its Retry-After: each caller is told the next place after those
// promised to others, but no later than it obeys.
func (s *Scheduler) describeReturn(now time.Duration, request Request, d *Decision, random func() float64) {
	if !request.Returning {
		return
	}
	slots := s.returningSlots(now, request.Model)
	d.Returning = &slots
	if d.Reason != TooLate || d.Limits.Heads > 0 { // limited heads have promises of their own
		return
	}
	latest := max(s.config.MinRetryAfter, time.Duration(obeyedShare*float64(request.TimeLeft)))
	m := s.reserve.model(request.Model)
	next := max(m.promisedUntil, now+s.config.MinRetryAfter, now+s.returnWait(now, s.model(request.Model), request))
	if next-now > latest {
		d.RetryAfter = time.Duration((1 - returnSpread*random()) * float64(latest))
		return
	}
	m.promisedUntil = next + perPlace(slots.PerSecond, 1)
	d.RetryAfter = next - now
}

// returningGranted records a turn of a returning caller.
func (s *Scheduler) returningGranted(now time.Duration, request Request) {
	r := s.reserve
	if r == nil || !request.Returning {
		return
	}
	m := r.model(request.Model)
	m.pace.granted(now, s.returningSlots(now, request.Model).PerSecond)
	m.running++
	m.count.Granted++
	r.turns[request.Key] = request.Model
}

func (r *reserve) rejected(request Request) {
	if r != nil && request.Returning {
		r.model(request.Model).count.Rejected++
	}
}

// ended records the end of a turn.
func (r *reserve) ended(key string) {
	if r == nil {
		return
	}
	if model, ok := r.turns[key]; ok {
		delete(r.turns, key)
		r.model(model).running--
	}
}

// TakeReturning returns the counts of the models to which callers have returned since the last call, sorted by name.
func (s *Scheduler) TakeReturning(now time.Duration) []ReturningCount {
	if s.reserve == nil {
		return nil
	}
	var counts []ReturningCount
	for name, m := range s.reserve.models {
		count := m.count
		m.count = ReturningCount{}
		if count == (ReturningCount{}) {
			continue
		}
		count.Model, count.Bound, count.NewPerSecond = name, s.reserve.usual.Lowest(name), m.newRate.at(now)
		count.ReturningSlots = s.returningSlots(now, name)
		counts = append(counts, count)
	}
	slices.SortFunc(counts, func(a, b ReturningCount) int { return strings.Compare(a.Model, b.Model) })
	return counts
}

// rateEstimate is an exponentially weighted average of the rate of events, over the time since begin while that is short: right after the loss
// of all entries, returning callers that are not recognized take slots like new ones, and an average that starts at 0 would show that too late.
type rateEstimate struct {
	// perSecond is the sum of the events' weights at updatedAt, divided by rateWindow. began is when begin was first called.
	perSecond        float64
	updatedAt, began time.Duration
	started          bool
	// stored is the rate that an earlier scheduler measured.
	stored float64
}

// begin records that requests arrive, of whatever kind.
func (r *rateEstimate) begin(now time.Duration) {
	if !r.started {
		r.started, r.began = true, now
	}
}

func (r *rateEstimate) add(now time.Duration) {
	r.perSecond = r.decayed(now) + 1/rateWindow.Seconds()
	r.updatedAt = now
}

func (r *rateEstimate) decayed(now time.Duration) float64 {
	return r.perSecond * math.Exp(-(now-r.updatedAt).Seconds()/rateWindow.Seconds())
}

// at returns the rate at a time.
func (r *rateEstimate) at(now time.Duration) float64 {
	if !r.started {
		return r.stored
	}
	age := max(minRateAge, now-r.began)
	measured := r.decayed(now) / (1 - math.Exp(-age.Seconds()/rateWindow.Seconds()))
	if now-r.began < storedRatePeriod {
		return max(r.stored, measured)
	}
	return measured
}
