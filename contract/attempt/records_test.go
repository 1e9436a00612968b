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

	records := func() *Records {
		r := New(store, func() time.Time { return now })
		r.Sleep = func(context.Context, time.Duration) {}
		return r
	}
	wish := func(number int, renounced ...string) WriteRequest {
		return WriteRequest{
			ID: ID{"dairy", "lot-7"}, Number: number, Fingerprint: "f", RequestID: "r",
			Retention: time.Hour, AbandonedClaims: renounced,
		}
	}
	stand := func(a contract.AttemptRecord) {
		value, err := json.Marshal(a)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.apply("dairy/lot-7", store.objects["dairy/lot-7"].Version, value)
		Expect(err).NotTo(HaveOccurred())
	}
	standing := func() contract.AttemptRecord {
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

	// A booking's claim meets what stands already: nothing, an earlier try given up, another home's claim, an
	// answer. If a claim went through over more than a lower seal, the lot would be booked twice.
	DescribeTable("claims and seals over what stands",
		func(before contract.AttemptRecord, number int, claim, seal Verdict) {
			for _, c := range []struct {
				want Verdict
				call func() Result
			}{
				{claim, func() Result { return records().Claim(ctx, wish(number, "gone"), "e1", "i1") }},
				{seal, func() Result { return records().Seal(ctx, wish(number, "gone")) }},
			} {
				store = newFakeStore()
				if before.State != "" {
					stand(before)
				}
				result := c.call()
				Expect(result.Verdict).To(Equal(c.want))
				Expect(standing()).To(Equal(result.Record))
			}
		},
		Entry("nothing", contract.AttemptRecord{}, 1, Confirmed, Confirmed),
		Entry("a lower seal", contract.AttemptRecord{State: contract.AttemptSealed, Number: 1, Fingerprint: "f"}, 2, Confirmed, Confirmed),
		Entry("the same seal", contract.AttemptRecord{State: contract.AttemptSealed, Number: 2, Fingerprint: "f"}, 2, Found, Found),
		Entry("a higher seal", contract.AttemptRecord{State: contract.AttemptSealed, Number: 3, Fingerprint: "f"}, 2, Found, Found),
		Entry("a lower claim", contract.AttemptRecord{State: contract.AttemptClaimed, Number: 1, Fingerprint: "f", Nonce: "x"}, 2, Found, Found),
		Entry("a renounced claim", contract.AttemptRecord{State: contract.AttemptClaimed, Number: 1, Fingerprint: "f", Nonce: "gone"}, 1, Confirmed, Confirmed),
		Entry("an answer", contract.AttemptRecord{State: contract.AttemptDone, Number: 1, Fingerprint: "f", Nonce: "gone"}, 2, Found, Found),
		Entry("another request's seal", contract.AttemptRecord{State: contract.AttemptSealed, Number: 1, Fingerprint: "g"}, 2, KeyReused, KeyReused),
		Entry("another request's claim", contract.AttemptRecord{State: contract.AttemptClaimed, Number: 1, Fingerprint: "g"}, 1, KeyReused, KeyReused),
		Entry("a renounced claim of the next attempt", contract.AttemptRecord{State: contract.AttemptClaimed, Number: 2, Fingerprint: "f", Nonce: "gone"}, 1, Found, Confirmed),
		Entry("a renounced claim of a higher attempt", contract.AttemptRecord{State: contract.AttemptClaimed, Number: 3, Fingerprint: "f", Nonce: "gone"}, 1, Found, Found),
	)

	// A release must end the claim, also one that lands late, and must not bring back an attempt that was told not-run.
	DescribeTable("releases a claim that was given up",
		func(faults ...fault) {
			stand(contract.AttemptRecord{State: contract.AttemptSealed, Number: 1, Fingerprint: "f"})
			seal := store.objects["dairy/lot-7"]
			store.faults = faults
			claim := records().Claim(ctx, wish(2), "e1", "i1")
			Expect(claim.Verdict).To(BeElementOf(Confirmed, Indeterminate))
			store.faults = nil
			Expect(records().Release(ctx, wish(2), claim).Verdict).To(Equal(Confirmed))
			value, err := json.Marshal(claim.Record)
			Expect(err).NotTo(HaveOccurred())
			_, err = store.apply(seal.Name, seal.Version, value)
			Expect(err).To(MatchError(platform.ErrConflict), "a late copy of the claim")
			Expect(standing().State).To(Equal(contract.AttemptSealed))
			Expect(records().Claim(ctx, wish(1), "e2", "i2").Verdict).To(Equal(Found))
			Expect(records().Claim(ctx, wish(2), "e2", "i2").Verdict).To(Equal(Confirmed))
		},
		Entry("confirmed"),
		Entry("its answer lost, and the reads behind it", lost, out, lost, out, lost, out, lost, out),
		Entry("lost", void, out, void, out, void, out, void, out),
	)

	It("leaves what replaced a released claim", func() {
		first := records().Claim(ctx, wish(1), "e1", "i1")
		second := records().Claim(ctx, wish(1, first.Record.Nonce), "e2", "i2")
		Expect(second.Verdict).To(Equal(Confirmed))
		Expect(records().Release(ctx, wish(1), first).Verdict).To(Equal(Found))
		Expect(standing()).To(Equal(second.Record))
	})

	// The platform takes the write and its answer is lost, or loses the write, or is out for a while. Read the
	// wrong way, a request runs that was told not-run, or a seal is told that never came about.
	DescribeTable("a write whose answer is lost",
		func(want Verdict, written bool, faults ...fault) {
			for _, claim := range []bool{true, false} {
				store = newFakeStore(faults...)
				var result Result
				if claim {
					result = records().Claim(ctx, wish(1), "e1", "i1")
				} else {
					result = records().Seal(ctx, wish(1))
				}
				Expect(result.Verdict).To(Equal(want))
				Expect(standing().Nonce != "").To(Equal(written))
				if want == Confirmed {
					Expect(standing()).To(Equal(result.Record))
					Expect(store.objects["dairy/lot-7"].Version).To(Equal(result.Version))
				}
			}
		},
		Entry("taken, answer lost, read back", Confirmed, true, lost),
		Entry("taken, answer lost, first read lost", Confirmed, true, lost, lost),
		Entry("lost on its way, sent again", Confirmed, true, void),
		Entry("late, behind the read, sent again", Confirmed, true, late),
		Entry("throttled, then taken", Confirmed, true, limit),
		Entry("out all the time", NotWritten, false, out, out, out, out),
		Entry("taken, answer lost, then out", Indeterminate, true, lost, out, out, out, out),
		Entry("lost, then out", Indeterminate, false, void, out, out, out, out),
	)

	// A late seal and a claim of the same number are under way together, each with its answer lost. Whatever
	// lands first, at most one of the two may be confirmed.
	DescribeTable("a claim against a seal that is on its way",
		func(sealFault fault, claimFirst bool) {
			store.faults = []fault{sealFault, out, out, out, out, out, out, out, out}
			r := records()
			seal := r.Seal(ctx, wish(1))
			Expect(seal.Verdict).To(Equal(Indeterminate))
			store.faults = nil
			if !claimFirst {
				store.land()
			}
			claim := r.Claim(ctx, wish(1), "e1", "i1")
			store.land()
			Expect(claim.Verdict == Confirmed).To(Equal(standing().State == contract.AttemptClaimed))
		},
		Entry("taken before", lost, false),
		Entry("lands before", late, false),
		Entry("lands behind", late, true),
		Entry("never lands", void, true),
	)

	It("keeps the answer in place of the claim, and finds it", func() {
		r := records()
		claim := r.Claim(ctx, wish(1), "e1", "i1")
		store.faults = []fault{lost}
		answer := contract.StoredAnswer{Status: 201, Body: []byte("lot 7")}
		Expect(r.Complete(ctx, wish(1).ID, claim, answer, time.Hour).Verdict).To(Equal(Confirmed))
		found := r.Find(ctx, wish(1).ID, "f")
		Expect(found.Verdict).To(Equal(Found))
		Expect(found.Record.Answer).To(Equal(&answer))
		Expect(r.Find(ctx, wish(1).ID, "g").Verdict).To(Equal(KeyReused))
		Expect(r.Find(ctx, ID{"dairy", "other"}, "f").Verdict).To(Equal(NoRecord))
		store.faults = []fault{out}
		Expect(r.Find(ctx, wish(1).ID, "f").Verdict).To(Equal(NotWritten))
	})

	It("spends two calls on a claim and its answer", func() {
		r := records()
		claim := r.Claim(ctx, wish(1), "e1", "i1")
		r.Complete(ctx, wish(1).ID, claim, contract.StoredAnswer{Status: 200}, time.Hour)
		Expect(store.puts + store.gets).To(Equal(2))
	})

	// Nobody deletes records for a night; then thousands are due at once. The purge keeps to its rate, spares
	// what is not due, and stops when the platform is out.
	It("purges what expired, and nothing else", func() {
		r := records()
		for i := range 5 {
			w := wish(1)
			w.ID.Key = fmt.Sprint(i)
			if i >= 3 {
				w.Retention = 24 * time.Hour
			}
			Expect(r.Seal(ctx, w).Verdict).To(Equal(Confirmed))
		}
		now = now.Add(2 * time.Hour)
		purger := NewPurger(store, func() time.Time { return now }, 1000)
		store.faults = []fault{fine, out}
		deleted, err := purger.Purge(ctx)
		Expect(deleted).To(Equal(1))
		Expect(err).To(MatchError(platform.ErrUnavailable))
		deleted, err = purger.Purge(ctx)
		Expect(deleted).To(Equal(2))
		Expect(err).NotTo(HaveOccurred())
		Expect(store.objects).To(HaveLen(2))
	})
})
