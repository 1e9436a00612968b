package suspicion_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/skylarkpond/skylarkpond/policy/suspicion"
)

// crashOf returns observations of traits that have neither finished nor progressed.
func crashOf(traits ...string) []suspicion.Observation {
	var observations []suspicion.Observation
	for _, trait := range traits {
		observations = append(observations, suspicion.Observation{Trait: trait})
	}
	return observations
}

func finishedAt(at time.Duration, trait string) suspicion.Observation {
	return suspicion.Observation{Trait: trait, Finished: true, FinishedAt: at}
}

func keys(rules []suspicion.Rule) []string {
	var keys []string
	for _, rule := range rules {
		keys = append(keys, rule.Key())
	}
	return keys
}

func expectRules(t *testing.T, l *suspicion.Ledger, now time.Duration, want ...string) {
	t.Helper()
	if got := keys(l.Rules(now)); !slices.Equal(got, want) {
		t.Fatalf("rules at %v: %q, want %q", now, got, want)
	}
}

// crashEvery records crashes from a time on, one each interval, and returns the time after the last one.
func crashEvery(l *suspicion.Ledger, from, interval time.Duration, name string, count int, observations func(i int) []suspicion.Observation) time.Duration {
	for i := range count {
		l.RecordCrash(from, fmt.Sprint(name, i), observations(i))
		from += interval
	}
	return from
}

// No two requests are alike. Counted by their content, no crash adds up with another one.
func TestHoldsThePartThatUnlikeRequestsShare(t *testing.T) {
	l := suspicion.New()
	now := crashEvery(l, 0, 100*time.Millisecond, "i-", 2, func(i int) []suspicion.Observation {
		return crashOf(fmt.Sprint("request ", i), "bad", fmt.Sprint("own ", i))
	})
	expectRules(t, l, now)
	l.RecordCrash(now, "i-2", crashOf("request 2", "bad", "own 2"))
	expectRules(t, l, now, "bad")
	if !l.Rules(now)[0].Matches([]string{"request 9", "bad", "own 9"}) || l.Rules(now)[0].Matches([]string{"request 9", "own 9"}) {
		t.Error("the rule holds other requests than those with the part")
	}
}

// The part that all requests of a route share is present at every crash, and is reported as often as the guilty one.
func TestClearsSharedPartsThatFinish(t *testing.T) {
	l := suspicion.New()
	for i := range 20 {
		now := time.Duration(i) * 100 * time.Millisecond
		l.RecordCrash(now, fmt.Sprint("i-", i), append(crashOf("bad"), finishedAt(now-20*time.Millisecond, "shared")))
	}
	expectRules(t, l, 2*time.Second, "bad")
}

// All servers are gone after some crashes, so that nothing finishes any more. Sound requests that were cut in the middle share their first part
// with the guilty ones.
func TestHoldsTheGuiltyPartAloneWhileNothingFinishes(t *testing.T) {
	for name, shared := range map[string]suspicion.Observation{
		"finished before": finishedAt(-time.Second, "shared"), "cut in the middle": {Trait: "shared", Progressed: true},
	} {
		t.Run(name, func(t *testing.T) {
			l := suspicion.New()
			now := crashEvery(l, 0, 600*time.Millisecond, "i-", 12, func(int) []suspicion.Observation { return append(crashOf("bad"), shared) })
			expectRules(t, l, now, "bad")
		})
	}
}

// Requests that ran on the server are lost with it and report the same crash, from several entries.
func TestCountsACrashOnce(t *testing.T) {
	l := suspicion.New()
	for range 10 {
		l.RecordCrash(0, "i-1", crashOf("session"))
	}
	l.RecordCrash(time.Second, "i-2", crashOf("session"))
	expectRules(t, l, time.Second)
	if got := l.Suspects(time.Second); !slices.Equal(got, []string{"session"}) {
		t.Errorf("suspects: %q", got)
	}
}

// A sound request is repeated at a second and a third server, and each of them crashes on a guilty one.
func TestSparesARepeatedRequestThatWasLostWithOthers(t *testing.T) {
	l := suspicion.New()
	now := crashEvery(l, 0, 100*time.Millisecond, "i-", 6, func(i int) []suspicion.Observation {
		if i >= 3 {
			return crashOf("bad", "session")
		}
		return crashOf("bad")
	})
	expectRules(t, l, now, "bad")
}

// A rack loses power. The streams of a session ran on several of its VMs.
func TestSparesPartsThatWereLostWithARack(t *testing.T) {
	l := suspicion.New()
	crashEvery(l, 0, time.Millisecond, "i-", 9, func(int) []suspicion.Observation {
		return []suspicion.Observation{finishedAt(-time.Second, "shared"), {Trait: "session", Progressed: true}}
	})
	expectRules(t, l, time.Second)
}

