package leader_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/entry/leader"
	link "github.com/skylarkpond/skylarkpond/link/leader"
)

// prober answers the probes that it is sent when the spec says so.
type prober struct {
	mu     sync.Mutex
	probes []link.Probe
}

func (p *prober) Send(message link.Down) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if message.Probe != nil {
		p.probes = append(p.probes, *message.Probe)
	}
}

func (p *prober) SendShared(message *link.Shared) { p.Send(message.Down) }

func (p *prober) received() []link.Probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.probes
}

var _ = Describe("Indirect probes", func() {
	server := &backend.Server{ID: "i-1", Address: "10.0.0.1:1"}
	var (
		l          *leader.Leader
		near, far  *prober
		reached    chan bool
		probeAgain func()
	)
	BeforeEach(func() {
		l, near, far, reached = newLeader(), &prober{}, &prober{}, make(chan bool, 2)
		l.Join("e-1", near, link.Hello{})
		l.Join("e-2", far, link.Hello{})
		probeAgain = func() {
			go func() {
				_, answered := l.ProbeIndirectly(context.Background(), server)
				reached <- answered
			}()
		}
	})
	answer := func(from *prober, entry string, number int, answered bool) {
		l.Receive(entry, from, link.Up{ProbeResult: &link.ProbeResult{Server: "i-1", Number: from.received()[number].Number, Answered: answered}})
	}

	It("are answered by the first entry that reaches the server", func() {
		probeAgain()
		Eventually(far.received).Should(HaveLen(1))
		answer(near, "e-1", 0, false)
		answer(far, "e-2", 0, true)
		Eventually(reached).Should(Receive(BeTrue()))
	})

	// Guards against a head that counts as gone and serves: of two probes of one server the first got no answer, and the second none once the first
	// had ended.
	It("of one server at the same time are answered each", func() {
		probeAgain()
		Eventually(far.received).Should(HaveLen(1))
		probeAgain()
		Eventually(far.received).Should(HaveLen(2))
		answer(far, "e-2", 0, true)
		Eventually(reached, 500*time.Millisecond).Should(Receive(BeTrue()))
		answer(near, "e-1", 0, false) // to the probe that has ended
		answer(near, "e-1", 1, false)
		answer(far, "e-2", 1, true)
		Eventually(reached, 500*time.Millisecond).Should(Receive(BeTrue()))
	})

	// An entry of an earlier version does not tell which probe it answers.
	It("are answered by entries that don't tell the probe", func() {
		probeAgain()
		Eventually(far.received).Should(HaveLen(1))
		l.Receive("e-2", far, link.Up{ProbeResult: &link.ProbeResult{Server: "i-1", Answered: true}})
		Eventually(reached).Should(Receive(BeTrue()))
	})
})
