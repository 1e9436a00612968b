package entry

import (
	"runtime"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

// measures are the process's metrics.
type measures struct {
	registry metrics.Registry
	started  time.Time
}

func newMeasures() *measures {
	m := &measures{registry: metrics.NewRegistry(), started: time.Now()}
	gauge(m.registry, "process.uptime.seconds", func() int64 { return int64(time.Since(m.started).Seconds()) })
	gauge(m.registry, "process.goroutines", func() int64 { return int64(runtime.NumGoroutine()) })
	gauge(m.registry, "process.heap.bytes", heapBytes)
	return m
}

func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

func gauge(registry metrics.Registry, name string, value func() int64) {
	_ = registry.Register(name, metrics.NewFunctionalGauge(value))
}

// counted shows an atomic count as a gauge.
func counted(registry metrics.Registry, name string, count *atomic.Int64) {
	gauge(registry, name, count.Load)
}
