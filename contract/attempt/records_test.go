package attempt

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/link/platform"
)

var _ = Describe("Records", func() {
	var (
		ctx   = context.Background()
		store *fakeStore
		now   time.Time
	)

	newRecords := func() *Records {
		r := New(store, func() time.Time { return now })
		r.Sleep = func(context.Context, time.Duration) {}
		return r
	}
	request := func(number int, abandoned ...string) WriteRequest {
		return WriteRequest{
			ID: ID{"dairy", "lot-7"}, Number: number, Fingerprint: "f", RequestID: "r",
			Retention: time.Hour, AbandonedClaims: abandoned,
		}
	}
	put := func(a contract.AttemptRecord) {
		value, err := json.Marshal(a)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.apply("dairy/lot-7", store.objects["dairy/lot-7"].Version, value)
		Expect(err).NotTo(HaveOccurred())
	}
	current := func() contract.AttemptRecord {
		var a contract.AttemptRecord
		if object, ok := store.objects["dairy/lot-7"]; ok {
			Expect(json.Unmarshal(object.Value, &a)).To(Succeed())
		}
		return a
	}

	BeforeEach(func() {
		store = newFakeStore()
		now = time.Unix(1000, 0)
	})

	// Guards against running a request twice: a claim must not replace anything but a lower seal or an abandoned
	// claim.
	DescribeTable("claims and seals by existing record",
		func(before contract.AttemptRecord, number int, claim, seal Verdict) {
			for _, c := range []struct {
				want Verdict
				call func() Result
			}{
				{claim, func() Result { return newRecords().Claim(ctx, request(number, "gone"), "e1", "i1") }},
				{seal, func() Result { return newRecords().Seal(ctx, request(number, "gone")) }},
			} {
				store = newFakeStore()
				if before.State != "" {
					put(before)
				}
				result := c.call()
				Expect(result.Verdict).To(Equal(c.want))
				Expect(current()).To(Equal(result.Record))
			}
		},
		Entry("no record", contract.AttemptRecord{}, 1, Confirmed, Confirmed),
		Entry("a lower seal", contract.AttemptRecord{State: contract.AttemptSealed, Number: 1, Fingerprint: "f"}, 2, Confirmed, Confirmed),
		Entry("the same seal", contract.AttemptRecord{State: contract.AttemptSealed, Number: 2, Fingerprint: "f"}, 2, Found, Found),
		Entry("a higher seal", contract.AttemptRecord{State: contract.AttemptSealed, Number: 3, Fingerprint: "f"}, 2, Found, Found),
		Entry("a lower claim", contract.AttemptRecord{State: contract.AttemptClaimed, Number: 1, Fingerprint: "f", Nonce: "x"}, 2, Found, Found),
		Entry("an abandoned claim", contract.AttemptRecord{State: contract.AttemptClaimed, Number: 1, Fingerprint: "f", Nonce: "gone"}, 1, Confirmed, Confirmed),
		Entry("an answer", contract.AttemptRecord{State: contract.AttemptDone, Number: 1, Fingerprint: "f", Nonce: "gone"}, 2, Found, Found),
		Entry("another request's seal", contract.AttemptRecord{State: contract.AttemptSealed, Number: 1, Fingerprint: "g"}, 2, KeyReused, KeyReused),
		Entry("another request's claim", contract.AttemptRecord{State: contract.AttemptClaimed, Number: 1, Fingerprint: "g"}, 1, KeyReused, KeyReused),
		Entry("an abandoned claim of the next attempt", contract.AttemptRecord{State: contract.AttemptClaimed, Number: 2, Fingerprint: "f", Nonce: "gone"}, 1, Found, Confirmed),
		Entry("an abandoned claim of a higher attempt", contract.AttemptRecord{State: contract.AttemptClaimed, Number: 3, Fingerprint: "f", Nonce: "gone"}, 1, Found, Found),
	)

	// A release must end the claim, also one that takes effect late, and must not make an attempt possible again that
	// was reported as not-run.
	DescribeTable("releases an abandoned claim",
		func(faults ...fault) {
			put(contract.AttemptRecord{State: contract.AttemptSealed, Number: 1, Fingerprint: "f"})
			seal := store.objects["dairy/lot-7"]
			store.faults = faults
			claim := newRecords().Claim(ctx, request(2), "e1", "i1")
			Expect(claim.Verdict).To(BeElementOf(Confirmed, Indeterminate))
			store.faults = nil
			Expect(newRecords().Release(ctx, request(2), claim).Verdict).To(Equal(Confirmed))
			value, err := json.Marshal(claim.Record)
			Expect(err).NotTo(HaveOccurred())
			_, err = store.apply(seal.Name, seal.Version, value)
			Expect(err).To(MatchError(platform.ErrConflict), "a delayed copy of the claim")
			Expect(current().State).To(Equal(contract.AttemptSealed))
			Expect(newRecords().Claim(ctx, request(1), "e2", "i2").Verdict).To(Equal(Found))
			Expect(newRecords().Claim(ctx, request(2), "e2", "i2").Verdict).To(Equal(Confirmed))
		},
		Entry("confirmed"),
		Entry("its response lost, and the reads after it", answerLost, unavailable, answerLost, unavailable, answerLost, unavailable, answerLost, unavailable),
		Entry("lost", writeLost, unavailable, writeLost, unavailable, writeLost, unavailable, writeLost, unavailable),
	)

	It("does not overwrite what replaced a released claim", func() {
		first := newRecords().Claim(ctx, request(1), "e1", "i1")
		second := newRecords().Claim(ctx, request(1, first.Record.Nonce), "e2", "i2")
		Expect(second.Verdict).To(Equal(Confirmed))
		Expect(newRecords().Release(ctx, request(1), first).Verdict).To(Equal(Found))
		Expect(current()).To(Equal(second.Record))
	})

	// Guards against misreading a lost response, where the platform executed the write, lost it, or was down for a
	// while: a request that was reported as not-run would run, or a seal would be reported that was never written.
	DescribeTable("a write whose response is lost",
		func(want Verdict, written bool, faults ...fault) {
			for _, claim := range []bool{true, false} {
				store = newFakeStore(faults...)
				var result Result
				if claim {
					result = newRecords().Claim(ctx, request(1), "e1", "i1")
				} else {
					result = newRecords().Seal(ctx, request(1))
				}
				Expect(result.Verdict).To(Equal(want))
				Expect(current().Nonce != "").To(Equal(written))
				if want == Confirmed {
					Expect(current()).To(Equal(result.Record))
					Expect(store.objects["dairy/lot-7"].Version).To(Equal(result.Version))
				}
			}
		},
		Entry("executed, response lost, read back", Confirmed, true, answerLost),
		Entry("executed, response lost, first read lost", Confirmed, true, answerLost, answerLost),
		Entry("lost, sent again", Confirmed, true, writeLost),
		Entry("delayed until after the read, sent again", Confirmed, true, writeDelayed),
		Entry("throttled, then executed", Confirmed, true, throttled),
		Entry("platform unavailable throughout", NotWritten, false, unavailable, unavailable, unavailable, unavailable),
		Entry("executed, response lost, then unavailable", Indeterminate, true, answerLost, unavailable, unavailable, unavailable, unavailable),
		Entry("lost, then unavailable", Indeterminate, false, writeLost, unavailable, unavailable, unavailable, unavailable),
	)

	// A delayed seal and a claim of the same number are in flight together and both lose their responses. Whichever
	// takes effect first, at most one of them may be confirmed.
	DescribeTable("a claim concurrent with a pending seal",
		func(sealFault fault, claimFirst bool) {
			store.faults = []fault{sealFault, unavailable, unavailable, unavailable, unavailable, unavailable, unavailable, unavailable, unavailable}
			r := newRecords()
			seal := r.Seal(ctx, request(1))
			Expect(seal.Verdict).To(Equal(Indeterminate))
			store.faults = nil
			if !claimFirst {
				store.applyPending()
			}
			claim := r.Claim(ctx, request(1), "e1", "i1")
			store.applyPending()
			Expect(claim.Verdict == Confirmed).To(Equal(current().State == contract.AttemptClaimed))
		},
		Entry("executed before the claim", answerLost, false),
		Entry("takes effect before the claim", writeDelayed, false),
		Entry("takes effect after the claim", writeDelayed, true),
		Entry("never takes effect", writeLost, true),
	)

	It("replaces the claim by the answer and finds it", func() {
		r := newRecords()
		claim := r.Claim(ctx, request(1), "e1", "i1")
		store.faults = []fault{answerLost}
		answer := contract.StoredAnswer{Status: 201, Body: []byte("lot 7")}
		Expect(r.Complete(ctx, request(1).ID, claim, answer, time.Hour).Verdict).To(Equal(Confirmed))
		found := r.Find(ctx, request(1).ID, "f")
		Expect(found.Verdict).To(Equal(Found))
		Expect(found.Record.Answer).To(Equal(&answer))
		Expect(r.Find(ctx, request(1).ID, "g").Verdict).To(Equal(KeyReused))
		Expect(r.Find(ctx, ID{"dairy", "other"}, "f").Verdict).To(Equal(NoRecord))
		store.faults = []fault{unavailable}
		Expect(r.Find(ctx, request(1).ID, "f").Verdict).To(Equal(NotWritten))
	})

	It("needs two calls for a claim and its answer", func() {
		r := newRecords()
		claim := r.Claim(ctx, request(1), "e1", "i1")
		r.Complete(ctx, request(1).ID, claim, contract.StoredAnswer{Status: 200}, time.Hour)
		Expect(store.puts + store.gets).To(Equal(2))
	})

	// After a night without purges, thousands of records expire at once. The purge must skip records that are not due
	// and stop when the platform is down.
	It("purges only expired records", func() {
		r := newRecords()
		for i := range 5 {
			req := request(1)
			req.ID.Key = fmt.Sprint(i)
			if i >= 3 {
				req.Retention = 24 * time.Hour
			}
			Expect(r.Seal(ctx, req).Verdict).To(Equal(Confirmed))
		}
		now = now.Add(2 * time.Hour)
		purger := NewPurger(store, func() time.Time { return now }, 1000)
		store.faults = []fault{noFault, unavailable}
		deleted, err := purger.Purge(ctx)
		Expect(deleted).To(Equal(1))
		Expect(err).To(MatchError(platform.ErrUnavailable))
		deleted, err = purger.Purge(ctx)
		Expect(deleted).To(Equal(2))
		Expect(err).NotTo(HaveOccurred())
		Expect(store.objects).To(HaveLen(2))
	})
})
