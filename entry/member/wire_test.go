package member

import (
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// udpHeader is the size of the IP and UDP headers.
const udpHeader = 28

// countingConn counts the packets and bytes of a server's socket. Each packet between two entries passes
// exactly one such socket.
type countingConn struct {
	net.PacketConn
	packets, bytes *atomic.Int64
}

func (c *countingConn) ReadFrom(p []byte) (int, net.Addr, error) {
	n, from, err := c.PacketConn.ReadFrom(p)
	c.packets.Add(1)
	c.bytes.Add(int64(n + udpHeader))
	return n, from, err
}

func (c *countingConn) WriteTo(p []byte, to net.Addr) (int, error) {
	c.packets.Add(1)
	c.bytes.Add(int64(len(p) + udpHeader))
	return c.PacketConn.WriteTo(p, to)
}

// BenchmarkWire measures the cost of membership over the real transport on loopback, per entry and
// second: bytes and packets sent (as many are received), IP and UDP headers included, and processor
// time. The only load is one small rumour a second.
func BenchmarkWire(b *testing.B) {
	RegisterTestingT(b)
	for _, n := range []int{4, 8, 16, 32} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			for b.Loop() {
				measureWire(b, n)
			}
		})
	}
}

const measuredTime = 20 * time.Second

func measureWire(b *testing.B, n int) {
	var packets, bytes atomic.Int64
	var all []*process
	for i := range n {
		p := newProcess(fmt.Sprintf("entry-%03d", i), uint64(i+1), func(s net.PacketConn) net.PacketConn {
			return &countingConn{s, &packets, &bytes}
		})
		for j, other := range all {
			p.Upsert(other.entry, uint64(j+1))
			other.Upsert(p.entry, uint64(i+1))
		}
		all = append(all, p)
		defer p.stop()
	}
	for _, p := range all {
		p.start()
	}
	for _, p := range all {
		Eventually(func() int { return len(p.Live()) }, pollTimeout).Should(Equal(n))
	}
	time.Sleep(warmupTime)
	packets.Store(0)
	bytes.Store(0)
	cpu, start := cpuTime(), time.Now()
	for second := uint64(1); time.Since(start) < measuredTime; second++ {
		all[int(second)%n].Broadcast(Rumour{Topic: "load", Name: "x", Version: second, Body: make([]byte, 100)})
		time.Sleep(time.Second)
	}
	per := float64(n) * time.Since(start).Seconds()
	b.ReportMetric(float64(bytes.Load())/per, "B/s")
	b.ReportMetric(float64(packets.Load())/per, "packets/s")
	b.ReportMetric((cpuTime()-cpu).Seconds()*100/per, "%core")
}

// cpuTime returns the processor time used by the process so far.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
