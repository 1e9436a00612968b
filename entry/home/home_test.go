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

// scene is a home whose world changes while a request waits in its queue.
type scene struct {
	engine.Client
	state vm.GroupState
	homed bool
	whole bool
	now   time.Time
	wait  func(s *scene)
	sends int
}

func (s *scene) Lookup(id vm.GroupID) (vm.Group, bool, bool) {
	return vm.Group{ID: id, Service: "chat", State: s.state, Members: []vm.Member{{}}}, s.homed, true
}

func (s *scene) Whole(vm.GroupID) (bool, string) { return s.whole, "a member is silent" }

func (s *scene) Enter(context.Context, AdmissionRequest) (Permit, *contract.Problem) {
	s.wait(s)
	return place{}, nil
}

func (s *scene) Complete(context.Context, engine.Send, []byte) (engine.Stream, error) {
	s.sends++
	return nil, engine.ErrNotSent
}

func (s *scene) Load(vm.GroupID) contract.GroupLoad { return contract.GroupLoad{} }

// openGuard knows no suspects and holds nothing back.
func openGuard() *guard.Guard {
	return guard.New(guard.Deps{Metrics: metrics.NewRegistry(), Recorder: timeline.NewRecorder("g", nil, time.Now), Clock: time.Now})
}

type place struct{}

func (place) FirstToken() {}
func (place) Token(int)   {}
func (place) Done()       {}

// A request waits in the queue, and meanwhile its group loses a member, is drained, or gets another home; or
// the home's VM is paused for longer than the caller waits. Sent all the same, it would meet a broken replica,
// be cut by a planned stop, or run after its caller was told that it can't.
var _ = DescribeTable("what changed while a request waited",
	func(wait func(s *scene), sends int, code contract.Code) {
		s := &scene{state: vm.Serving, homed: true, whole: true, now: time.Now(), wait: wait}
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
		for i, f := range frames {
			Expect(f.RequestID).To(Equal("r"))
			Expect(f.Seq).To(BeEquivalentTo(i))
		}
	},
	Entry("nothing", func(*scene) {}, 1, contract.CodeBackendRefused),
	Entry("a member", func(s *scene) { s.whole = false }, 0, contract.CodeNoGroup),
	Entry("the group's state", func(s *scene) { s.state = vm.Draining }, 0, contract.CodeNoGroup),
	Entry("its home", func(s *scene) { s.homed = false }, 0, contract.CodeNotHome),
	Entry("the time", func(s *scene) { s.now = s.now.Add(time.Hour) }, 0, contract.CodeDeadline),
)
