package mirror

import (
	"context"
	"encoding/json"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
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

// Watches repeat old changes, peers lag behind, and pulls cross each other, so that an older copy of
// the settings arrives after a newer one. An operator would see an accepted change revert.
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
	It("takes what a complete list leaves out as deleted, unless it is newer than the list", func() {
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

// whispers is Rumours between followers in one process.
type whispers struct {
	handlers []func(member.Rumour)
	sent     int
}

func (w *whispers) Broadcast(r member.Rumour) {
	w.sent++
	for _, handler := range w.handlers {
		handler(r)
	}
}

func (w *whispers) Handle(_ string, handler func(member.Rumour)) {
	w.handlers = append(w.handlers, handler)
}

// script is a Store whose watch repeats and goes back, as after a dropped connection or a stale replica.
type script struct {
	platform.Store
	answers []platform.Changes
}

func (s *script) List(ctx context.Context, kind platform.Kind) (platform.Changes, error) {
	return s.Watch(ctx, kind, 0)
}

func (s *script) Watch(context.Context, platform.Kind, platform.Version) (platform.Changes, error) {
	next := s.answers[0]
	s.answers = s.answers[1:]
	return next, nil
}

var _ = Describe("Follower", func() {
	// A watch is dropped and starts anew on a replica of the platform that lags: it repeats an old tree. The
	// other entries must neither take it nor be told of it, else an accepted change would revert there.
	It("spreads what is new and nothing that repeats or goes back", func() {
		rumours := &whispers{}
		store := &script{answers: []platform.Changes{
			{Objects: []platform.Object{tree(7)}, Revision: 7, Complete: true},
			{Objects: []platform.Object{tree(5)}, Revision: 5},
			{Objects: []platform.Object{tree(7)}, Revision: 7},
			{Objects: []platform.Object{tree(9)}, Revision: 9},
		}}
		watcher := NewFollower(New(), store, nil, rumours)
		other := NewFollower(New(), nil, nil, rumours)
		for range 4 {
			_, err := watcher.watchOnce(context.Background(), platform.KindSettings, 1)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(rumours.sent).To(Equal(2))
		Expect(other.mirror.Version(platform.KindSettings, platform.SettingsName)).To(Equal(platform.Version(9)))
	})
})
