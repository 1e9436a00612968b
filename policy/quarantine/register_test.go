package quarantine

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * 1e9)) }

func trialOn(group string) Trial { return Trial{Group: group, Home: "home"} }

var _ = Describe("A register", func() {
	var r *Register
	BeforeEach(func() {
		r = New(DefaultConfig())
		Expect(r.RecordCrash(at(0), "crash-1", "a", []string{"x", "y"})).To(BeEmpty())
	})
	claim := func(seconds float64, fingerprint, group string, running ...string) Verdict {
		return r.Claim(at(seconds), fingerprint, trialOn(group), 30*sec, running)
	}

	It("lets a suspect run alone among suspects and on one group at a time", func() {
		Expect(r.Verdict(at(1), "z", "b")).To(Equal(Free))
		Expect(claim(1, "x", "b", "y")).To(Equal(Waits))
		Expect(claim(1, "x", "b", "z")).To(Equal(OnTrial))
		Expect(claim(1, "x", "c")).To(Equal(Waits))
		Expect(claim(1, "y", "b")).To(Equal(Waits))
		Expect(claim(1, "y", "c")).To(Equal(OnTrial))
	})

	It("quarantines what crashes on trial, whatever finishes, until an operator lifts it", func() {
		Expect(claim(1, "x", "b")).To(Equal(OnTrial))
		Expect(r.RecordCrash(at(2), "crash-2", "b", []string{"x", "z"})).To(Equal([]string{"x"}))
		Expect(r.RecordFinish(at(3), "x", "c")).To(BeTrue())
		Expect(r.Verdict(at(3), "x", "c")).To(Equal(Quarantined))
		Expect(r.Verdict(at(3), "z", "c")).To(Equal(OnTrial))
		Expect(r.Held(at(3))[0]).To(Equal(HeldRequest{Fingerprint: "x", Verdict: Quarantined, Crashes: 1, Latest: time.UnixMilli(at(2).UnixMilli())}))
		Expect(r.Lift(at(4), "x")).To(BeTrue())
		Expect(r.Lift(at(4), "x")).To(BeFalse())
		Expect(r.Verdict(at(4), "x", "c")).To(Equal(Free))
	})

	It("quarantines at a second crash of early copies, and clears what finishes", func() {
		Expect(r.RecordCrash(at(0.1), "crash-2", "b", []string{"x"})).To(Equal([]string{"x"}))
		Expect(r.RecordCrash(at(0.2), "crash-2", "b", []string{"x"})).To(BeEmpty())
		Expect(r.RecordFinish(at(1), "x", "c")).To(BeTrue())
		Expect(r.Verdict(at(1), "x", "c")).To(Equal(Free))
		Expect(r.RecordFinish(at(2), "x", "c")).To(BeFalse())
	})

	It("frees a trial that was released, or whose home never came back", func() {
		Expect(claim(1, "x", "b")).To(Equal(OnTrial))
		r.Release("x", "another home")
		Expect(r.Verdict(at(1), "x", "b")).To(Equal(Waits))
		r.Release("x", "home")
		Expect(claim(2, "x", "b")).To(Equal(OnTrial))
		Expect(r.Verdict(at(35), "x", "c")).To(Equal(Waits))
		Expect(r.Verdict(at(43), "x", "c")).To(Equal(OnTrial))
	})

	It("forgets suspicion and quarantine in time", func() {
		r.RecordCrash(at(1), "crash-2", "b", []string{"x"})
		Expect(r.Verdict(at(700), "y", "c")).To(Equal(Free))
		Expect(r.Verdict(at(700), "x", "c")).To(Equal(Quarantined))
		Expect(r.Verdict(at(3*24*3600), "x", "c")).To(Equal(Free))
		r.Expire(at(700))
		Expect(r.Len()).To(Equal(1))
		r.Expire(at(3 * 24 * 3600))
		Expect(r.Len()).To(BeZero())
	})

	// A failure domain fails, with thousands of requests in progress on groups that appear to have
	// crashed.
	It("holds back no more than its share, and stays bounded", func() {
		for group := range 20 {
			var running []string
			for i := range 100 {
				running = append(running, fmt.Sprint(group, "/", i))
			}
			r.RecordCrash(at(1), fmt.Sprint("crash-", group), "g", append(running, "poison"))
		}
		Expect(r.count(at(1).UnixMilli(), suspect)).To(Equal(DefaultMaxSuspects))
		Expect(r.Len()).To(Equal(MaxRecords))
		Expect(r.Verdict(at(1), "poison", "b")).To(Equal(Quarantined))
		data, err := r.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(len(data)).To(BeNumerically("<", 500_000))
	})

	It("refuses what it can't read", func() {
		_, err := Decode(DefaultConfig(), []byte(`{"requests":{"x":{"later":1}}}`))
		Expect(err).To(HaveOccurred())
		_, err = Decode(DefaultConfig(), []byte(`{`))
		Expect(err).To(HaveOccurred())
	})

	DescribeTable("refuses a configuration out of range", func(c Config) {
		Expect(DefaultConfig().Check()).To(Succeed())
		Expect(errors.Is(c.Check(), ErrRange)).To(BeTrue())
	},
		Entry("suspicion", Config{SuspectFor: sec, QuarantineFor: time.Hour, MaxSuspects: 1, Crashes: 2}),
		Entry("quarantine", Config{SuspectFor: time.Minute, MaxSuspects: 1, Crashes: 2}),
		Entry("suspects", Config{SuspectFor: time.Minute, QuarantineFor: time.Hour, Crashes: 2}),
		Entry("crashes", Config{SuspectFor: time.Minute, QuarantineFor: time.Hour, MaxSuspects: 1, Crashes: 1}),
	)

	// Where suspects are not held back, an ordinary request is often in progress on two of the servers
	// that a poison request crashed, so that two crashes are not enough.
	It("waits for as many crashes as are asked for", func() {
		config := DefaultConfig()
		config.Crashes = 3
		r := New(config)
		for i, server := range []string{"a", "b"} {
			Expect(r.RecordCrash(at(float64(i)), "crash-"+server, server, []string{"poison"})).To(BeEmpty())
		}
		Expect(r.RecordCrash(at(2), "crash-b", "b", []string{"poison"})).To(BeEmpty(), "the same crash, seen by another")
		Expect(r.RecordCrash(at(3), "crash-c", "c", []string{"poison"})).To(Equal([]string{"poison"}))
		Expect(r.Verdict(at(4), "poison", "d")).To(Equal(Quarantined))
	})
})

