package shift

import (
	"slices"
	"time"

	"pgregory.net/rapid"
)

const (
	// newsDelay is the longest time in which an entry learns of a start or an announcement of another one.
	newsDelay = sec
	// newsStep is the resolution of the times of checkAgreement.
	newsStep = 50 * time.Millisecond
)

// starts holds when entries start, and how long each of them takes to learn what another one announces.
type starts struct {
	at    []time.Duration
	delay [][]time.Duration // by observer and observed entry
}

func drawStarts(t *rapid.T) starts {
	steps := func(bound time.Duration) *rapid.Generator[time.Duration] {
		return rapid.Map(rapid.IntRange(0, int(bound/newsStep)), func(n int) time.Duration { return time.Duration(n) * newsStep })
	}
	var s starts
	count := rapid.IntRange(2, 6).Draw(t, "entries")
	for range count {
		s.at = append(s.at, steps(12*sec).Draw(t, "start"))
		s.delay = append(s.delay, rapid.SliceOfN(steps(newsDelay-newsStep), count, count).Draw(t, "delays"))
	}
	return s
}

// checkAgreement starts the entries and fails if two of them consider different entries eligible at a time when all
// news has arrived.
func checkAgreement(t *rapid.T, s starts) {
	dampers := make([]*FlapDamper, len(s.at))
	joined := make([]time.Duration, len(s.at)) // when the entry announced that it is no longer joining
	lastNews := time.Duration(0)
	for now := time.Duration(0); now < 20*sec; now += newsStep {
		for e, start := range s.at {
			if now < start {
				continue
			}
			if now == start {
				dampers[e] = NewFlapDamper(DefaultHoldConfig(), entryName(e))
				lastNews = now
			}
			var live, joining []string
			for other, at := range s.at {
				seenUntil := now
				if other != e {
					seenUntil -= s.delay[e][other]
				}
				if at > seenUntil {
					continue
				}
				live = append(live, entryName(other))
				if joined[other] == 0 || joined[other] > seenUntil {
					joining = append(joining, entryName(other))
				}
			}
			dampers[e].Observe(now, live, joining)
			if joined[e] == 0 && !dampers[e].Joining(now) {
				joined[e] = now
				lastNews = now
			}
		}
		if now-lastNews < newsDelay {
			continue
		}
		var first []string
		for e, d := range dampers {
			switch {
			case d == nil:
			case first == nil:
				first = d.Eligible(now)
			case !slices.Equal(d.Eligible(now), first):
				t.Fatalf("at %v, %s has %v, another one %v", now, entryName(e), d.Eligible(now), first)
			}
		}
	}
}
