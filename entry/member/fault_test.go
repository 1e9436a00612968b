package member

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var _ = Describe("faults between entries", func() {
	// The path from one entry to another fails in one direction only. If the first entry declared the
	// other dead, a single faulty switch port would cost a healthy entry its homes.
	It("keeps an entry live that only one other can't reach, and marks it unreachable there", func() {
		forSizes("one-way cut", func(s *sim) time.Duration {
			a := s.nodes[0]
			fingers := a.fingers()
			target := fingers[s.rand.IntN(len(fingers))]
			s.cut = func(from, to int) bool { return from == a.id && s.nodes[to].entry.Name == target }
			for range 15 {
				s.run(time.Second)
				Expect(s.viewsAgree(allNodes)).To(BeTrue())
			}
			Expect(a.peers[target].unreachable).To(BeTrue())
			s.cut = func(int, int) bool { return false }
			s.run(10 * time.Second) // every finger is pinged within 3 s
			Expect(a.peers[target].unreachable).To(BeFalse())
			return 0
		})
	})

	// Failure domains can lose contact for minutes. Each side must carry on with the entries it reaches,
	// and the two must find each other again without the platform.
	It("splits along a partition and joins again", func() {
		forSizes("partition healed", func(s *sim) time.Duration {
			left := func(id int) bool { return id%3 == 0 }
			right := func(id int) bool { return id%3 != 0 }
			s.cut = func(from, to int) bool { return left(from) != left(to) }
			took := s.runUntil(3*detectionBound, func() bool { return s.viewsAgree(left) && s.viewsAgree(right) })
			Expect(took).To(BeNumerically("<", 3*detectionBound))
			s.nodes[0].Broadcast(Rumour{Topic: "test", Name: "left", Version: 1})
			s.run(time.Minute)
			s.cut = func(int, int) bool { return false }
			healed := s.runUntil(recoveryBound, func() bool { return s.viewsAgree(allNodes) })
			Expect(healed).To(BeNumerically("<", recoveryBound))
			s.runUntil(time.Minute, func() bool { return s.nodes[1].heard["left"] == 1 })
			Expect(s.nodes[1].heard).To(HaveKeyWithValue("left", uint64(1)))
			return healed
		})
	})

	It("announces to all entries when one is overloaded and when it no longer is", func() {
		s := startedSim(1, 16)
		for _, overloaded := range []bool{true, false} {
			s.nodes[3].SetOverloaded(overloaded)
			s.runUntil(detectionBound, func() bool { return s.nodes[9].peers[s.nodes[3].entry.Name].status.Overloaded == overloaded })
			for _, p := range s.nodes[9].Live() {
				Expect(p.Overloaded).To(Equal(overloaded && p.Name == s.nodes[3].entry.Name))
			}
		}
	})

	It("announces to all entries when one is joining and when it no longer is", func() {
		s := startedSim(1, 16)
		for _, joining := range []bool{true, false} {
			s.nodes[3].SetJoining(joining)
			s.runUntil(detectionBound, func() bool { return s.nodes[9].peers[s.nodes[3].entry.Name].status.Joining == joining })
			for _, p := range s.nodes[9].Live() {
				Expect(p.Joining).To(Equal(joining && p.Name == s.nodes[3].entry.Name))
			}
		}
	})

	// The network drops one message in twenty, without the retransmission that QUIC would add. An entry
	// that is wrongly declared dead loses its homes for a moment.
	It("rarely mistakes a live entry for a dead one at 5% loss, and loses no rumour", func() {
		forSizes("5% loss", func(s *sim) time.Duration {
			s.loss = 0.05
			missing := 0
			for second := range 40 {
				if second == 10 {
					s.nodes[0].Broadcast(Rumour{Topic: "test", Name: "news", Version: 3, Body: []byte("x")})
				}
				s.run(time.Second)
				for _, n := range s.nodes {
					missing += len(s.nodes) - s.liveViewsOf(n.entry.Name)
				}
			}
			pairs := len(s.nodes) * len(s.nodes) * 40
			share := float64(missing) / float64(pairs)
			fmt.Fprintf(GinkgoWriter, "n=%d: share of live entries missing from Live: %.5f\n", len(s.nodes), share)
			Expect(share).To(BeNumerically("<", 0.002))
			for _, n := range s.nodes[1:] {
				Expect(n.heard).To(HaveKeyWithValue("news", uint64(3)))
			}
			return 0
		})
	})

	// A process is replaced by one of the same name with a new key while the old process is only frozen.
	// If the old one could resume under that name, two processes would act as one entry.
	It("lets a new process replace the old one, which never owns anything again", func() {
		forSizes("replaced", func(s *sim) time.Duration {
			old := s.nodes[1]
			s.run(5 * time.Second)
			s.restart(1)
			took := s.runUntil(recoveryBound, func() bool { return s.trustedBy(s.nodes[1]) && s.viewsAgree(allNodes) })
			Expect(took).To(BeNumerically("<", recoveryBound))
			old.dead = false
			old.Upsert(s.nodes[1].entry, s.nodes[1].generation)
			Expect(old.Superseded()).To(BeTrue())
			Expect(old.Paused()).To(BeTrue())
			Expect(liveNames(old)).NotTo(ContainElement(old.entry.Name))
			old.dead = true
			for _, n := range s.nodes {
				_, known := n.Trusted(old.entry.Fingerprint)
				Expect(known).To(BeFalse())
			}
			return took
		})
	})

	// After any sequence of faults has ended, all entries agree on who is alive and hold the newest
	// version of every rumour. The rumour handler in newNode checks that versions never decrease.
	It("agrees after any schedule of faults", func() {
		schedules, events := 0, 0
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			n := rapid.IntRange(4, 24).Draw(t, "entries")
			s := newSim(rapid.Uint64().Draw(t, "seed"), n)
			s.run(joinBound)
			schedules++
			version := uint64(0)
			for range rapid.IntRange(1, 12).Draw(t, "steps") {
				events++
				version++
				injectFault(t, s, version)
				s.run(time.Duration(rapid.IntRange(50, 6000).Draw(t, "ms")) * time.Millisecond)
			}
			s.endFaults()
			if took := s.runUntil(2*time.Minute, func() bool { return s.viewsAgree(allNodes) && s.rumoursConverged() }); took >= 2*time.Minute {
				t.Fatalf("no agreement %v after the last fault", took)
			}
		})
		fmt.Fprintf(GinkgoWriter, "%d schedules, %d faults\n", schedules, events)
	})
})