// A part that did well until a new version of the engine came crashes servers now.
func TestHoldsATestedPartThatCrashesServersAgainAndAgain(t *testing.T) {
	l := suspicion.New()
	now := crashEvery(l, 0, 600*time.Millisecond, "i-", 5, func(int) []suspicion.Observation {
		return []suspicion.Observation{finishedAt(-time.Second, "bad")}
	})
	expectRules(t, l, now, "bad")
}

// Two parts always come together. Holding either alone would refuse sound requests if the other one is guilty.
func TestHoldsPartsTogetherBetweenWhichCrashesDontDecide(t *testing.T) {
	l := suspicion.New()
	now := crashEvery(l, 0, 100*time.Millisecond, "i-", 4, func(int) []suspicion.Observation { return crashOf("a", "b") })
	expectRules(t, l, now, "a b")
	rule := l.Rules(now)[0]
	if !rule.Matches([]string{"b", "a", "own"}) || rule.Matches([]string{"a", "own"}) {
		t.Error("the rule holds other requests than those with both parts")
	}
	t.Run("until one of them finishes", func(t *testing.T) {
		l := suspicion.New()
		now := crashEvery(l, 0, 100*time.Millisecond, "i-", 4, func(int) []suspicion.Observation { return crashOf("a", "b") })
		l.RecordFinish(now, now, "a")
		expectRules(t, l, now, "b")
	})
	t.Run("until one of them crashes a server alone", func(t *testing.T) {
		l.RecordCrash(now, "i-alone", crashOf("a"))
		expectRules(t, l, now, "a")
	})
}

// Two guilty parts come in requests of their own, and on the same servers.
func TestHoldsTwoGuiltyParts(t *testing.T) {
	l := suspicion.New()
	now := crashEvery(l, 0, 100*time.Millisecond, "i-", 8, func(i int) []suspicion.Observation {
		return crashOf([]string{"bad 1", "bad 2"}[i%2], fmt.Sprint("own ", i))
	})
	expectRules(t, l, now, "bad 1", "bad 2")
}

// The first rule that the evidence suggests is wrong, and further crashes show the cause.
func TestReleasesAPartWhoseCrashesAnotherOneExplains(t *testing.T) {
	l := suspicion.New()
	now := crashEvery(l, 0, 100*time.Millisecond, "x-", 3, func(int) []suspicion.Observation { return crashOf("session") })
	expectRules(t, l, now, "session")
	for i := range 3 {
		l.RecordCrash(now, fmt.Sprint("x-", i), crashOf("bad")) // reported late, by other entries
	}
	l.RecordCrash(now, "i-3", crashOf("bad"))
	expectRules(t, l, now, "bad")
}

// A held part is tried again with one request, seldom enough that its crashes take few servers down.
func TestTriesAHeldPartAtDoublingIntervals(t *testing.T) {
	l := suspicion.New()
	crashEvery(l, 0, 0, "i-", 3, func(int) []suspicion.Observation { return crashOf("bad") })
	var trials []time.Duration
	for now := time.Duration(0); now < 2*time.Hour; now += time.Second {
		if due := l.DueTrials(now); len(due) > 0 {
			trials = append(trials, now)
			l.RecordCrash(now+time.Second, fmt.Sprint("trial ", len(trials)), crashOf("bad"))
			expectRules(t, l, now+time.Second, "bad")
		}
	}
	want := []time.Duration{30 * time.Second, 91 * time.Second, 212 * time.Second}
	if len(trials) > 8 || !slices.Equal(trials[:3], want) {
		t.Errorf("trials at %v, want %v first", trials, want)
	}
	l.RecordFinish(3*time.Hour, 3*time.Hour, "bad")
	expectRules(t, l, 3*time.Hour)
}

// The entry to which a trial was given has no such request.
func TestGivesATrialWithoutAResultAgain(t *testing.T) {
	l := suspicion.New()
	crashEvery(l, 0, 0, "i-", 3, func(int) []suspicion.Observation { return crashOf("bad") })
	for _, at := range []time.Duration{30 * time.Second, 40 * time.Second} {
		if due := l.DueTrials(at); !slices.Equal(keys(due), []string{"bad"}) {
			t.Errorf("due at %v: %v", at, due)
		}
		if due := l.DueTrials(at + time.Second); due != nil {
			t.Errorf("due again a second later: %v", due)
		}
	}
}

