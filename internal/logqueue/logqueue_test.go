package logqueue_test

import (
	"bufio"
	"fmt"
	"io"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/internal/logqueue"
)

func TestLogQueue(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "log queue")
}

var _ = Describe("Log queue", func() {
	// The log collector stops reading. A process that blocks on its log output would serve no requests.
	It("never blocks the writer, and logs how many lines were dropped", func() {
		reader, writer := io.Pipe()
		q := logqueue.New(writer, 4)
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

	It("is flushed before the process ends, but does not wait longer than the limit for a reader", func() {
		reader, writer := io.Pipe()
		q := logqueue.New(writer, 4)
		_, err := fmt.Fprintln(q, "last line")
		Expect(err).NotTo(HaveOccurred())
		Expect(q.Flush(50 * time.Millisecond)).To(BeFalse())
		go func() { _, _ = io.Copy(io.Discard, reader) }()
		Expect(q.Flush(time.Minute)).To(BeTrue())
	})
})
