package test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/contract"
	standinengine "github.com/skylarkpond/skylarkpond/internal/standin/engine"
	standinplatform "github.com/skylarkpond/skylarkpond/internal/standin/platform"
	"github.com/skylarkpond/skylarkpond/timeline"
)

// fault meets bookings at each of its steps at once.
type fault struct {
	name string
	// steps are those it is brought about at; none: all.
	steps []step
	hold  standinplatform.Hold
	// both: the entry that the callers use is the home of the group as well.
	both bool
	// hit brings it about, follow lets go what was held and waits for what comes of it, mend ends it.
	hit    func(s *stage)
	follow func(s *stage)
	mend   func(s *stage)
	// unsure are the steps at which a caller may be told unknown, lost those at which it may stay so for
	// ever: the backend server had it or was about to, and whoever knew is gone.
	unsure []step
	lost   []step
}

// A caller books a lot, and one of the processes between it and the backend server is killed, or stops for
// a while and wakes, at any moment of the booking; or the platform can't be asked, or loses an answer. The
// caller sends the same booking again through another entry, perhaps while the first copy still lies in a
// frozen one. What must never be: a lot booked twice, a lot that was told not-run and is booked, or told
// answered and is not.
var _ = Describe("A booking, at every step", func() {
	meets := func(faults []fault) {
		s := startStage()
		table := newMatrix()
		for _, f := range faults {
			s.meet(f, table)
		}
		s.quiesce()
		s.ledger.judge()
		AddReportEntry("what callers were told, at first and later", table.String())
	}
	It("survives the front and the home", func() { meets(entryFaults) })
	It("survives cuts between front, home and platform", func() { meets(linkFaults) })
	It("survives the backend server", func() { meets(serverFaults) })
	It("survives the platform", func() { meets(platformFaults) })
})

// tries bounds how often a fault is brought about until it met each of its steps: on a busy machine what is
// held at the platform can be given up before all bookings are placed.
const tries = 5

// meet brings a fault about while bookings are at its steps.
func (s *stage) meet(f fault, table *matrix) {
	GinkgoHelper()
	if f.steps == nil {
		f.steps = allSteps
	}
	missing := slices.Clone(f.steps)
	for try := 1; len(missing) > 0; try++ {
		Expect(try).To(BeNumerically("<=", tries), "%s did not meet %v", f.name, missing)
		By(fmt.Sprintf("%s, try %d", f.name, try))
		s.settle()
		if f.both {
			s.front = s.home
		}
		s.placeAll(f.steps, f.hold)
		By("the fault comes")
		met := s.hit(f)
		By("what was held is let go")
		f.follow(s)
		By("the fault ends")
		f.mend(s)
		s.awaitAnswers()
		s.settle()
		s.repeatAll()
		met = slices.DeleteFunc(met, s.lostHomeWhileHeld)
		for _, b := range met {
			s.expect(f, b)
			table.note(f.name, b)
			missing = slices.DeleteFunc(missing, func(at step) bool { return at == b.step })
		}
	}
}

// hit brings a fault about and returns the bookings that were at their steps when it came.
func (s *stage) hit(f fault) []*booked {
	GinkgoHelper()
	before := s.trail()
	met := slices.DeleteFunc(slices.Clone(s.placed), func(b *booked) bool { return !s.at(before, b) })
	began := time.Now()
	f.hit(s)
	ended := time.Now()
	after := s.trail()
	return slices.DeleteFunc(met, func(b *booked) bool {
		return s.movedOn(before, after, b, began, ended)
	})
}

// movedOn reports whether a booking went on between the look at its step and the fault: by an event before the
// fault began, or one of a process that the fault stopped, before it stood.
func (s *stage) movedOn(before, after trail, b *booked, began, ended time.Time) bool {
	for _, event := range after.events[b.request][len(before.events[b.request]):] {
		at := time.Unix(0, event.Time)
		if at.Before(began) || at.Before(ended) && !s.entry(event.Process).works() {
			return true
		}
	}
	for _, run := range after.runs[bodyHash(booking(b.key))][len(before.runs[bodyHash(booking(b.key))]):] {
		if run.Time.Before(began) {
			return true
		}
	}
	return false
}

// lostHomeWhileHeld reports whether the front of a booking held the home lost before what was held was let go. The
// home may have been frozen only to place a booking.
func (s *stage) lostHomeWhileHeld(b *booked) bool {
	return s.trail().hasEvent(b.request, func(event timeline.Event) bool {
		return event.Kind == timeline.HomeLost && time.Unix(0, event.Time).Before(s.released)
	})
}

// expect checks that a caller is told more than unknown wherever more can be known.
func (s *stage) expect(f fault, b *booked) {
	GinkgoHelper()
	about := fmt.Sprintf("%s at %q: %v", f.name, b.step, b.words())
	for _, got := range append([]answer{*b.got}, b.later...) {
		if got.outcome == contract.OutcomeUnknown {
			Expect(append(f.unsure, f.lost...)).To(ContainElement(b.step), about)
		}
	}
	if b.later[len(b.later)-1].outcome == contract.OutcomeUnknown {
		Expect(f.lost).To(ContainElement(b.step), about)
	}
}

