package entry

import (
	"runtime"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

// processMetrics holds the metrics registry of the process.
type processMetrics struct {
	registry metrics.Registry
	started  time.Time
}

func newProcessMetrics() *processMetrics {
	m := &processMetrics{registry: metrics.NewRegistry(), started: time.Now()}
	registerGauge(m.registry, "process.uptime.seconds", func() int64 { return int64(time.Since(m.started).Seconds()) })
	registerGauge(m.registry, "process.goroutines", func() int64 { return int64(runtime.NumGoroutine()) })
	registerGauge(m.registry, "process.heap.bytes", heapBytes)
	return m
}

func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

func registerGauge(registry metrics.Registry, name string, value func() int64) {
	_ = registry.Register(name, metrics.NewFunctionalGauge(value))
}

// registerCount registers an atomic counter as a gauge.
func registerCount(registry metrics.Registry, name string, count *atomic.Int64) {
	registerGauge(registry, name, count.Load)
}
