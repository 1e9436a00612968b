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
	// The platform applies the write, but the connection breaks before the response. A home that treated this as
	// a failure would report "not run" for a claim that is in effect.
	It("finds its own write after a lost response", func() {
		standin, base := serve(GinkgoTB())
		Expect(standin.Switch(platform.Switches{LoseAnswers: &platform.LoseAnswers{Count: 1}})).To(Succeed())
		client := link.NewClient(base)
		version, err := link.PutConfirmed(context.Background(), client, link.KindAttempt, "t/k", 0, value("mine"), "mine")
		Expect(err).NotTo(HaveOccurred())
		Expect(standin.History()).To(ConsistOf(HaveField("Version", version)))
	})

	// The write is queued in the platform while its caller times out, and takes effect afterwards.
	It("neither duplicates nor loses a write that takes effect late", func() {
		standin, base := serve(GinkgoTB())
		late := &platform.LateEffects{Count: 1, DelayMillis: 500}
		Expect(standin.Switch(platform.Switches{LateEffects: late})).To(Succeed())
		client := link.NewClient(base, link.WithCallTimeout(200*time.Millisecond))
		version, err := link.PutConfirmed(context.Background(), client, link.KindAttempt, "t/k", 0, value("mine"), "mine")
		Expect(err).NotTo(HaveOccurred())
		Consistently(standin.History, time.Second).Should(ConsistOf(HaveField("Version", version)))
	})

	It("rejects a value without the given nonce", func() {
		_, err := link.PutConfirmed(context.Background(), nil, link.KindAttempt, "t/k", 0, value("other"), "mine")
		Expect(err).To(MatchError(link.ErrNonceMissing))
	})
})

// putOutcome configures the outcome of one Put.
type putOutcome struct {
	Err     error         // returned without effect
	Lost    bool          // takes effect, but the response is lost
	Delay   time.Duration // takes effect after this delay; the response is lost
	Dropped bool          // never takes effect; the response is lost
}

// faultyStore holds one object. Each Put consumes the next configured outcome; later Puts succeed.
type faultyStore struct {
	link.Store

	mu       sync.Mutex
	outcomes []putOutcome
	current  link.Object
	history  []string // nonces
}

func (s *faultyStore) Get(context.Context, link.Kind, string) (link.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current.Version == 0 {
		return link.Object{}, link.ErrNotFound
	}
	return s.current, nil
}

