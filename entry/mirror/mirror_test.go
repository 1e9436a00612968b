package mirror

import (
	"context"
	"encoding/json"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"pgregory.net/rapid"

	"github.com/skylarkpond/skylarkpond/entry/member"
	"github.com/skylarkpond/skylarkpond/link/platform"
)

func TestMirror(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Mirror")
}

func tree(version platform.Version) platform.Object {
	return platform.Object{
		Kind: platform.KindSettings, Name: platform.SettingsName, Version: version, Value: json.RawMessage(`{}`),
	}
}

// Watches repeat old changes, peers lag behind, and concurrent pulls overlap, so an older copy of the settings can
// arrive after a newer one. If it were stored, an operator would see an accepted change revert.
func TestVersionNeverGoesDown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		highest := platform.Version(0)
		for _, version := range rapid.SliceOf(rapid.Uint64Range(1, 20)).Draw(t, "arrivals") {
			m.Merge(tree(platform.Version(version)))
			highest = max(highest, platform.Version(version))
			if got := m.Version(platform.KindSettings, platform.SettingsName); got != highest {
				t.Fatalf("version %d after %d had been seen", got, highest)
			}
		}
	})
}

var _ = Describe("Mirror", func() {
	It("treats what a complete list omits as deleted, unless it is newer than the list", func() {
		m := New()
		m.Merge(
			platform.Object{Kind: platform.KindEntry, Name: "old", Version: 3},
			platform.Object{Kind: platform.KindEntry, Name: "new", Version: 9},
		)
		m.MergeChanges(platform.KindEntry, platform.Changes{Revision: 5, Complete: true})
		names := []string{}
		for _, object := range m.All(platform.KindEntry) {
			names = append(names, object.Name)
		}
		Expect(names).To(Equal([]string{"new"}))
	})
})

// fakeBroadcaster delivers rumours between followers in one process.
type fakeBroadcaster struct {
	handlers []func(member.Rumour)
	sent     int
}

func (w *fakeBroadcaster) Broadcast(r member.Rumour) {
	w.sent++
	for _, handler := range w.handlers {
		handler(r)
	}
}

func (w *fakeBroadcaster) Handle(_ string, handler func(member.Rumour)) {
	w.handlers = append(w.handlers, handler)
}

// scriptedStore is a Store whose watch repeats changes and goes back to older ones, as after a dropped connection
// or on a stale replica.
type scriptedStore struct {
	platform.Store
	responses []platform.Changes
}

func (s *scriptedStore) List(ctx context.Context, kind platform.Kind) (platform.Changes, error) {
	return s.Watch(ctx, kind, 0)
}

func (s *scriptedStore) Watch(context.Context, platform.Kind, platform.Version) (platform.Changes, error) {
	next := s.responses[0]
	s.responses = s.responses[1:]
	return next, nil
}

var _ = Describe("Follower", func() {
	// A watch is dropped and resumes on a lagging replica of the platform, which repeats an old tree. The other
	// entries must neither store it nor receive it, or an accepted change would revert there.
	It("broadcasts new versions and no repeated or older ones", func() {
		rumours := &fakeBroadcaster{}
		store := &scriptedStore{responses: []platform.Changes{
			{Objects: []platform.Object{tree(7)}, Revision: 7, Complete: true},
			{Objects: []platform.Object{tree(5)}, Revision: 5},
			{Objects: []platform.Object{tree(7)}, Revision: 7},
			{Objects: []platform.Object{tree(9)}, Revision: 9},
		}}
		watcher := NewFollower(New(), store, nil, rumours, nil)
		other := NewFollower(New(), nil, nil, rumours, nil)
		for range 4 {
			_, err := watcher.watchOnce(context.Background(), platform.KindSettings, 1)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(rumours.sent).To(Equal(2))
		Expect(other.mirror.Version(platform.KindSettings, platform.SettingsName)).To(Equal(platform.Version(9)))
	})
})

// timingOutStore is a Store whose watches have no response in time.
type timingOutStore struct{ platform.Store }

func (timingOutStore) List(context.Context, platform.Kind) (platform.Changes, error) {
	return platform.Changes{Revision: 7, Complete: true}, nil
}

func (timingOutStore) Watch(context.Context, platform.Kind, platform.Version) (platform.Changes, error) {
	return platform.Changes{}, eris.Wrap(platform.ErrTimeout, "watch")
}

type onlyEntry struct{}

func (onlyEntry) Self() string   { return "e" }
func (onlyEntry) Live() []string { return []string{"e"} }

// Guards against a follower that repeats a watch whose response can't come in time, and says nothing of it.
var _ = Describe("A follower whose watch has no response in time", func() {
	It("lists the objects instead, and reports when reads begin to fail and succeed again", func(ctx SpecContext) {
		reports := make(chan error, 100)
		changed := func(kind platform.Kind, err error) {
			if kind == platform.KindSettings {
				reports <- err
			}
		}
		follower := NewFollower(New(), timingOutStore{}, onlyEntry{}, &fakeBroadcaster{}, changed)
		running, stop := context.WithCancel(ctx)
		DeferCleanup(stop)
		go follower.Run(running)
		for range 2 {
			Eventually(ctx, reports, "3s").Should(Receive(MatchError(platform.ErrTimeout)))
			Eventually(ctx, reports, "3s").Should(Receive(BeNil()))
		}
	})
})
