package suspects_test

import (
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/entry/suspects"
	link "github.com/skylarkpond/skylarkpond/link/leader"
)

func TestSuspects(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "requests that crash servers")
}

var _ = Describe("Watch", func() {
	var (
		told    []link.Up
		refuses bool
		watch   *suspects.Watch
	)
	ctx := context.Background()
	server := &backend.Server{ID: "i-1", Service: "desk", Address: "10.0.0.1:1", StartedAtMillis: 7}
	BeforeEach(func() {
		told, refuses = nil, true
		watch = suspects.New(suspects.Deps{
			Refuses: func(context.Context, string) bool { return refuses },
			Tell:    func(message link.Up) { told = append(told, message) },
		})
	})

	It("tells of a request whose server is gone, and again to the next leader", func() {
		watch.Lost(ctx, "poison", server)
		crash := link.Crash{Service: "desk", Fingerprint: "poison", Server: "i-1", Born: 7}
		Expect(told).To(Equal([]link.Up{{Crash: &crash}}))
		Expect(watch.Reports()).To(Equal([]link.Crash{crash}))
	})

	// A server resets a part of its requests and goes on. Taken for crashes, three of them would lock a sound request out.
	It("does not take a reset by a server that goes on for a crash", func() {
		refuses = false
		watch.Lost(ctx, "innocent", server)
		Expect(told).To(BeEmpty())
	})

	// A server dies of its VM, with requests in progress that look like many others. Were they held back, all those would be refused.
	It("does not suspect what has finished elsewhere", func() {
		watch.Finished("desk", "usual")
		watch.Lost(ctx, "usual", server)
		Expect(told).To(BeEmpty())
	})

	It("holds back what the leader says, and tells it of what has finished all the same", func() {
		Expect(watch.Held("desk", "poison")).To(BeFalse())
		watch.Finished("desk", "usual")
		watch.Take(link.Quarantine{Service: "desk", Fingerprints: []string{"poison", "usual"}})
		Expect(watch.Held("desk", "poison")).To(BeTrue())
		Expect(watch.Held("other", "poison")).To(BeFalse())
		Expect(told).To(Equal([]link.Up{{Cleared: &link.Cleared{Service: "desk", Fingerprint: "usual"}}}))
		watch.Take(link.Quarantine{Service: "desk"})
		Expect(watch.Held("desk", "poison")).To(BeFalse())
	})
})