func (s *stage) awaitAnswers() {
	GinkgoHelper()
	for _, b := range s.placed {
		Eventually(b.pending, generous, "5ms").Should(BeFalse(), b.key)
	}
}

// awaitEvent waits until all bookings came to an event.
func (s *stage) awaitEvent(kind timeline.Kind) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		t := s.trail()
		for _, b := range s.placed {
			g.Expect(t.has(b.request, kind)).To(BeTrue(), b.key)
		}
	}, generous, "20ms").Should(Succeed())
}

// again sends all bookings again through another entry, as their callers do who were told nothing yet.
func (s *stage) again() {
	GinkgoHelper()
	var all sync.WaitGroup
	for _, b := range s.placed {
		all.Go(func() { b.later = append(b.later, s.ledger.ask(s.other, b.key, 1, b.service())) })
	}
	all.Wait()
}

// repeatAll sends all bookings again until none is told to be in progress.
func (s *stage) repeatAll() {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		s.again()
		for _, b := range s.placed {
			g.Expect(b.later[len(b.later)-1].outcome).NotTo(Or(Equal(contract.OutcomeInProgress), BeEmpty()), b.key)
		}
	}, generous, "100ms").Should(Succeed())
}

// quiesce stops all entries gracefully, so that nothing can run any more.
func (s *stage) quiesce() {
	GinkgoHelper()
	for _, e := range s.entries {
		e.terminate()
	}
	for _, e := range s.entries {
		Eventually(e.done, generous).Should(BeClosed(), e.name)
	}
}

// waitNotWhole waits until a front knows that the group has lost its VM.
func (s *stage) waitNotWhole() {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		status, err := s.front.status()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status.Groups).NotTo(ContainElement(HaveField("Whole", true)))
	}, generous, "50ms").Should(Succeed())
}

func (s *stage) slowPlatform(millis int64) {
	GinkgoHelper()
	s.switchPlatform(standinplatform.Switches{DelayMillis: &millis})
}

// goOn lets go all that kept bookings at their steps.
func (s *stage) goOn() {
	GinkgoHelper()
	s.home.wake()
	s.letGo()
}

func (s *stage) letGo() {
	GinkgoHelper()
	s.release()
	s.freezeVM(false)
}

func (s *stage) others(without *entryProcess) []*entryProcess {
	return slices.DeleteFunc(slices.Clone(s.entries), func(e *entryProcess) bool { return e == without })
}

// words are what the caller of a booking was told, at first and later.
func (b *booked) words() []string {
	words := []string{short(*b.got)}
	for _, got := range b.later {
		words = append(words, short(got))
	}
	return slices.Compact(words)
}

// short is an answer in a word or two.
func short(got answer) string {
	switch {
	case got.err != nil:
		return "nothing"
	case got.outcome == contract.OutcomeAnswered || got.code == "":
		return string(got.outcome)
	}
	return fmt.Sprintf("%s (%s)", got.outcome, got.code)
}

// matrix is what callers were told, by fault and step.
type matrix struct {
	text strings.Builder
	seen map[string]bool
}

func newMatrix() *matrix { return &matrix{seen: make(map[string]bool)} }

func (m *matrix) note(fault string, b *booked) {
	cell := fault + "/" + string(b.step)
	if !m.seen[cell] {
		m.seen[cell] = true
		fmt.Fprintf(&m.text, "%-30s %-18s %s\n", fault, b.step, strings.Join(b.words(), ", "))
	}
}

func (m *matrix) String() string { return m.text.String() }

var (
	// atServer are the steps at which the backend server has the booking, or may have it.
	atServer = []step{sent, running}
	// claims are the steps between the wish for a claim and the send, seals those of a seal.
	claims = []step{claiming, claimed}
	seals  = []step{sealing, sealed}
	// notDispatched are the steps that need no frozen home: between front and home in one process lies no link, and a
	// frozen home takes no signal to stop.
	notDispatched = slices.DeleteFunc(slices.Clone(allSteps), func(at step) bool { return at == dispatched })
)

