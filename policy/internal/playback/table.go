package playback

import (
	"fmt"
	"strings"
	"time"
)

// Table is a table of figures in Markdown.
type Table struct{ text strings.Builder }

// NewTable returns a table with the given columns; the first holds text, the others figures.
func NewTable(columns ...string) *Table {
	t := &Table{}
	t.AddRow(columns...)
	t.text.WriteString("| ---" + strings.Repeat(" | ---:", len(columns)-1) + " |\n")
	return t
}

// AddRow adds a row.
func (t *Table) AddRow(cells ...string) {
	t.text.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

// String returns the table in Markdown.
func (t *Table) String() string { return t.text.String() }

// Format formats the quantiles of a time in seconds.
func (q Quantiles) Format() string { return Seconds(q.P50) + " / " + Seconds(q.P95) }

// Seconds formats a time in seconds.
func Seconds(d time.Duration) string { return fmt.Sprintf("%.2f", d.Seconds()) }

// Percent formats a part in percent.
func Percent(part, whole float64) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*part/whole)
}

// Ratio formats a ratio.
func Ratio(r float64) string { return fmt.Sprintf("%.2f", r) }

// SummaryColumns are the columns of Figures.Cells.
var SummaryColumns = []string{
	"answered", "refused", "of these at once", "too late", "useful work of capacity",
	"worst team of its fair share", "wait 50 / 95, s", "first token 50 / 95, s", "refused after 95, s",
}

// Cells returns the figures as cells of a table. Capacity is the work a second that the group carries.
func (r *Run) Cells(f Summary) []string {
	offered := float64(f.Offered)
	return []string{
		Percent(float64(f.Answered), offered),
		Percent(float64(f.Refused), offered),
		Percent(float64(f.RefusedImmediately), float64(f.Refused)),
		Percent(float64(f.Late), offered),
		Ratio(r.Goodput(f)),
		Ratio(f.WorstShare()),
		f.Wait.Format(),
		f.FirstToken.Format(),
		Seconds(f.Refusal.P95),
	}
}

// Goodput returns the work of the answered requests of the measured time as a share of the capacity.
func (r *Run) Goodput(f Summary) float64 {
	s := r.Scenario
	return f.Work / (s.Until - s.From).Seconds() / s.CapacityWork()
}
