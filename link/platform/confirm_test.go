package platform_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"pgregory.net/rapid"

	"github.com/skylarkpond/skylarkpond/internal/standin/platform"
	link "github.com/skylarkpond/skylarkpond/link/platform"
)

var _ = Describe("PutConfirmed over HTTP", func() {
	// The platform makes the write, but the connection breaks before the answer. A home that took this for a
	// failure would tell "not run" of a claim that stands.
	It("finds its own write when the answer was lost", func() {
		standin, base := serve(GinkgoTB())
		Expect(standin.Switch(platform.Switches{LoseAnswers: &platform.LoseAnswers{Count: 1}})).To(Succeed())
		client := link.NewClient(base)
		version, err := link.PutConfirmed(context.Background(), client, link.KindAttempt, "t/k", 0, value("mine"), "mine")
		Expect(err).NotTo(HaveOccurred())
		Expect(standin.History()).To(ConsistOf(HaveField("Version", version)))
	})

	// The write lies in the platform's queue while its caller times out, and takes effect afterwards.
	It("neither doubles nor loses a write that takes effect late", func() {
		standin, base := serve(GinkgoTB())
		late := &platform.LateEffects{Count: 1, DelayMillis: 500}
		Expect(standin.Switch(platform.Switches{LateEffects: late})).To(Succeed())
		client := link.NewClient(base, link.WithCallTimeout(200*time.Millisecond))
		version, err := link.PutConfirmed(context.Background(), client, link.KindAttempt, "t/k", 0, value("mine"), "mine")
		Expect(err).NotTo(HaveOccurred())
		Consistently(standin.History, time.Second).Should(ConsistOf(HaveField("Version", version)))
	})

	It("refuses a value that it could not tell from others", func() {
		_, err := link.PutConfirmed(context.Background(), nil, link.KindAttempt, "t/k", 0, value("other"), "mine")
		Expect(err).To(MatchError(link.ErrNonceMissing))
	})
})

// fate is what befalls one Put.
type fate struct {
	Refused  error         // answered so, without effect
	Lost     bool          // the answer is lost
	Late     time.Duration // the effect comes so much later, its answer is lost
	Vanishes bool          // it never takes effect, its answer is lost
}

// unsureStore is one object whose Puts meet their fates in turn; after these all goes well.
type unsureStore struct {
	link.Store

	mu      sync.Mutex
	fates   []fate
	current link.Object
	history []string // nonces
}

func (s *unsureStore) Get(context.Context, link.Kind, string) (link.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current.Version == 0 {
		return link.Object{}, link.ErrNotFound
	}
	return s.current, nil
}

func (s *unsureStore) Put(_ context.Context, _ link.Kind, _ string, version link.Version, value json.RawMessage) (link.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.fates) == 0 {
		return s.apply(version, value)
	}
	f := s.fates[0]
	s.fates = s.fates[1:]
	switch {
	case f.Refused != nil:
		return 0, f.Refused
	case f.Vanishes:
	case f.Late > 0:
		time.AfterFunc(f.Late, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			_, _ = s.apply(version, value)
		})
	case f.Lost:
		_, _ = s.apply(version, value)
	default:
		return s.apply(version, value)
	}
	return 0, link.ErrUnconfirmed
}

// apply must be called with mu held.
func (s *unsureStore) apply(version link.Version, value json.RawMessage) (link.Version, error) {
	if s.current.Version != version {
		return 0, link.ErrConflict
	}
	s.current.Version++
	s.current.Value = value
	var v struct{ Nonce string }
	_ = json.Unmarshal(value, &v)
	s.history = append(s.history, v.Nonce)
	return s.current.Version, nil
}

// rival replaces whatever is there.
func (s *unsureStore) rival() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.apply(s.current.Version, value("rival"))
}

func drawFates(rt *rapid.T) []fate {
	late := rapid.Custom(func(rt *rapid.T) fate {
		return fate{Late: time.Duration(rapid.IntRange(1, 3000).Draw(rt, "late")) * time.Millisecond}
	})
	other := rapid.SampledFrom([]fate{
		{},
		{Lost: true},
		{Vanishes: true},
		{Refused: link.ErrUnavailable},
		{Refused: link.ErrThrottled},
	})
	return rapid.SliceOfN(rapid.OneOf(late, other), 0, 8).Draw(rt, "fates")
}