func (s *faultyStore) Put(_ context.Context, _ link.Kind, _ string, version link.Version, value json.RawMessage) (link.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.outcomes) == 0 {
		return s.apply(version, value)
	}
	f := s.outcomes[0]
	s.outcomes = s.outcomes[1:]
	switch {
	case f.Err != nil:
		return 0, f.Err
	case f.Dropped:
	case f.Delay > 0:
		time.AfterFunc(f.Delay, func() {
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
func (s *faultyStore) apply(version link.Version, value json.RawMessage) (link.Version, error) {
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

// overwrite replaces the current value as another writer.
func (s *faultyStore) overwrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.apply(s.current.Version, value("rival"))
}

func drawOutcomes(rt *rapid.T) []putOutcome {
	delayed := rapid.Custom(func(rt *rapid.T) putOutcome {
		return putOutcome{Delay: time.Duration(rapid.IntRange(1, 3000).Draw(rt, "delay")) * time.Millisecond}
	})
	other := rapid.SampledFrom([]putOutcome{
		{},
		{Lost: true},
		{Dropped: true},
		{Err: link.ErrUnavailable},
		{Err: link.ErrThrottled},
	})
	return rapid.SliceOfN(rapid.OneOf(delayed, other), 0, 8).Draw(rt, "outcomes")
}

// scenario is one call of PutConfirmed and the faults injected into it. Times are in milliseconds.
type scenario struct {
	Outcomes      []putOutcome
	Exists        int // the object's initial version, 0 or 1
	VersionOffset int // how far the version given to PutConfirmed exceeds it
	Overwrites    []int
	Deadline      int
}

// run executes a scenario in virtual time. It returns the result given to the writer and the history of the
// object after all delayed writes have taken effect.
func (s scenario) run(t *testing.T) (history []string, version link.Version, err error) {
	store := &faultyStore{outcomes: s.Outcomes}
	store.current.Version = link.Version(s.Exists)
	synctest.Test(t, func(*testing.T) {
		for _, at := range s.Overwrites {
			time.AfterFunc(time.Duration(at)*time.Millisecond, store.overwrite)
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(s.Deadline)*time.Millisecond)
		defer cancel()
		named := link.Version(s.Exists + s.VersionOffset)
		version, err = link.PutConfirmed(ctx, store, link.KindPlacement, "d", named, value("mine"), "mine")
		time.Sleep(time.Minute)
	})
	return store.history, version - link.Version(s.Exists), err
}

func TestPutConfirmedOutcomes(t *testing.T) {
	lost, dropped := putOutcome{Lost: true}, putOutcome{Dropped: true}
	refused := putOutcome{Err: link.ErrUnavailable}
	for name, c := range map[string]struct {
		scenario scenario
		want     string
	}{
		"a success":                            {scenario{}, "done"},
		"a rejected write":                     {scenario{Outcomes: []putOutcome{refused}}, "refused"},
		"a conflict":                           {scenario{VersionOffset: 1}, "conflict"},
		"a lost response":                      {scenario{Outcomes: []putOutcome{lost}}, "done"},
		"a late effect":                        {scenario{Outcomes: []putOutcome{{Delay: time.Second}, {Delay: time.Second}}}, "done"},
		"a dropped write":                      {scenario{Outcomes: []putOutcome{dropped}}, "done"},
		"an outage after a lost response":      {scenario{Outcomes: []putOutcome{lost, refused, refused}}, "done"},
		"another writer before the retry":      {scenario{Outcomes: []putOutcome{dropped}, Overwrites: []int{10}}, "superseded"},
		"another writer after a lost response": {scenario{Outcomes: []putOutcome{lost}, Overwrites: []int{10}}, "superseded"},
		"no response before the deadline":      {scenario{Outcomes: []putOutcome{{Delay: time.Second}}, Deadline: 10}, "unconfirmed"},
	} {
		if c.scenario.Deadline == 0 {
			c.scenario.Deadline = 10_000
		}
		history, version, err := c.scenario.run(t)
		if outcomeName(err) != c.want {
			t.Errorf("%s: got %v, want %s", name, err, c.want)
		}
		checkResult(t, history, version, err)
	}
}

// Responses are lost, writes take effect late, calls are rejected and another writer interferes, in any order;
// the writer's deadline may expire at any time. The reported result must stay correct: a write reported as done
// appears exactly once in the history, and one reported as not done never appears, even after all delayed
// writes have taken effect.
func TestPutConfirmedResultIsFinal(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := scenario{
			Outcomes:      drawOutcomes(rt),
			Exists:        rapid.IntRange(0, 1).Draw(rt, "exists"),
			VersionOffset: rapid.IntRange(0, 1).Draw(rt, "version offset"),
			Overwrites:    rapid.SliceOfN(rapid.IntRange(0, 3000), 0, 2).Draw(rt, "overwrites"),
			Deadline:      rapid.IntRange(1, 4000).Draw(rt, "deadline"),
		}
		history, version, err := s.run(t)
		checkResult(rt, history, version, err)
	})
}

func outcomeName(err error) string {
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

// checkResult verifies the writer's result against the history. version is relative to the start of the
// history.
func checkResult(t rapid.TB, history []string, version link.Version, err error) {
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
		t.Fatalf("reported done at %d, history %v", version, history)
	case err != nil && !eris.Is(err, link.ErrUnconfirmed) && effects != 0:
		t.Fatalf("reported not done (%v), history %v", err, history)
	}
}
