package controller

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/skylarkpond/skylarkpond/timeline"
)

// Names of the metrics. Those of services end in the service's name.
const (
	// MetricDowntime counts milliseconds in which a wanted group did not serve.
	MetricDowntime = "controller.group_downtime_ms."
	// MetricDown is how many wanted groups do not serve now.
	MetricDown = "controller.groups_down."
	// MetricStranded counts accelerator-milliseconds live but in no serving group.
	MetricStranded = "controller.stranded_accelerator_ms"
	// MetricStrandedNow is how many accelerators that are, now, by fabric domain.
	MetricStrandedNow = "controller.stranded_accelerators."
)

// maxMeasured bounds the time that one measurement accounts for: over a longer gap (a pause, a takeover)
// nothing was seen, and the controller in between accounts for it.
const maxMeasured = 5 * Interval

// measure books the two measures since the last round.
func (w *work) measure() {
	now := w.c.Now()
	since := min(now.Sub(w.measured), maxMeasured)
	if w.measured.IsZero() {
		since = 0
	}
	w.measured = now
	for name, down := range w.plan.DownGroups {
		w.count(MetricDowntime+name, since*time.Duration(down))
	}
	w.count(MetricStranded, since*time.Duration(w.plan.StrandedAccelerators))
	gauges := map[string]int{MetricStrandedNow + string(w.fabric): w.plan.StrandedAccelerators}
	for name := range w.plan.Targets {
		gauges[MetricDown+name+"."+string(w.fabric)] = w.plan.DownGroups[name]
	}
	w.showGauges(gauges)
	w.recordMeasures()
}

func (w *work) count(name string, d time.Duration) {
	metrics.GetOrRegisterCounter(name, w.c.Metrics).Inc(d.Milliseconds())
}

// showGauges replaces the domain's gauges. One that stayed behind, of a service that is gone or at an entry that
// lost the domain, would keep its last value, and an alarm on it would never end.
func (w *work) showGauges(gauges map[string]int) {
	for name := range w.gauges {
		if _, kept := gauges[name]; !kept {
			w.c.Metrics.Unregister(name)
		}
	}
	for name, value := range gauges {
		metrics.GetOrRegisterGauge(name, w.c.Metrics).Update(int64(value))
	}
	w.gauges = gauges
}

// recordMeasures tells the time line when a measure changes.
func (w *work) recordMeasures() {
	parts := make([]string, 0, len(w.plan.DownGroups)+1)
	for _, name := range slices.Sorted(maps.Keys(w.plan.DownGroups)) {
		parts = append(parts, fmt.Sprintf("%s down %d", name, w.plan.DownGroups[name]))
	}
	parts = append(parts, fmt.Sprintf("stranded accelerators %d", w.plan.StrandedAccelerators))
	detail := strings.Join(parts, ", ")
	if detail != w.lastMeasured {
		w.record(timeline.Event{Kind: timeline.DomainMeasured, Detail: detail})
		w.lastMeasured = detail
	}
}

// newStatus is what Status shows of the round that ended.
func (w *work) newStatus() Status {
	status := Status{
		Domain: w.fabric, Targets: w.plan.Targets, Down: w.plan.DownGroups, Stranded: w.plan.StrandedAccelerators, Held: w.held(),
	}
	if w.placement != nil {
		status.Epoch = w.placement.Epoch
	}
	if w.problem != nil {
		status.Problem = w.problem.Error()
	}
	return status
}

// held is why something wanted is not done, by service.
func (w *work) held() map[string]string {
	held := make(map[string]string)
	for name, count := range w.plan.Unplaced {
		if count > 0 {
			held[name] = fmt.Sprintf("no fabric domain has room for %d more", count)
		}
	}
	maps.Copy(held, w.plan.BlockedReasons)
	return held
}