// A new leader knows the rules of the earlier one from the entries, without their evidence.
func TestKeepsTheRulesOfAnEarlierLeader(t *testing.T) {
	l := suspicion.New()
	l.Adopt(0, []suspicion.Rule{{Traits: []string{"bad"}, Crashes: 5, Latest: -time.Minute}})
	l.Adopt(0, []suspicion.Rule{{Traits: []string{"bad"}, Crashes: 4, Latest: -2 * time.Minute}})
	l.RecordCrash(0, "i-1", crashOf("other"))
	expectRules(t, l, 0, "bad")
	if got := l.Rules(0)[0].Crashes; got != 5 {
		t.Errorf("crashes: %d", got)
	}
	l.RecordCrash(time.Second, "trial", crashOf("bad"))
	expectRules(t, l, time.Second, "bad")
	l.RecordFinish(2*time.Second, 2*time.Second, "bad")
	expectRules(t, l, 2*time.Second)
}

// Each change of the leader would double the interval between trials.
func TestCountsNoCrashOfAnEarlierLeaderTwice(t *testing.T) {
	l := suspicion.New()
	l.Adopt(time.Minute, []suspicion.Rule{{Traits: []string{"bad"}, Crashes: 3, Latest: 50 * time.Second}})
	crashEvery(l, 49*time.Second, time.Second, "reported again ", 3, func(int) []suspicion.Observation { return crashOf("bad") })
	if got := l.Rules(time.Minute)[0].Crashes; got != 3 {
		t.Errorf("crashes: %d", got)
	}
	for range 2 {
		l.RecordCrash(time.Minute, "x", crashOf("bad"))
		l.RecordCrash(time.Minute+3*time.Second, "y", crashOf("bad"))
	}
	if got := l.Rules(time.Minute + 3*time.Second)[0].Crashes; got != 5 {
		t.Errorf("crashes after two more: %d", got)
	}
}

// An entry that has just started knows a rule from the platform that the leader has released meanwhile.
func TestAdoptsNoRuleThatWasReleased(t *testing.T) {
	l := suspicion.New()
	rule := suspicion.Rule{Traits: []string{"sound"}, Crashes: 3, Latest: time.Second}
	l.Adopt(time.Second, []suspicion.Rule{rule})
	l.RecordFinish(2*time.Second, 2*time.Second, "sound")
	l.Adopt(3*time.Second, []suspicion.Rule{rule})
	expectRules(t, l, 3*time.Second)
	rule.Latest = 4 * time.Second
	l.Adopt(5*time.Second, []suspicion.Rule{rule})
	expectRules(t, l, 5*time.Second, "sound")
}

// Each new leader would try a held part at once, beside the trial of the earlier one.
func TestTriesNoAdoptedRuleAtOnce(t *testing.T) {
	l := suspicion.New()
	l.Adopt(0, []suspicion.Rule{{Traits: []string{"bad"}, Crashes: 3, Latest: -time.Hour}})
	if due := l.DueTrials(29 * time.Second); due != nil {
		t.Errorf("due: %v", due)
	}
	if due := l.DueTrials(30 * time.Second); due == nil {
		t.Error("not due")
	}
}

// Thousands of crashes, each with traits of its own, must not exhaust the memory, and must not push a held part out.
func TestIsBounded(t *testing.T) {
	l := suspicion.New()
	crashEvery(l, 0, 0, "i-", 3, func(int) []suspicion.Observation { return crashOf("bad") })
	now := crashEvery(l, time.Second, time.Millisecond, "j-", 2000, func(i int) []suspicion.Observation {
		return crashOf(fmt.Sprint("a", i), fmt.Sprint("b", i), fmt.Sprint("c", i))
	})
	expectRules(t, l, now, "bad")
	if records := l.Len(); records > 4096 {
		t.Errorf("%d records", records)
	}
	if suspects := len(l.Suspects(now)); suspects > 65 {
		t.Errorf("%d suspects", suspects)
	}
	for i := range 2000 {
		l.RecordFinish(now, now, fmt.Sprint("a", i))
	}
	crashEvery(l, now, time.Millisecond, "k-", 2000, func(i int) []suspicion.Observation { return crashOf(fmt.Sprint("d", i), fmt.Sprint("e", i)) })
	if records := l.Len(); records > 4096 {
		t.Errorf("%d records after requests have finished", records)
	}
}

// Crashes of hours ago say nothing about a part that is rare.
func TestForgetsOldCrashes(t *testing.T) {
	l := suspicion.New()
	crashEvery(l, 0, 20*time.Minute, "i-", 10, func(int) []suspicion.Observation { return crashOf("session") })
	expectRules(t, l, 200*time.Minute)
	if l.Len() != 0 {
		t.Errorf("%d records", l.Len())
	}
}
