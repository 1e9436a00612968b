package drain

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
)

func TestDrain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "entry/drain")
}

// fakeClock advances by the duration of each Sleep instead of waiting.
type fakeClock struct {
	now     time.Time
	onSleep func()
}

func (c *fakeClock) Now() time.Time { return c.now }

func (c *fakeClock) Sleep(_ context.Context, d time.Duration) {
	c.now = c.now.Add(d)
	if c.onSleep != nil {
		c.onSleep()
	}
}

// testDrain is a Drain that logs its steps and phases with the time since the start.
type testDrain struct {
	*Drain
	clock      *fakeClock
	log        []string
	inProgress int
	publish    func(ctx context.Context) error
	// end is called with the step End; it may be nil.
	end func()
}

const ttl = time.Minute

func newTestDrain() *testDrain {
	start := time.Unix(1_700_000_000, 0)
	s := &testDrain{clock: &fakeClock{now: start}, publish: func(context.Context) error { return nil }}
	note := func(event string) {
		s.log = append(s.log, event+" "+s.clock.now.Sub(start).Truncate(time.Second).String())
	}
	s.Drain = New(Config{Margin: 5 * time.Second, FinishTimeout: 10 * time.Minute, EndTimeout: 5 * time.Second}, Steps{
		Leave:            func() { note("leave") },
		Publish:          func(ctx context.Context) error { return s.publish(ctx) },
		AddressHeldUntil: func() time.Time { return s.clock.now.Add(ttl) },
		Close:            func() { note("close") },
		End: func() {
			note("end")
			if s.end != nil {
				s.end()
			}
		},
		InProgress: func() int { return s.inProgress },
		OnPhase:    func(p Phase) { note(p.String()) },
	}, s.clock)
	return s
}

var _ = Describe("a planned stop", func() {
	// A caller reuses its connection for the next request, which it sends just as the listener closes.
	It("asks callers to close their connections from the moment it leaves", func() {
		var gate Gate
		server := httptest.NewServer(gate.Wrap(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			Expect(gate.InProgress()).To(Equal(1))
		})))
		defer server.Close()
		for _, leaving := range []bool{false, true} {
			answer, err := server.Client().Get(server.URL)
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.Close).To(Equal(leaving))
			Expect(answer.Body.Close()).To(Succeed())
			gate.Leave()
		}
		Expect(gate.InProgress()).To(BeZero())
	})

	It("leaves first, closes only when no caller may still use the address, then finishes", func() {
		s := newTestDrain()
		Expect(s.Phase()).To(Equal(Serving))
		Expect(s.Run(context.Background())).To(Succeed())
		Expect(s.log).To(Equal([]string{
			"leaving 0s", "leave 0s",
			"closing 1m5s", "close 1m5s",
			"finishing 1m5s", "stopped 1m5s",
		}))
		Expect(s.Phase()).To(Equal(Stopped))
	})

	// A long answer is still streaming when callers may no longer use the address.
	It("waits for requests in progress, and returns an error when some were cut", func() {
		s := newTestDrain()
		s.inProgress = 3
		s.clock.onSleep = func() {
			if s.clock.now.Sub(time.Unix(1_700_000_000, 0)) > 3*time.Minute {
				s.inProgress = 0
			}
		}
		Expect(s.Run(context.Background())).To(Succeed())
		Expect(s.log).To(ContainElement("stopped 3m0s"))

		s = newTestDrain()
		s.inProgress = 1
		Expect(s.Run(context.Background())).To(MatchError(ErrCut))
		Expect(s.log).To(ContainElements("end 11m5s", "stopped 11m10s"))
	})

	// Guards against requests that end with the process and get no answer.
	It("ends the requests that it can't wait for, and waits for their answers", func() {
		s := newTestDrain()
		s.inProgress = 1
		s.end = func() { s.clock.onSleep = func() { s.inProgress = 0 } }
		Expect(s.Run(context.Background())).To(Succeed())
		Expect(s.log).To(ContainElements("end 11m5s", "stopped 11m5s"))
	})

	// The platform is unavailable while the entry is stopped, so nothing can be written to it. The other entries learn of the stop by
	// gossip; a stop that waited for the platform would last as long as the outage.
	It("does not wait for the platform", func() {
		s := newTestDrain()
		ended := make(chan struct{})
		s.publish = func(ctx context.Context) error {
			<-ctx.Done()
			close(ended)
			return eris.New("platform out")
		}
		Expect(s.Run(context.Background())).To(Succeed())
		Expect(ended).To(BeClosed())
	})

	It("stops at once when its context is cancelled", func() {
		s := newTestDrain()
		s.inProgress = 2
		ctx, cancel := context.WithCancel(context.Background())
		s.clock.onSleep = cancel
		Expect(s.Run(ctx)).To(MatchError(ErrCut))
		Expect(s.Phase()).To(Equal(Stopped))
	})
})
