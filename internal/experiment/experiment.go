// Package experiment compares two versions by the scores of runs under the same conditions.
//
// The score of a single run says little: random variation exceeds the effect of most changes. Runs are therefore paired by case and
// seed, so that differences between conditions (for example between days) don't hide the difference between versions.
package experiment

import (
	"encoding/csv"
	"io"
	"math"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Run is the result of one run. A higher score is better.
type Run struct {
	Version string
	// Case and Seed identify the conditions of the run.
	Case, Seed string
	Score      float64
}

// ErrInvalidRuns means that the runs can't be parsed, or don't form at least two pairs.
var ErrInvalidRuns = eris.New("no plays to compare")

// Read parses runs in CSV, one a line: version,case,seed,score.
func Read(r io.Reader) ([]Run, error) {
	reader := csv.NewReader(r)
	reader.FieldsPerRecord = 4
	records, err := reader.ReadAll()
	if err != nil {
		return nil, eris.Wrap(ErrInvalidRuns, err.Error())
	}
	runs := make([]Run, 0, len(records))
	for line, record := range records {
		score, err := strconv.ParseFloat(record[3], 64)
		if err != nil {
			return nil, eris.Wrapf(ErrInvalidRuns, "line %d: %s", line+1, err)
		}
		runs = append(runs, Run{Version: record[0], Case: record[1], Seed: record[2], Score: score})
	}
	return runs, nil
}

// Comparison is the result of comparing the paired runs of two versions.
type Comparison struct {
	Pairs int `json:"pairs"`
	// Before and After are the mean scores of the two versions.
	Before float64 `json:"before"`
	After  float64 `json:"after"`
	// Difference is the mean of after minus before, and StdDev the standard deviation of the differences of the pairs.
	Difference float64 `json:"difference"`
	StdDev     float64 `json:"spread"`
	// PValue is the probability of a difference at least as large if the versions were equal (two-sided paired t-test).
	PValue float64 `json:"chance"`
}

// Significant reports whether the difference is significant at the 5% level.
func (c Comparison) Significant() bool { return c.PValue < 0.05 }

// Compare compares the paired runs of two versions. Several runs of one case and seed are paired in their order.
func Compare(runs []Run, before, after string) (Comparison, error) {
	type key struct {
		caseName, seed string
		n              int
	}
	scores := map[string]map[key]float64{before: {}, after: {}}
	var order []key
	for _, run := range runs {
		versionScores := scores[run.Version]
		if versionScores == nil {
			continue
		}
		k := key{caseName: run.Case, seed: run.Seed}
		for _, taken := versionScores[k]; taken; _, taken = versionScores[k] {
			k.n++
		}
		versionScores[k] = run.Score
		if !slices.Contains(order, k) {
			order = append(order, k)
		}
	}
	var befores, afters, differences []float64
	for _, k := range order {
		first, okFirst := scores[before][k]
		second, okSecond := scores[after][k]
		if okFirst && okSecond {
			befores, afters = append(befores, first), append(afters, second)
			differences = append(differences, second-first)
		}
	}
	if len(differences) < 2 {
		return Comparison{}, eris.Wrapf(ErrInvalidRuns, "%d pairs of %q and %q", len(differences), before, after)
	}
	difference, stdDev := stat.MeanStdDev(differences, nil)
	return Comparison{
		Pairs: len(differences), Before: stat.Mean(befores, nil), After: stat.Mean(afters, nil),
		Difference: difference, StdDev: stdDev, PValue: pValue(difference, stdDev, len(differences)),
	}, nil
}

func pValue(difference, stdDev float64, pairs int) float64 {
	if stdDev == 0 {
		if difference == 0 {
			return 1
		}
		return 0
	}
	t := math.Abs(difference) / (stdDev / math.Sqrt(float64(pairs)))
	return 2 * distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(pairs - 1)}.Survival(t)
}