// drawRegister makes a register by random steps, few enough that no limit is reached.
func drawRegister(t *rapid.T, label string) *Register {
	r := New(DefaultConfig())
	for i := range rapid.IntRange(0, 12).Draw(t, label) {
		randomStep(t, r, at(float64(i)+rapid.Float64Range(0, 0.9).Draw(t, "pause")))
	}
	return r
}

var (
	anyFingerprint = rapid.SampledFrom([]string{"x", "y", "z"})
	anyGroup       = rapid.SampledFrom([]string{"a", "b"})
)

func randomStep(t *rapid.T, r *Register, now time.Time) {
	fingerprint, group := anyFingerprint.Draw(t, "request"), anyGroup.Draw(t, "group")
	switch rapid.IntRange(0, 4).Draw(t, "step") {
	case 0:
		running := rapid.SliceOfNDistinct(anyFingerprint, 1, 3, rapid.ID[string]).Draw(t, "running")
		r.RecordCrash(now, fmt.Sprint("crash at ", now.UnixMilli()), group, running)
	case 1:
		r.Claim(now, fingerprint, trialOn(group), 5*sec, nil)
	case 2:
		r.RecordFinish(now, fingerprint, group)
	case 3:
		r.Lift(now, fingerprint)
	case 4:
		r.Release(fingerprint, "home")
	}
}

