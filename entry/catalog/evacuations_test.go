package catalog_test

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/entry/catalog"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	store "github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/platform"
	"github.com/skylarkpond/skylarkpond/platform/standin/objects"
)

// evacuationBound is the time within which nothing may be sent to an evacuated failure domain.
const evacuationBound = 5 * time.Second

// evacuated is a catalog that follows the evacuations, and what it was told of them.
type evacuated struct {
	*catalog.Catalog
	linked atomic.Bool

	mu    sync.Mutex // guards names
	names map[string]bool
}

func (e *evacuated) apply(update catalog.Update) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if update.Complete || e.names == nil {
		e.names = make(map[string]bool)
	}
	for _, object := range update.Objects() {
		if object.Deleted {
			delete(e.names, object.Name)
		} else {
			e.names[object.Name] = true
		}
	}
}

// known returns the evacuated failure domains, or nil before the first list.
func (e *evacuated) known() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.names == nil {
		return nil
	}
	names := []string{}
	for name := range e.names {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// followEvacuations starts the catalog of a leader, or of an entry that the leader feeds while linked is set.
func followEvacuations(api *objects.API, leads bool, forward func(catalog.ChangeSet)) *evacuated {
	e := &evacuated{}
	client := store.NewClient("http://"+api.Address(), store.WithCodec(platform.ObjectCodec{}), store.WithCallTimeout(300*time.Millisecond))
	e.Catalog = catalog.New(catalog.Deps{
		Store: client, FedByLeader: e.linked.Load, IsLeader: func() bool { return leads }, OnChanges: forward,
		OnPlatformLost: func(store.Kind, error) {}, OnPlatformRegained: func(store.Kind, time.Duration) {}, OnUnreadable: func(store.Object, error) {},
		OnConfig: func(*route.Table) {}, OnServerLeaving: func(*backend.Server, bool) {},
	})
	e.Follow(platform.KindEvacuations, catalog.EvacuationsWatchPolicy(evacuationBound), e.apply)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { e.Run(ctx) })
	DeferCleanup(func() { cancel(); running.Wait() })
	return e
}

var _ = Describe("Evacuations", func() {
	const half = "2500ms"
	var api *objects.API
	evacuate := func(name string) { api.Write(string(platform.KindEvacuations), name, map[string]string{}) }
	BeforeEach(func() {
		api = objects.New()
		DeferCleanup(api.Close)
	})

	// Guards against hundreds of entries that watch the platform although a healthy leader feeds them: the leader's statement of what it knows was
	// older than they accept just before each of its watches ended.
	It("are known to be current by what a healthy leader states", func() {
		const renewals = 600 * time.Millisecond
		policy := catalog.EvacuationsWatchPolicy(evacuationBound)
		Expect(2*policy.LeaderTimeout + policy.BatchDelay + renewals + 200*time.Millisecond).To(BeNumerically("<", policy.MaxAge))
		Expect(policy.MaxAge).To(BeNumerically("<=", evacuationBound/2))
	})

	// Guards against an entry that sends to an evacuated failure domain in the seconds after its start, while it waits for the leader's objects.
	It("are read at once by an entry that has just started", func() {
		evacuate("a")
		entry := followEvacuations(api, false, func(catalog.ChangeSet) {})
		Eventually(entry.known, "500ms").Should(Equal([]string{"a"}))
	})

	It("are known to be none once the first list is empty", func() {
		entry := followEvacuations(api, false, func(catalog.ChangeSet) {})
		Eventually(entry.known, half).Should(BeEmpty())
		Eventually(entry.known, half).ShouldNot(BeNil())
		evacuate("a")
		Eventually(entry.known, half).Should(Equal([]string{"a"}))
	})

	// Guards against an evacuation that lasts for ever since its end fell into the history that the platform has dropped.
	It("end when the platform drops its history together with the deletion", func() {
		evacuate("a")
		evacuate("b")
		forwarded := make(chan catalog.ChangeSet, 100)
		leader := followEvacuations(api, true, func(changes catalog.ChangeSet) { forwarded <- changes })
		Eventually(leader.known, half).Should(Equal([]string{"a", "b"}))
		api.SetFaults(objects.Faults{Unresponsive: true})
		time.Sleep(300 * time.Millisecond)
		api.Delete(string(platform.KindEvacuations), "a")
		api.Compact()
		api.SetFaults(objects.Faults{})
		Eventually(leader.known, "5s").Should(Equal([]string{"b"}))
		Eventually(forwarded).Should(Receive(HaveField("Changes", ConsistOf(HaveField("Object.Deleted", true)))), "its followers are told as well")
	})

	// The platform is unavailable to an entry that has just started.
	It("are taken from the leader's snapshot, and its changes", func() {
		evacuate("a")
		leader := followEvacuations(api, true, func(catalog.ChangeSet) {})
		Eventually(leader.known, half).Should(Equal([]string{"a"}))
		api.SetFaults(objects.Faults{Unresponsive: true})
		entry := followEvacuations(api, false, func(catalog.ChangeSet) {})
		entry.linked.Store(true)
		entry.LeaderChanged()
		snapshot, ok := leader.Snapshot(platform.KindEvacuations)
		Expect(ok).To(BeTrue())
		entry.ApplyChanges(snapshot)
		Expect(entry.known()).To(Equal([]string{"a"}))
		gone := &store.Object{Kind: platform.KindEvacuations, Name: "a", Version: snapshot.To + 1, Deleted: true}
		entry.ApplyChanges(catalog.ChangeSet{Kind: platform.KindEvacuations, From: snapshot.To, To: snapshot.To + 1, Changes: []link.Change{{Object: gone}}})
		Expect(entry.known()).To(BeEmpty())
	})
})
