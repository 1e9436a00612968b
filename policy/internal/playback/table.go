package playback

import (
	"fmt"
	"strings"
	"time"
)

// Table is a Markdown table of results.
type Table struct{ text strings.Builder }

// NewTable returns a table with the given columns. The first column holds text, the others numbers.
func NewTable(columns ...string) *Table {
	t := &Table{}
	t.AddRow(columns...)
	t.text.WriteString("| ---" + strings.Repeat(" | ---:", len(columns)-1) + " |\n")
	return t
}

// AddRow appends a row.
func (t *Table) AddRow(cells ...string) {
	t.text.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

// String returns the table as Markdown.
func (t *Table) String() string { return t.text.String() }

// Format returns both quantiles in seconds, as "P50 / P95".
func (q Quantiles) Format() string { return Seconds(q.P50) + " / " + Seconds(q.P95) }

// Seconds formats a duration in seconds with two decimals.
func Seconds(d time.Duration) string { return fmt.Sprintf("%.2f", d.Seconds()) }

// Percent formats part as a percentage of whole, or "-" if whole is 0.
func Percent(part, whole float64) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*part/whole)
}

// Ratio formats a ratio with two decimals.
func Ratio(r float64) string { return fmt.Sprintf("%.2f", r) }

// SummaryColumns are the headings of the cells that Run.Cells returns.
var SummaryColumns = []string{
	"answered", "refused", "of these at once", "too late", "useful work of capacity",
	"worst team of its fair share", "wait 50 / 95, s", "first token 50 / 95, s", "refused after 95, s",
}

// Cells returns the summary as cells of a table row.
func (r *Run) Cells(summary Summary) []string {
	offered := float64(summary.Offered)
	return []string{
		Percent(float64(summary.Answered), offered),
		Percent(float64(summary.Refused), offered),
		Percent(float64(summary.RefusedImmediately), float64(summary.Refused)),
		Percent(float64(summary.Late), offered),
		Ratio(r.Goodput(summary)),
		Ratio(summary.WorstShare()),
		summary.Wait.Format(),
		summary.FirstToken.Format(),
		Seconds(summary.Refusal.P95),
	}
}

// Goodput returns the work of the answered requests per second of the measured interval, as a fraction of the capacity.
func (r *Run) Goodput(summary Summary) float64 {
	s := r.Scenario
	return summary.Work / (s.Until - s.From).Seconds() / s.CapacityWork()
}
