package playback

import (
	"math"
	"slices"
	"time"
)

// Summary describes the outcome of a run as its callers observe it.
type Summary struct {
	Offered, Answered, Refused, Late int
	// RefusedImmediately counts the requests that were refused without waiting.
	RefusedImmediately int
	// Work is the work of the answered requests in tokens, WorkByTeam the same for each team.
	Work       float64
	WorkByTeam map[*Team]float64
	// OfferedWorkByTeam is the work that each team requested.
	OfferedWorkByTeam map[*Team]float64
	// Wait is the time from the arrival of a try until it is sent to the engine, FirstToken until its first token, and Refusal until its
	// refusal.
	Wait, FirstToken, Refusal Quantiles
	WaitByTeam                map[*Team]Quantiles
	AnsweredRatioByTeam       map[*Team]float64
	// MeanTries is the mean number of tries per request.
	MeanTries float64
}

// Quantiles holds the quantiles that the result tables show.
type Quantiles struct{ P50, P95 time.Duration }

// Summarize returns the summary of the requests whose first try arrived at or after from and before until.
func Summarize(requests []*Request, from, until time.Duration) Summary {
	summary := Summary{
		WorkByTeam:          make(map[*Team]float64),
		OfferedWorkByTeam:   make(map[*Team]float64),
		WaitByTeam:          make(map[*Team]Quantiles),
		AnsweredRatioByTeam: make(map[*Team]float64),
	}
	var wait, first, refusal []time.Duration
	waitByTeam := make(map[*Team][]time.Duration)
	countByTeam := make(map[*Team]float64)
	tries := 0
	for _, r := range requests {
		if r.FirstArrived < from || r.FirstArrived >= until {
			continue
		}
		summary.Offered++
		tries += r.Tries
		countByTeam[r.Team]++
		summary.OfferedWorkByTeam[r.Team] += float64(r.Work())
		switch r.Outcome {
		case Refused:
			summary.Refused++
			if r.Ended == r.Arrived {
				summary.RefusedImmediately++
			}
			refusal = append(refusal, r.Ended-r.Arrived)
			continue
		case Answered:
			summary.Answered++
			summary.AnsweredRatioByTeam[r.Team]++
			summary.Work += float64(r.Work())
			summary.WorkByTeam[r.Team] += float64(r.Work())
		case Late:
			summary.Late++
		case Pending:
			continue
		}
		wait = append(wait, r.Started-r.Arrived)
		waitByTeam[r.Team] = append(waitByTeam[r.Team], r.Started-r.Arrived)
		if r.FirstToken > 0 {
			first = append(first, r.FirstToken-r.Arrived)
		}
	}
	for team, count := range countByTeam {
		summary.AnsweredRatioByTeam[team] /= count
		summary.WaitByTeam[team] = quantiles(waitByTeam[team])
	}
	summary.Wait, summary.FirstToken, summary.Refusal = quantiles(wait), quantiles(first), quantiles(refusal)
	summary.MeanTries = float64(tries) / math.Max(1, float64(summary.Offered))
	return summary
}

func quantiles(values []time.Duration) Quantiles {
	if len(values) == 0 {
		return Quantiles{}
	}
	slices.Sort(values)
	return Quantiles{P50: values[len(values)/2], P95: values[len(values)*95/100]}
}

// FairShares divides the capacity among the teams in proportion to their shares. A team that offers less than its share gets all that it
// offers, and the rest is divided among the others (max-min fairness).
func FairShares(offered map[*Team]float64, capacity float64) map[*Team]float64 {
	fair := make(map[*Team]float64, len(offered))
	unsettled := make(map[*Team]bool, len(offered))
	for team := range offered {
		unsettled[team] = true
	}
	for len(unsettled) > 0 {
		shares := 0.0
		for team := range unsettled {
			shares += team.Share
		}
		perShare := capacity / shares
		settled := false
		for team := range unsettled {
			if offered[team] <= perShare*team.Share {
				fair[team] = offered[team]
				capacity -= offered[team]
				delete(unsettled, team)
				settled = true
			}
		}
		if settled {
			continue
		}
		for team := range unsettled {
			fair[team] = perShare * team.Share
		}
		return fair
	}
	return fair
}

// WorstShare returns the smallest ratio of a team's completed work to its fair share of all completed work. It is 1 if the division was
// fair.
func (s Summary) WorstShare() float64 {
	fair := FairShares(s.OfferedWorkByTeam, s.Work)
	worst := math.Inf(1)
	for team, fairWork := range fair {
		worst = min(worst, s.WorkByTeam[team]/fairWork)
	}
	return worst
}

// Histogram counts durations in buckets that grow by 2%.
type Histogram struct {
	counts [1024]float64
	total  float64
}

const (
	histogramMin = 100 * time.Microsecond
	bucketRatio  = 1.02
)

// Add records the duration d count times.
func (h *Histogram) Add(d time.Duration, count int) {
	bucket := 0
	if d > histogramMin {
		bucket = int(math.Log(float64(d)/float64(histogramMin)) / math.Log(bucketRatio))
	}
	h.counts[min(bucket, len(h.counts)-1)] += float64(count)
	h.total += float64(count)
}

// Quantile returns the upper bound of the bucket that contains the quantile q.
func (h *Histogram) Quantile(q float64) time.Duration {
	remaining := q * h.total
	for i, count := range h.counts {
		remaining -= count
		if remaining <= 0 {
			return time.Duration(float64(histogramMin) * math.Pow(bucketRatio, float64(i+1)))
		}
	}
	return 0
}
