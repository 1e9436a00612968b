package home

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/settings"
	"github.com/skylarkpond/skylarkpond/entry/guard"
	"github.com/skylarkpond/skylarkpond/link/engine"
	"github.com/skylarkpond/skylarkpond/timeline"
	"github.com/skylarkpond/skylarkpond/vm"
)

func TestHome(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "home")
}

// fakeEnvironment implements the dependencies of a Home. Its wait function changes the state while a request waits
// in the queue.
type fakeEnvironment struct {
	engine.Client
	state  vm.GroupState
	isHome bool
	whole  bool
	now    time.Time
	wait   func(s *fakeEnvironment)
	sends  int
}

func (s *fakeEnvironment) Lookup(id vm.GroupID) (vm.Group, bool, bool) {
	return vm.Group{ID: id, Service: "chat", State: s.state, Members: []vm.Member{{}}}, s.isHome, true
}

func (s *fakeEnvironment) HomeOf(vm.GroupID) string { return "other" }

func (s *fakeEnvironment) Whole(vm.GroupID) (bool, string) { return s.whole, "a member is silent" }

func (s *fakeEnvironment) Enter(context.Context, AdmissionRequest) (Permit, *contract.Problem) {
	s.wait(s)
	return fakePermit{}, nil
}

func (s *fakeEnvironment) Complete(context.Context, engine.Target, []byte) (engine.Stream, error) {
	s.sends++
	return nil, engine.ErrNotSent
}

func (s *fakeEnvironment) Load(vm.GroupID) contract.GroupLoad { return contract.GroupLoad{} }

// openGuard returns a guard that knows no suspects and holds nothing back.
func openGuard() *guard.Guard {
	return guard.New(guard.Deps{Metrics: metrics.NewRegistry(), Recorder: timeline.NewRecorder("g", nil, time.Now), Clock: time.Now})
}

type fakePermit struct{}

func (fakePermit) FirstToken() {}

func (fakePermit) RateLimit(*float64) bool { return false }

func (fakePermit) Pause(time.Duration) {}

func (fakePermit) Token(int) {}
func (fakePermit) Done()     {}

// The settings that a front works by reach the home a moment later. The caller of a service that was just declared was told
// that there is no such service, and to correct its request.
var _ = DescribeTable("a service that the home's settings don't declare", func(acceptedUnder uint64, code contract.Code, retry time.Duration) {
	s := &fakeEnvironment{state: vm.Serving, isHome: true, whole: true, now: time.Now()}
	log, _ := logtest.NewNullLogger()
	h := New(Deps{
		Metrics: metrics.NewRegistry(), Log: log,
		Groups: s, Presence: s, Admission: s, Engines: s, Guard: openGuard(), Recorder: timeline.NewRecorder("h", nil, time.Now),
		Clock: func() time.Time { return s.now }, Settings: func() *settings.Snapshot { return &settings.Snapshot{Version: 4} },
	})
	var refusal contract.Frame
	d := contract.Dispatch{RequestID: "r", Service: "chat", Group: "g", Timeout: time.Minute, SettingsVersion: acceptedUnder}
	Expect(h.Dispatch(context.Background(), d, func(f contract.Frame) error { refusal = f; return nil })).To(Succeed())
	Expect(refusal.Kind).To(Equal(contract.FrameRefused))
	Expect(refusal.Problem.Code).To(Equal(code))
	Expect(refusal.Problem.RetryAfter).To(Equal(retry))
},
	Entry("though the front's do", uint64(5), contract.CodeNoGroup, noGroupRetryAfter),
	Entry("any more", uint64(4), contract.CodeUnknownService, time.Duration(0)),
)

// While a request waits in the queue, its group loses a member, is drained, or gets another home, or the VM of
// this home is paused for longer than the caller waits. If the request were sent anyway, it would reach a broken
// replica, be cut off by a planned stop, or run after its caller was told that it would not.
var _ = DescribeTable("what changed while a request waited",
	func(wait func(s *fakeEnvironment), sends int, code contract.Code) {
		s := &fakeEnvironment{state: vm.Serving, isHome: true, whole: true, now: time.Now(), wait: wait}
		log, _ := logtest.NewNullLogger()
		h := New(Deps{
			Metrics: metrics.NewRegistry(), Log: log,
			Groups: s, Presence: s, Admission: s, Engines: s, Guard: openGuard(), Recorder: timeline.NewRecorder("h", nil, time.Now),
			Clock: func() time.Time { return s.now },
			Settings: func() *settings.Snapshot {
				return &settings.Snapshot{Services: map[string]settings.Service{"chat": {Name: "chat"}}}
			},
		})
		var frames []contract.Frame
		d := contract.Dispatch{RequestID: "r", Service: "chat", Group: "g", Timeout: time.Minute}
		err := h.Dispatch(context.Background(), d, func(f contract.Frame) error {
			frames = append(frames, f)
			return nil
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(s.sends).To(Equal(sends))
		last := frames[len(frames)-1]
		Expect(last.Kind).To(Equal(contract.FrameRefused))
		Expect(last.Problem.Code).To(Equal(code))
		// An entry that is not the home has no queue of the group: fronts would take the group for idle.
		Expect(last.Load != nil).To(Equal(code != contract.CodeNotHome))
		for i, f := range frames {
			Expect(f.RequestID).To(Equal("r"))
			Expect(f.Seq).To(BeEquivalentTo(i))
		}
	},
	Entry("nothing", func(*fakeEnvironment) {}, 1, contract.CodeBackendRefused),
	Entry("a member", func(s *fakeEnvironment) { s.whole = false }, 0, contract.CodeNoGroup),
	Entry("the group's state", func(s *fakeEnvironment) { s.state = vm.Draining }, 0, contract.CodeNoGroup),
	Entry("its home", func(s *fakeEnvironment) { s.isHome = false }, 0, contract.CodeNotHome),
	Entry("the time", func(s *fakeEnvironment) { s.now = s.now.Add(time.Hour) }, 0, contract.CodeDeadline),
)