// scenario is one call of PutConfirmed and what befalls it. Times are in milliseconds.
type scenario struct {
	Fates    []fate
	Exists   int // the object's version before, 0 or 1
	Ahead    int // how far the named version is ahead of it
	Rivals   []int
	Deadline int
}

// play runs a scenario in virtual time and returns what the writer is told, and the history of the object
// once everything late has landed.
func (s scenario) play(t *testing.T) (history []string, version link.Version, err error) {
	store := &unsureStore{fates: s.Fates}
	store.current.Version = link.Version(s.Exists)
	synctest.Test(t, func(*testing.T) {
		for _, at := range s.Rivals {
			time.AfterFunc(time.Duration(at)*time.Millisecond, store.rival)
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(s.Deadline)*time.Millisecond)
		defer cancel()
		named := link.Version(s.Exists + s.Ahead)
		version, err = link.PutConfirmed(ctx, store, link.KindPlacement, "d", named, value("mine"), "mine")
		time.Sleep(time.Minute)
	})
	return store.history, version - link.Version(s.Exists), err
}

func TestPutConfirmedOutcomes(t *testing.T) {
	lost, gone := fate{Lost: true}, fate{Vanishes: true}
	refused := fate{Refused: link.ErrUnavailable}
	for name, c := range map[string]struct {
		scenario scenario
		told     string
	}{
		"an answer":                     {scenario{}, "done"},
		"a refusal":                     {scenario{Fates: []fate{refused}}, "refused"},
		"a conflict":                    {scenario{Ahead: 1}, "conflict"},
		"a lost answer":                 {scenario{Fates: []fate{lost}}, "done"},
		"a late effect":                 {scenario{Fates: []fate{{Late: time.Second}, {Late: time.Second}}}, "done"},
		"a write that vanished":         {scenario{Fates: []fate{gone}}, "done"},
		"an outage after a lost answer": {scenario{Fates: []fate{lost, refused, refused}}, "done"},
		"a rival before the second try": {scenario{Fates: []fate{gone}, Rivals: []int{10}}, "superseded"},
		"a rival after a lost answer":   {scenario{Fates: []fate{lost}, Rivals: []int{10}}, "superseded"},
		"no answer before the deadline": {scenario{Fates: []fate{{Late: time.Second}}, Deadline: 10}, "unconfirmed"},
	} {
		if c.scenario.Deadline == 0 {
			c.scenario.Deadline = 10_000
		}
		history, version, err := c.scenario.play(t)
		if tell(err) != c.told {
			t.Errorf("%s: told %v, want %s", name, err, c.told)
		}
		check(t, history, version, err)
	}
}

// Answers are lost, effects come late, calls are refused and a rival writes, in any order; the writer's
// deadline may pass at any time. Whatever it is told must be true for good: "done" stands once in the
// history, and what is told as not done never appears in it, not even after everything late has landed.
func TestPutConfirmedIsTrueForGood(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := scenario{
			Fates:    drawFates(rt),
			Exists:   rapid.IntRange(0, 1).Draw(rt, "exists"),
			Ahead:    rapid.IntRange(0, 1).Draw(rt, "ahead"),
			Rivals:   rapid.SliceOfN(rapid.IntRange(0, 3000), 0, 2).Draw(rt, "rivals"),
			Deadline: rapid.IntRange(1, 4000).Draw(rt, "deadline"),
		}
		history, version, err := s.play(t)
		check(rt, history, version, err)
	})
}

func tell(err error) string {
	switch {
	case err == nil:
		return "done"
	case eris.Is(err, link.ErrSuperseded):
		return "superseded"
	case eris.Is(err, link.ErrUnconfirmed):
		return "unconfirmed"
	case eris.Is(err, link.ErrConflict):
		return "conflict"
	}
	return "refused"
}

// check holds what a writer was told against the history; version counts from the history's start.
func check(t rapid.TB, history []string, version link.Version, err error) {
	effects := 0
	for _, nonce := range history {
		if nonce == "mine" {
			effects++
		}
	}
	switch {
	case effects > 1:
		t.Fatalf("took effect %d times: %v", effects, history)
	case err == nil && (effects != 1 || history[version-1] != "mine"):
		t.Fatalf("told done at %d, history %v", version, history)
	case err != nil && !eris.Is(err, link.ErrUnconfirmed) && effects != 0:
		t.Fatalf("told not done (%v), history %v", err, history)
	}
}
