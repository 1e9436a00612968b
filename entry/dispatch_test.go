package entry

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/settings"
	"github.com/skylarkpond/skylarkpond/entry/home"
	"github.com/skylarkpond/skylarkpond/timeline"
	"github.com/skylarkpond/skylarkpond/vm"
)

func TestEntry(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "entry")
}

// fakeGroups is a table of groups that are all homed here, and the admission to them.
type fakeGroups struct{ home.Admission }

func (fakeGroups) Lookup(id vm.GroupID) (vm.Group, bool, bool) {
	return vm.Group{ID: id, Service: "chat", State: vm.Serving, Members: []vm.Member{{VM: "a"}}}, true, true
}

func (fakeGroups) HomeOf(vm.GroupID) string { return "self" }

func (fakeGroups) Whole(vm.GroupID) (bool, string) { return true, "" }

func (fakeGroups) Load(vm.GroupID) contract.GroupLoad { return contract.GroupLoad{} }

var _ = ginkgo.Describe("A dispatch to an entry that never gets its settings", func() {
	// A new entry is made home and can't reach the others. Requests to its groups waited until their deadline.
	ginkgo.It("is refused with when to come back, long before its deadline", func() {
		log, _ := logtest.NewNullLogger()
		recorder := timeline.NewRecorder("self", nil, time.Now)
		d := &dispatcher{ready: make(chan struct{}), home: home.New(home.Deps{
			Groups: fakeGroups{}, Presence: fakeGroups{}, Admission: fakeGroups{}, Metrics: metrics.NewRegistry(), Log: log, Recorder: recorder,
			Settings: func() *settings.Snapshot { return &settings.Snapshot{} },
		})}
		frames := d.dispatchLocally(context.Background(), contract.Dispatch{RequestID: "r", Service: "chat", Group: "g", SettingsVersion: 1, Timeout: time.Hour})
		defer frames.Close()
		frame, err := frames.Next()
		Expect(err).NotTo(HaveOccurred())
		Expect(frame.Kind).To(Equal(contract.FrameRefused))
		Expect(frame.Problem.Code).To(Equal(contract.CodeNoGroup))
		Expect(frame.Problem.RetryAfter).To(BeNumerically(">", 0))
	})
})
