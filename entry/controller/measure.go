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

// Names of the metrics. The name of a metric that ends in a dot is followed by the service, the fabric domain, or
// both.
const (
	// MetricGroupDowntime counts, by service, the milliseconds in which a wanted group did not serve.
	MetricGroupDowntime = "controller.group_downtime_ms."
	// MetricGroupsDown is the current number of wanted groups that do not serve, by service and fabric domain.
	MetricGroupsDown = "controller.groups_down."
	// MetricStrandedTime counts the accelerator-milliseconds of accelerators that are live but in no serving group.
	MetricStrandedTime = "controller.stranded_accelerator_ms"
	// MetricStrandedAccelerators is the current number of such accelerators, by fabric domain.
	MetricStrandedAccelerators = "controller.stranded_accelerators."
)

// maxMeasuredGap bounds the time that one measurement accounts for. In a longer gap, caused by a pause or a
// takeover, this entry observed nothing, and the controller that owned the domain meanwhile accounts for it.
const maxMeasuredGap = 5 * RoundInterval

// updateMetrics adds the time since the last round to the downtime and stranded-time counters, and updates the
// gauges.
func (r *reconciler) updateMetrics() {
	now := r.c.Now()
	since := min(now.Sub(r.measuredAt), maxMeasuredGap)
	if r.measuredAt.IsZero() {
		since = 0
	}
	r.measuredAt = now
	for name, down := range r.plan.DownGroups {
		r.addToCounter(MetricGroupDowntime+name, since*time.Duration(down))
	}
	r.addToCounter(MetricStrandedTime, since*time.Duration(r.plan.StrandedAccelerators))
	gauges := map[string]int{MetricStrandedAccelerators + string(r.fabric): r.plan.StrandedAccelerators}
	for name := range r.plan.Targets {
		gauges[MetricGroupsDown+name+"."+string(r.fabric)] = r.plan.DownGroups[name]
	}
	r.setGauges(gauges)
	r.recordMetricsChange()
}

func (r *reconciler) addToCounter(name string, d time.Duration) {
	metrics.GetOrRegisterCounter(name, r.c.Metrics).Inc(d.Milliseconds())
}

// setGauges replaces the domain's gauges. A gauge that remained after its service was removed, or after the entry
// lost the domain, would keep its last value, and an alert on it would never resolve.
func (r *reconciler) setGauges(gauges map[string]int) {
	for name := range r.gauges {
		if _, keep := gauges[name]; !keep {
			r.c.Metrics.Unregister(name)
		}
	}
	for name, value := range gauges {
		metrics.GetOrRegisterGauge(name, r.c.Metrics).Update(int64(value))
	}
	r.gauges = gauges
}

// recordMetricsChange records a time line event when the down groups or the stranded accelerators change.
func (r *reconciler) recordMetricsChange() {
	parts := make([]string, 0, len(r.plan.DownGroups)+1)
	for _, name := range slices.Sorted(maps.Keys(r.plan.DownGroups)) {
		parts = append(parts, fmt.Sprintf("%s down %d", name, r.plan.DownGroups[name]))
	}
	parts = append(parts, fmt.Sprintf("stranded accelerators %d", r.plan.StrandedAccelerators))
	detail := strings.Join(parts, ", ")
	if detail != r.lastRecordedDetail {
		r.record(timeline.Event{Kind: timeline.DomainMeasured, Detail: detail})
		r.lastRecordedDetail = detail
	}
}

// newStatus returns the domain's status after the round that just ended.
func (r *reconciler) newStatus() Status {
	status := Status{
		Domain: r.fabric, Targets: r.plan.Targets, Down: r.plan.DownGroups, Stranded: r.plan.StrandedAccelerators, Held: r.blockedReasons(),
	}
	if r.placement != nil {
		status.Epoch = r.placement.Epoch
	}
	if r.roundErr != nil {
		status.Problem = r.roundErr.Error()
	}
	return status
}

// blockedReasons returns, by service, the reason why a wanted change is not made.
func (r *reconciler) blockedReasons() map[string]string {
	reasons := make(map[string]string)
	for name, count := range r.plan.Unplaced {
		if count > 0 {
			reasons[name] = fmt.Sprintf("no fabric domain has room for %d more", count)
		}
	}
	maps.Copy(reasons, r.plan.BlockedReasons)
	return reasons
}
