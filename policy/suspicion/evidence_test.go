package suspicion_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/skylarkpond/skylarkpond/policy/suspicion"
)

// Several observers write the evidence of a service at the same time, and each has seen a part of it. If one's write replaced another's, a crash would
// be lost.
func TestMergingEvidenceLosesNothingInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) suspicion.Evidence {
			var e suspicion.Evidence
			for range rapid.IntRange(0, 6).Draw(t, name) {
				trait := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "trait")
				at := rapid.Int64Range(1, 1000).Draw(t, "at")
				if rapid.Bool().Draw(t, "finished") {
					e.RecordFinish(at, trait)
					continue
				}
				id := rapid.SampledFrom([]string{"1", "2", "3", "4"}).Draw(t, "id")
				e.RecordCrash(id, suspicion.Incident{At: at, Traits: map[string]suspicion.Seen{trait: {Progressed: at%2 == 0, FinishedAt: at / 2}}})
			}
			return e.Clone()
		}
		merge := func(all ...suspicion.Evidence) suspicion.Evidence {
			var merged suspicion.Evidence
			for _, e := range all {
				merged.Merge(e)
			}
			return merged
		}
		a, b, c := draw("a"), draw("b"), draw("c")
		if ab, ba := merge(a, b), merge(b, a); !reflect.DeepEqual(ab, ba) {
			t.Fatalf("not commutative: %v, %v", ab, ba)
		}
		if left, right := merge(merge(a, b), c), merge(a, merge(b, c)); !reflect.DeepEqual(left, right) {
			t.Fatalf("not associative: %v, %v", left, right)
		}
		if twice := merge(a, a); !reflect.DeepEqual(twice, merge(a)) {
			t.Fatalf("not idempotent: %v", twice)
		}
	})
}

func incident(at int64, traits ...string) suspicion.Incident {
	seen := make(map[string]suspicion.Seen)
	for _, trait := range traits {
		seen[trait] = suspicion.Seen{}
	}
	return suspicion.Incident{At: at, Traits: seen}
}

func TestEvidenceDecidesLikeTheCrashesThemselves(t *testing.T) {
	now := time.Now().UnixMilli()
	var e suspicion.Evidence
	for i := range 3 {
		e.RecordCrash(fmt.Sprint(i), incident(now+int64(i), "shared", "bad", fmt.Sprint("own ", i)))
	}
	e.RecordFinish(now+10, "shared")
	stored, err := json.Marshal(e)
	if err != nil {
		t.Fatal(err)
	}
	var read suspicion.Evidence
	if err := json.Unmarshal(stored, &read); err != nil {
		t.Fatal(err)
	}
	at := time.Duration(now+20) * time.Millisecond
	expectRules(t, read.Ledger(), at, "bad")
	read.RecordFinish(now+15, "bad")
	expectRules(t, read.Ledger(), at)
}

func TestEvidenceIsBounded(t *testing.T) {
	var e suspicion.Evidence
	for i := range 200 {
		e.RecordCrash(fmt.Sprint(i), incident(int64(i+1), fmt.Sprint("own ", i)))
		e.RecordFinish(int64(i+1), fmt.Sprint("other ", i))
	}
	e.Expire(300)
	if len(e.Incidents) != 64 || len(e.FinishedAt) != 0 {
		t.Errorf("%d crashes, %d finished", len(e.Incidents), len(e.FinishedAt))
	}
	if _, kept := e.Incidents["199"]; !kept {
		t.Error("the last crash is forgotten")
	}
	e.Expire((48 * time.Hour).Milliseconds())
	if len(e.Incidents) != 0 {
		t.Errorf("%d crashes after two days", len(e.Incidents))
	}
}
