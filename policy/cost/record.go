package cost

import (
	"math"
	"time"
)

// This file learns from the answers of one kind.
//
// Load pattern: costs and errors of statements are spread over an order of magnitude, so that sums are dominated by few requests. On logarithms, both
// are close to normal, and a regression gives an extreme statement the weight that it has earned.

// record holds the weighted sums of a regression of y = log(actual) over x = log(stated). Without a statement x is 0, and the regression is the mean.
type record struct {
	weight, x, y, xx, xy float64
	// actual and fitted are the weighted sums of the costs, and of those that the regression gave before it learned each. Their ratio corrects for the
	// difference between the mean and the median.
	actual, fitted float64
	// teams holds the weight of each team.
	teams     map[string]float64
	decayedAt time.Duration
}

const (
	// priorWeight is the weight of the assumption that statements are right (a slope of 1), in units of answers of priorVariance.
	priorWeight = 10.0
	// priorVariance is the variance of the logarithm of statements that the assumption counts as: a spread of 0.5.
	priorVariance = 0.25
	// maxCorrection bounds the ratio between mean and median.
	maxCorrection = 2.0
)

func decayFactor(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-max(0, elapsed).Seconds() / halfLife.Seconds())
}

func (r *record) weightAt(now, halfLife time.Duration) float64 {
	return r.weight * decayFactor(now-r.decayedAt, halfLife)
}

// decay reduces the weight of what was learned by its age.
func (r *record) decay(now, halfLife time.Duration) {
	factor := decayFactor(now-r.decayedAt, halfLife)
	r.decayedAt = max(now, r.decayedAt)
	for _, sum := range []*float64{&r.weight, &r.x, &r.y, &r.xx, &r.xy, &r.actual, &r.fitted} {
		*sum *= factor
	}
	for team, weight := range r.teams {
		if weight *= factor; weight < negligible {
			delete(r.teams, team)
		} else {
			r.teams[team] = weight
		}
	}
}

// weightOf returns the weight of one more answer of a team, 1 at most.
func (r *record) weightOf(team string, config Config) float64 {
	others := r.weight - r.teams[team]
	bound := max(config.TeamWeight, others*config.MaxTeamShare/(1-config.MaxTeamShare))
	return min(1, max(0, bound-r.teams[team]))
}

func (r *record) learn(weight float64, s Sample) {
	if weight == 0 {
		return
	}
	x, y := 0.0, math.Log(s.Actual)
	if s.Stated > 0 {
		x = math.Log(s.Stated)
	}
	fitted := s.Actual
	if r.weight > 0 {
		fitted = math.Exp(r.fit(x))
	}
	r.actual += weight * s.Actual
	r.fitted += weight * fitted
	r.weight += weight
	r.x += weight * x
	r.y += weight * y
	r.xx += weight * x * x
	r.xy += weight * x * y
	r.teams[s.Team] += weight
}

// fit returns the expected logarithm of the cost.
func (r *record) fit(x float64) float64 {
	meanX, meanY := r.x/r.weight, r.y/r.weight
	varianceX, covariance := max(0, r.xx-r.x*meanX), r.xy-r.x*meanY
	prior := priorWeight * priorVariance
	slope := min(1.5, max(0, (covariance+prior)/(varianceX+prior)))
	return meanY + slope*(x-meanX)
}

// expect returns the expected cost of a request.
func (r *record) expect(stated float64) float64 {
	x := 0.0
	if stated > 0 {
		x = math.Log(stated)
	}
	correction := min(maxCorrection, max(1/maxCorrection, r.actual/r.fitted))
	return correction * math.Exp(r.fit(x))
}

// decayedMean is a mean whose older values count less.
type decayedMean struct {
	sum, weight float64
	at          time.Duration
}

func (m *decayedMean) add(now, halfLife time.Duration, value float64) {
	factor := decayFactor(now-m.at, halfLife)
	m.at = max(now, m.at)
	m.sum = m.sum*factor + value
	m.weight = m.weight*factor + 1
}

func (m *decayedMean) value() float64 { return m.sum / m.weight }
