package intake_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/skylarkpond/skylarkpond/entry/intake"
	policy "github.com/skylarkpond/skylarkpond/policy/intake"
)

func TestIntake(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Reading bodies")
}

const (
	capacity = 4 << 20
	limit    = 1 << 20
)

var _ = Describe("Bodies", func() {
	var (
		bodies *intake.Bodies
		mu     sync.Mutex
		told   []intake.Refusals
	)
	BeforeEach(func() {
		told = nil
		bodies = intake.New(intake.Deps{Capacity: capacity, Metrics: metrics.NewRegistry(), Refused: func(r intake.Refusals) {
			mu.Lock()
			defer mu.Unlock()
			told = append(told, r)
		}})
	})
	open := func() *intake.Body {
		body, _ := bodies.Open(context.Background())
		DeferCleanup(body.Close)
		return body
	}

	DescribeTable("reads a body to its end", func(size int, announced bool, wrap func(io.Reader) io.Reader) {
		sent := bytes.Repeat([]byte("body"), size)[:size]
		length := int64(-1)
		if announced {
			length = int64(size)
		}
		read, err := open().Read(wrap(bytes.NewReader(sent)), length, limit)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(read, sent)).To(BeTrue())
		held, _ := bodies.Held()
		Expect(held).To(BeNumerically(">=", size))
		Expect(held).To(BeNumerically("<=", max(4<<10, 2*size)))
	},
		Entry("empty", 0, false, iotest.DataErrReader),
		Entry("one byte", 1, true, iotest.DataErrReader),
		Entry("byte by byte", 9000, false, iotest.OneByteReader),
		Entry("the largest", limit, true, iotest.HalfReader),
		Entry("the largest, chunked", limit, false, iotest.DataErrReader),
		Entry("just no longer small", 64<<10+1, true, iotest.HalfReader),
	)

	It("refuses what exceeds the limit, announced or not", func() {
		_, err := open().Read(strings.NewReader(""), limit+1, limit)
		Expect(err).To(MatchError(intake.ErrTooLarge))
		_, err = open().Read(bytes.NewReader(make([]byte, limit+1)), -1, limit)
		Expect(err).To(MatchError(intake.ErrTooLarge))
	})

	// Guards against a body that broke off and is taken for a whole one.
	It("returns the error of a body that breaks off", func() {
		_, err := open().Read(iotest.TimeoutReader(iotest.OneByteReader(strings.NewReader("body"))), 4, limit)
		Expect(err).To(MatchError(iotest.ErrTimeout))
	})

	// Guards against room that is not given back, and bodies that wait for ever after they were given up.
	It("interrupts a body that stalls when others need its room, and says so", func() {
		reader, writer := io.Pipe()
		DeferCleanup(writer.Close)
		stalled, ctx := bodies.Open(context.Background())
		result := make(chan error, 1)
		go func() {
			_, err := stalled.Read(reader, -1, 3*limit)
			result <- err
		}()
		context.AfterFunc(ctx, func() { _ = reader.CloseWithError(io.ErrClosedPipe) })
		_, err := writer.Write(make([]byte, 2*limit))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() error {
			body := open()
			defer body.Close()
			_, err := body.Read(bytes.NewReader(make([]byte, 2*limit)), 2*limit, 2*limit)
			return err
		}, "5s").Should(Succeed())
		Expect(<-result).To(MatchError(intake.ErrTooSlow))
		stalled.Close()
		mu.Lock()
		defer mu.Unlock()
		Expect(told).To(ContainElement(HaveField("Reason", policy.TooSlow)))
	})

	It("holds nothing once all bodies are closed", func() {
		body := open()
		_, err := body.Read(bytes.NewReader(make([]byte, limit)), limit, limit)
		Expect(err).NotTo(HaveOccurred())
		body.Close()
		body.Close()
		held, count := bodies.Held()
		Expect(held).To(BeZero())
		Expect(count).To(BeZero())
	})

	It("gives up nothing for a connection while no body is slow", func() {
		open()
		Expect(bodies.GiveUpSlowest()).To(BeFalse())
		Eventually(bodies.GiveUpSlowest, 3*time.Second).Should(BeTrue())
	})
})
