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
	// MetricGroupDowntime counts milliseconds in which a wanted group did not serve.
	MetricGroupDowntime = "controller.group_downtime_ms."
	// MetricGroupsDown is how many wanted groups do not serve now.
	MetricGroupsDown = "controller.groups_down."
	// MetricStrandedTime counts accelerator-milliseconds live but in no serving group.
	MetricStrandedTime = "controller.stranded_accelerator_ms"
	// MetricStrandedAccelerators is how many accelerators that are, now, by fabric domain.
	MetricStrandedAccelerators = "controller.stranded_accelerators."
)

// maxMeasured bounds the time that one measurement accounts for: over a longer gap (a pause, a takeover)
// nothing was seen, and the controller in between accounts for it.
const maxMeasuredGap = 5 * RoundInterval

// measure books the two measures since the last round.
func (r *domainReconciler) updateMetrics() {
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

func (r *domainReconciler) addToCounter(name string, d time.Duration) {
	metrics.GetOrRegisterCounter(name, r.c.Metrics).Inc(d.Milliseconds())
}

// showGauges replaces the domain's gauges. One that stayed behind, of a service that is gone or at an entry that
// lost the domain, would keep its last value, and an alarm on it would never end.
func (r *domainReconciler) setGauges(gauges map[string]int) {
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

// recordMeasures tells the time line when a measure changes.
func (r *domainReconciler) recordMetricsChange() {
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

// newStatus is what Status shows of the round that ended.
func (r *domainReconciler) newStatus() Status {
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

// held is why something wanted is not done, by service.
func (r *domainReconciler) blockedReasons() map[string]string {
	reasons := make(map[string]string)
	for name, count := range r.plan.Unplaced {
		if count > 0 {
			reasons[name] = fmt.Sprintf("no fabric domain has room for %d more", count)
		}
	}
	maps.Copy(reasons, r.plan.BlockedReasons)
	return reasons
}