var entryFaults = []fault{
	{
		name:   "front killed",
		hit:    func(s *stage) { s.front.kill() },
		follow: (*stage).goOn,
		mend:   func(s *stage) { s.cluster.restart(s.front) },
	},
	{
		name: "front frozen",
		hit:  func(s *stage) { s.front.freeze() },
		follow: func(s *stage) {
			s.goOn()
			s.again()
			s.waitLive(s.home, s.others(s.front)...)
			s.again()
		},
		mend:   func(s *stage) { s.front.wake() },
		unsure: seals,
	},
	{
		name:   "home killed",
		hit:    func(s *stage) { s.home.kill() },
		follow: (*stage).goOn,
		mend:   func(s *stage) { s.cluster.restart(s.home) },
		lost:   slices.Concat(claims, atServer),
	},
	{
		name: "home frozen",
		hit:  func(s *stage) { s.home.freeze() },
		follow: func(s *stage) {
			s.letGo()
			s.waitLive(s.front, s.others(s.home)...)
			s.again()
		},
		mend:   func(s *stage) { s.home.wake() },
		unsure: atServer,
		lost:   claims,
	},
	{
		name: "home leaving", steps: notDispatched,
		hit: func(s *stage) { s.home.terminate() },
		follow: func(s *stage) {
			s.goOn()
			s.waitLive(s.front, s.others(s.home)...)
			s.again()
		},
		mend: func(s *stage) {
			Eventually(s.home.done, generous).Should(BeClosed())
			s.cluster.restart(s.home)
		},
	},
	{
		name:   "home frozen for a moment",
		hit:    func(s *stage) { s.home.freeze() },
		follow: func(s *stage) { s.letGo(); s.home.wake() },
		mend:   func(*stage) {},
	},
	{
		name: "front and home in one, killed", both: true, steps: notDispatched,
		hit:    func(s *stage) { s.home.kill() },
		follow: (*stage).goOn,
		mend:   func(s *stage) { s.cluster.restart(s.home) },
		lost:   slices.Concat(claims, atServer),
	},
	{
		name: "front and home in one, frozen", both: true, steps: notDispatched,
		hit: func(s *stage) { s.home.freeze() },
		follow: func(s *stage) {
			s.letGo()
			s.waitLive(s.other, s.others(s.home)...)
			s.again()
		},
		mend:   func(s *stage) { s.home.wake() },
		unsure: slices.Concat(atServer, seals),
		lost:   claims,
	},
}

var linkFaults = []fault{
	{
		name: "front and home cut off from each other",
		hit:  func(s *stage) { s.cut(s.front, s.home, true) },
		follow: func(s *stage) {
			s.goOn()
			s.awaitAnswers()
			s.again()
		},
		mend:   func(s *stage) { s.cut(s.front, s.home, false) },
		unsure: atServer,
	},
	{
		name: "home cut off from all entries",
		hit:  func(s *stage) { s.isolate(s.home, true) },
		follow: func(s *stage) {
			s.goOn()
			s.waitLive(s.front, s.others(s.home)...)
			s.again()
		},
		mend:   func(s *stage) { s.isolate(s.home, false) },
		unsure: slices.Concat(claims, atServer),
	},
	{
		name: "home cut off from all entries until it gave its claim up", steps: claims,
		hit: func(s *stage) { s.isolate(s.home, true) },
		follow: func(s *stage) {
			s.awaitEvent(timeline.RequestRefused)
			s.goOn()
			s.waitLive(s.front, s.others(s.home)...)
			s.again()
		},
		mend:   func(s *stage) { s.isolate(s.home, false) },
		unsure: claims,
	},
	{
		name: "home cut off from the platform",
		hit:  func(s *stage) { cutOff(s.home.toPlatform, true) },
		follow: func(s *stage) {
			s.goOn()
			s.awaitAnswers()
			s.again()
		},
		mend: func(s *stage) { cutOff(s.home.toPlatform, false) },
	},
}

var serverFaults = []fault{
	{
		name: "server killed",
		hit: func(s *stage) {
			s.switchVM(s.server, standinengine.Switches{Die: true, RestartAfterMillis: 300})
		},
		follow: (*stage).goOn,
		mend:   func(*stage) {},
		lost:   atServer,
	},
	{
		name: "server frozen",
		hit:  func(s *stage) { s.freezeVM(true) },
		follow: func(s *stage) {
			s.home.wake()
			s.release()
			s.waitNotWhole()
			s.again()
		},
		mend: func(s *stage) { s.freezeVM(false) },
	},
}

func outageFault(name string, o standinplatform.Outage) fault {
	return fault{
		name:   name,
		hit:    func(s *stage) { s.outage(o) },
		follow: func(s *stage) { s.goOn(); s.awaitAnswers(); s.again() },
		mend:   func(s *stage) { s.outage(standinplatform.OutageNone) },
		unsure: allSteps,
		lost:   allSteps,
	}
}

var platformFaults = []fault{
	outageFault("platform refuses", standinplatform.OutageRefuse),
	outageFault("platform drops", standinplatform.OutageDrop),
	outageFault("platform hangs", standinplatform.OutageHang),
	{
		name:   "platform slow",
		hit:    func(s *stage) { s.slowPlatform(400) },
		follow: func(s *stage) { s.goOn(); s.awaitAnswers(); s.again() },
		mend:   func(s *stage) { s.slowPlatform(0) },
		unsure: allSteps,
		lost:   allSteps,
	},
	{
		name: "answer of that write lost", steps: []step{claimed, recorded, sealed},
		hold: standinplatform.Hold{Count: 1, Drop: true},
		hit:  func(*stage) {}, follow: (*stage).goOn, mend: func(*stage) {},
	},
	{
		name: "that write takes effect late", steps: []step{claiming, recording, sealing},
		hold:   standinplatform.Hold{Count: 1},
		hit:    func(*stage) {},
		follow: (*stage).awaitAnswers,
		mend:   (*stage).goOn,
		unsure: allSteps,
		lost:   allSteps,
	},
}