// trustedBy reports whether every entry trusts the key of n.
func (s *sim) trustedBy(n *node) bool {
	for _, other := range s.nodes {
		if name, _ := other.Trusted(n.entry.Fingerprint); name != n.entry.Name {
			return false
		}
	}
	return true
}

// injectFault applies one random fault, or broadcasts a rumour.
func injectFault(t *rapid.T, s *sim, version uint64) {
	n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "entry")]
	what := rapid.SampledFrom([]string{"freeze", "wake", "restart", "cut", "heal", "loss", "rumour", "leave"}).Draw(t, "what")
	switch {
	case what == "freeze" && len(s.running(allNodes)) > 2:
		s.freeze(n)
	case what == "wake":
		s.wake(n)
	case what == "restart" && !n.frozen:
		s.restart(n.id)
	case what == "cut":
		split := rapid.IntRange(1, len(s.nodes)).Draw(t, "split")
		oneWay := rapid.Bool().Draw(t, "one way")
		s.cut = func(from, to int) bool { return (from < split) != (to < split) && (!oneWay || from < split) }
	case what == "heal":
		s.cut = func(int, int) bool { return false }
	case what == "loss":
		s.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
	case what == "rumour" && !n.frozen:
		body := make([]byte, rapid.IntRange(0, 2*maxInlineBytes).Draw(t, "bytes"))
		n.Broadcast(Rumour{Topic: "test", Name: "news", Version: version, Body: body})
	case what == "leave" && !n.frozen && len(s.running(allNodes)) > 2:
		n.Leave()
	}
}

// endFaults ends all faults that were injected.
func (s *sim) endFaults() {
	s.cut = func(int, int) bool { return false }
	s.loss = 0
	for _, n := range s.nodes {
		s.wake(n)
	}
}

// rumoursConverged reports whether all entries hold the newest version of the rumour "news".
func (s *sim) rumoursConverged() bool {
	newest := uint64(0)
	for _, n := range s.nodes {
		newest = max(newest, n.rumours[rumourKey{"test", "news"}].rumour.Version)
	}
	for _, n := range s.nodes {
		if n.rumours[rumourKey{"test", "news"}].rumour.Version != newest {
			return false
		}
	}
	return true
}
