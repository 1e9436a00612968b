// Package cost estimates how much work a request is for the server that answers it: the tokens of its answer, or the time that a plain server
// takes. Requests are of the same kind if they are for the same service, model and route.
//
// Load pattern: requests that look alike differ tenfold in the length of their answers. Callers state an estimate, which is right at the median and
// often off by a factor of two, or only an upper bound, or nothing. Some kinds of requests change their habits within minutes, one team may send most
// of the requests of a kind, and while servers fail many answers end early.
//
// Taken as stated, long answers are underestimated as often as short ones are overestimated, although a statement far from the usual is more likely an
// error than an extraordinary request. Learned from every answer, those that broke off make all requests look short just when servers fail; learned
// without regard to teams, one caller's batch decides for all others.
//
// Therefore each kind learns by itself, from complete answers alone, how the logarithm of the actual cost depends on that of the stated one (a weighted
// linear regression), and scales the result so that the sums of expected and actual costs agree. Weights halve with each half-life, and one team's
// weight in a kind is bounded. A kind without enough answers uses those of its model, then of its service, then what the request states or the
// configuration calls usual.
//
// Times are durations since an arbitrary fixed moment. An Estimator is not safe for concurrent use.
package cost

import (
	"maps"
	"math"
	"time"
)

// Kind identifies requests whose costs are learned together.
type Kind struct {
	Service string
	// Model is empty for plain services.
	Model string
	Route string
}

// Config holds the settings of an Estimator.
type Config struct {
	// HalfLife is the time in which the weight of an answer halves.
	HalfLife time.Duration
	// MinWeight is the weight of answers from which on they are used.
	MinWeight float64
	// MaxTeamShare bounds one team's share of the weight of a kind, once the team's weight exceeds TeamWeight.
	MaxTeamShare, TeamWeight float64
}

// DefaultConfig returns the default settings. A minute holds hundreds of answers of the rarest kinds of the deployments known, and is short against the
// hours in which habits change. Twenty answers of one team give the mean of a cost of the usual spread within about 15%.
func DefaultConfig() Config {
	return Config{HalfLife: time.Minute, MinWeight: 5, MaxTeamShare: 0.4, TeamWeight: 20}
}

// Sample is the cost of one request that was answered.
type Sample struct {
	Kind Kind
	// Team is the one that sent the request; empty if it has none.
	Team string
	// Stated is the cost that the caller stated, in the unit of Actual; 0 if it stated none.
	Stated float64
	// Actual is the cost, in tokens or seconds.
	Actual float64
	// Complete is set if the answer was complete. Others are not learned.
	Complete bool
}

// Estimator learns the costs of requests.
type Estimator struct {
	config  Config
	records map[recordKey]*record
	errors  map[Kind]*decayedMean
	sweepAt time.Duration
}

// recordKey identifies the answers of one kind, or of a model or service if the route or also the model is empty and level says so. Requests that
// state a cost and those that state none are learned apart.
type recordKey struct {
	Kind
	level  level
	stated bool
}

type level uint8

const (
	ofKind level = iota
	ofModel
	ofService
	levels
)

// New returns an Estimator that has learned nothing.
func New(config Config) *Estimator {
	return &Estimator{config: config, records: make(map[recordKey]*record), errors: make(map[Kind]*decayedMean)}
}

// keyAt returns the key of the record that a request belongs to at a level.
func keyAt(kind Kind, at level, stated bool) recordKey {
	if at >= ofModel {
		kind.Route = ""
	}
	if at >= ofService {
		kind.Model = ""
	}
	return recordKey{Kind: kind, level: at, stated: stated}
}

// Expect returns the expected cost of a request. stated is what its caller states and usual what the configuration calls usual, in the same unit; 0
// if there is none. The result is 0 if nothing is known.
func (e *Estimator) Expect(now time.Duration, kind Kind, stated, usual float64) float64 {
	for at := ofKind; at < levels; at++ {
		if r := e.records[keyAt(kind, at, stated > 0)]; r != nil && r.weightAt(now, e.config.HalfLife) >= e.config.MinWeight {
			return r.expect(stated)
		}
	}
	if stated > 0 {
		return stated
	}
	return usual
}

// Learn records a sample, and the error of the estimate that Expect returns for it. Incomplete answers are ignored.
func (e *Estimator) Learn(now time.Duration, s Sample) {
	if !s.Complete || !(s.Actual > 0) || math.IsInf(s.Actual, 0) || s.Stated < 0 || math.IsNaN(s.Stated) || math.IsInf(s.Stated, 0) {
		return
	}
	e.noteError(now, s)
	for at := ofKind; at < levels; at++ {
		key := keyAt(s.Kind, at, s.Stated > 0)
		r := e.records[key]
		if r == nil {
			r = &record{teams: make(map[string]float64), decayedAt: now}
			e.records[key] = r
		}
		r.decay(now, e.config.HalfLife)
		r.learn(r.weightOf(s.Team, e.config), s)
	}
	e.sweep(now)
}

func (e *Estimator) noteError(now time.Duration, s Sample) {
	expected := e.Expect(now, s.Kind, s.Stated, 0)
	if expected == 0 {
		return
	}
	mean := e.errors[s.Kind]
	if mean == nil {
		mean = &decayedMean{at: now}
		e.errors[s.Kind] = mean
	}
	mean.add(now, e.config.HalfLife, math.Abs(expected-s.Actual)/s.Actual)
}

// ErrorOf returns how far the estimates for a kind were off of late: the mean of |expected - actual| / actual, each answer being estimated before it
// was learned. It returns false if nothing is known.
func (e *Estimator) ErrorOf(kind Kind) (float64, bool) {
	mean := e.errors[kind]
	if mean == nil {
		return 0, false
	}
	return mean.value(), true
}

// negligible is the weight below which a record is forgotten: kinds come and go with the configuration.
const negligible = 0.01

// sweep forgets what has decayed, once in a half-life.
func (e *Estimator) sweep(now time.Duration) {
	if now < e.sweepAt {
		return
	}
	e.sweepAt = now + e.config.HalfLife
	maps.DeleteFunc(e.records, func(_ recordKey, r *record) bool { return r.weightAt(now, e.config.HalfLife) < negligible })
	maps.DeleteFunc(e.errors, func(_ Kind, m *decayedMean) bool {
		return m.weight*decayFactor(now-m.at, e.config.HalfLife) < negligible
	})
}
