package playback

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Team is a group of callers with a common share and priority.
type Team struct {
	Name     string
	Share    float64
	Priority int
	// TrafficWeight is the team's relative portion of the requests. The weights need not add up to 1.
	TrafficWeight float64
	// EstimateFactor scales the estimated work of the team's requests; a value below 1 understates it.
	EstimateFactor float64
}

// Teams returns count equal teams with a share of 1.
func Teams(count int) []*Team {
	teams := make([]*Team, count)
	for i := range teams {
		teams[i] = &Team{Name: fmt.Sprintf("team-%02d", i), Share: 1, TrafficWeight: 1, EstimateFactor: 1}
	}
	return teams
}

// Traffic describes the arriving requests.
type Traffic struct {
	Teams []*Team
	// Rate returns the arrival rate in requests per second at a time. It must not exceed MaxRate.
	Rate    func(at time.Duration) float64
	MaxRate float64
	// Prompt and Output are mean lengths in tokens. Lengths are exponentially distributed.
	Prompt, Output float64
	// LongFraction is the fraction of the requests that generate LongFactor times as many tokens as Output.
	LongFraction float64
	LongFactor   float64
	// EstimateError is the standard deviation of the logarithm of the ratio of estimated to actual work.
	EstimateError float64
	// Patience is how long a caller waits in addition to PatiencePerToken x the number of tokens that it requested.
	Patience         time.Duration
	PatiencePerToken time.Duration
	Seed             uint64
}

// MeanOutput returns the mean length of an answer in tokens.
func (t *Traffic) MeanOutput() float64 {
	return t.Output * (1 - t.LongFraction + t.LongFraction*t.LongFactor)
}

// MeanWork returns the mean work of a request in tokens.
func (t *Traffic) MeanWork() float64 { return t.MeanOutput() + t.Prompt/promptTokensPerWork }

// Requests returns the requests that arrive up to the time until, in order of arrival.
func (t *Traffic) Requests(until time.Duration) []*Request {
	random := rand.New(rand.NewPCG(t.Seed, 0x5eed))
	total := 0.0
	for _, team := range t.Teams {
		total += team.TrafficWeight
	}
	var requests []*Request
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / t.MaxRate * float64(time.Second))
		if at > until {
			return requests
		}
		if random.Float64()*t.MaxRate > t.Rate(at) {
			continue
		}
		r := t.request(random, t.pickTeam(random.Float64()*total))
		r.ID = fmt.Sprintf("r%d", len(requests))
		r.Arrived = at
		requests = append(requests, r)
	}
}

func (t *Traffic) pickTeam(point float64) *Team {
	for _, team := range t.Teams {
		point -= team.TrafficWeight
		if point < 0 {
			return team
		}
	}
	return t.Teams[len(t.Teams)-1]
}

func (t *Traffic) request(random *rand.Rand, team *Team) *Request {
	output := t.Output
	if random.Float64() < t.LongFraction {
		output *= t.LongFactor
	}
	r := &Request{
		Team:   team,
		Prompt: 1 + int(random.ExpFloat64()*t.Prompt),
		Output: 1 + int(random.ExpFloat64()*output),
		Jitter: random.Float64(),
	}
	r.Patience = t.Patience + time.Duration(r.Output)*t.PatiencePerToken
	estimate := float64(r.Work()) * team.EstimateFactor * math.Exp(random.NormFloat64()*t.EstimateError)
	r.Estimate = 1 + int(estimate)
	return r
}