func encoded(t *rapid.T, r *Register) string {
	data, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func merged(a, b *Register) *Register {
	c := a.Clone()
	c.Merge(at(20), b)
	return c
}

var _ = Describe("Concurrent writers", func() {
	It("merge to the same, in any order and any number of times", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			a, b, c := drawRegister(t, "a"), drawRegister(t, "b"), drawRegister(t, "c")
			ab := encoded(t, merged(a, b))
			if ab != encoded(t, merged(b, a)) {
				t.Fatal("depends on the order of two")
			}
			if encoded(t, merged(merged(a, b), c)) != encoded(t, merged(a, merged(b, c))) {
				t.Fatal("depends on the order of three")
			}
			if ab != encoded(t, merged(merged(a, b), a)) {
				t.Fatal("a second merge changes something")
			}
			back, err := Decode(DefaultConfig(), []byte(ab))
			if err != nil || encoded(t, back) != ab {
				t.Fatalf("JSON there and back: %v", err)
			}
		})
	})

	It("never lose what speaks against a request, and expiry changes no verdict", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			a, b := drawRegister(t, "a"), drawRegister(t, "b")
			both := merged(a, b)
			now := at(rapid.Float64Range(12, 4*24*3600).Draw(t, "later"))
			expired := both.Clone()
			expired.Expire(now)
			for _, fingerprint := range []string{"x", "y", "z"} {
				if both.Verdict(now, fingerprint, "a") != expired.Verdict(now, fingerprint, "a") {
					t.Fatalf("expiry changes the verdict on %s", fingerprint)
				}
			}
		})
	})
})

var _ = Describe("Homes with outdated views", func() {
	// A poison request and two ordinary ones are sent by homes, some of which learn late that a group
	// crashed.
	It("a poison request takes down one group on trial, and those it was sent to before the home knew of a crash", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
			shared := New(DefaultConfig())
			view := []*Register{shared.Clone(), shared.Clone(), shared.Clone()}
			running := make([][]string, 6)
			crashes, unaware, trials := 0, 0, 0
			for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
				now := at(float64(i) / 10)
				g := random.IntN(len(running))
				name := fmt.Sprint(g)
				h := g % len(view)
				switch random.IntN(4) {
				case 0:
					view[random.IntN(len(view))] = shared.Clone()
				case 1, 2:
					fingerprint := []string{"poison", "poison", "x", "y"}[random.IntN(4)]
					verdict := view[h].Verdict(now, fingerprint, name)
					if verdict == Free && fingerprint == "poison" {
						unaware++
					}
					if verdict == OnTrial {
						verdict = shared.Claim(now, fingerprint, trialOn(name), time.Hour, running[g])
						view[h] = shared.Clone() // what a confirmed write returns
						if verdict == OnTrial && fingerprint == "poison" {
							trials++
						}
					}
					if verdict == Free || verdict == OnTrial {
						running[g] = append(running[g], fingerprint)
					}
				case 3:
					if len(running[g]) == 0 {
						continue
					}
					if slices.Contains(running[g], "poison") {
						crashes++
						shared.RecordCrash(now, fmt.Sprint("crash-", i), name, running[g])
						running[g] = nil
						continue
					}
					finished := running[g][0]
					running[g] = running[g][1:]
					shared.RecordFinish(now, finished, name)
					if finished != "poison" && shared.Verdict(now, finished, "free") == Quarantined {
						t.Fatalf("%s finished and is in quarantine", finished)
					}
				}
				for _, ordinary := range []string{"x", "y"} {
					if crashes <= maxCrashes && shared.Verdict(now, ordinary, "free") == Quarantined {
						t.Fatalf("%s is in quarantine for a crash that the poison request caused", ordinary)
					}
				}
			}
			if trials > 1 || crashes > unaware+1 {
				t.Fatalf("%d crashes, %d copies sent unaware, %d trials", crashes, unaware, trials)
			}
		})
	})
})
