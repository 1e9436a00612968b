package gateway

import (
	"bufio"
	"fmt"
	"io"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestGateway(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gateway")
}

var _ = Describe("Log queue", func() {
	// Whoever collects the logs stops reading. A process that waits for him serves nobody.
	It("never holds its writer up, and tells how many lines were dropped", func() {
		reader, writer := io.Pipe()
		q := newLogQueue(writer, 4)
		for i := range 100 {
			_, err := fmt.Fprintf(q, "line %d\n", i)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(q.Dropped()).To(BeNumerically(">=", 90))
		lines := bufio.NewScanner(reader)
		Expect(lines.Scan()).To(BeTrue())
		Expect(lines.Text()).To(Equal("line 0"))
		Expect(lines.Scan()).To(BeTrue())
		Expect(lines.Text()).To(ContainSubstring(`"msg":"log lines dropped"`))
	})
})

var _ = Describe("Config", func() {
	good := Config{
		Name: "e", Place: "r", FailureDomain: "z", Callers: "10.0.0.1:1", Ready: "10.0.0.1:2", Directory: "10.0.0.1:3", Peer: "10.0.0.1:4",
		Metrics: "10.0.0.1:5", Platform: "10.0.0.2:1", PlatformRate: 40, MemoryMB: 200, AddressTTL: 5, Grace: 8, RetryRatio: 0.2, LogQueueSize: 10,
	}

	It("accepts right settings", func() { Expect(good.Check()).To(Succeed()) })

	DescribeTable("names the setting that is wrong",
		func(change func(*Config), setting string) {
			c := good
			change(&c)
			Expect(c.Check()).To(MatchError(ContainSubstring(setting)))
		},
		Entry(nil, func(c *Config) { c.Callers = "host:80" }, "--caller-address"),
		Entry(nil, func(c *Config) { c.Peer = "" }, "--peer-address"),
		Entry(nil, func(c *Config) { c.Name = "" }, "--name"),
		Entry(nil, func(c *Config) { c.PlatformRate = 0 }, "--platform-rate"),
		Entry(nil, func(c *Config) { c.AddressTTL = 0 }, "--address-ttl"),
		Entry(nil, func(c *Config) { c.Grace = 0 }, "--stop-grace"),
		Entry(nil, func(c *Config) { c.RetryRatio = 2 }, "--retry-ratio"),
		Entry(nil, func(c *Config) { c.RetryExtra = -1 }, "--retry-extra"),
		Entry(nil, func(c *Config) { c.MemoryMB = 1 }, "--memory-mb"),
		Entry(nil, func(c *Config) { c.LogQueueSize = 0 }, "--log-queue"),
	)
})
