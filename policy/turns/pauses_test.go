package turns_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/policy/turns"
)

var _ = Describe("Heads that have rejected requests", func() {
	var s *turns.Scheduler
	submitted := 0
	BeforeEach(func() {
		s = turns.New(turns.DefaultConfig())
		s.SetGroups(0, groups(3, 8), constantRandom)
	})
	// submit submits a request of a client and returns the decision on it, if there is one.
	submit := func(now time.Duration, client string, change func(*turns.Request)) []turns.Decision {
		submitted++
		request := newRequest(fmt.Sprint(client, "/", submitted))
		request.Client = client
		if change != nil {
			change(&request)
		}
		return s.Submit(now, request, constantRandom)
	}

	// A head that rejects at once has nothing in progress, and took most of the turns.
	It("are granted to nobody whom they asked for a pause, and to the others", func() {
		s.Pause(0, "head0", "a", 3*time.Second)
		heads := make(map[string]int)
		for range 6 {
			heads["a "+submit(0, "a", nil)[0].Head]++
			heads["b "+submit(0, "b", nil)[0].Head]++
		}
		Expect(heads).NotTo(HaveKey("a head0"))
		Expect(heads["b head0"]).To(BeNumerically(">=", 3))
	})

	// Callers would wait until their requests are rejected for good, or until the pause is over.
	It("are told as the reason at once when all pause for longer than a request may wait", func() {
		for i := range 3 {
			s.Pause(0, fmt.Sprint("head", i), "a", time.Duration(4+i)*time.Second)
		}
		d := submit(time.Second, "a", nil)
		Expect(d).To(HaveLen(1))
		Expect(d[0].Reason).To(Equal(turns.Paused))
		Expect(d[0].RetryAfter).To(BeNumerically(">=", 3*time.Second))
		Expect(d[0].Pauses).To(Equal(turns.Pauses{Heads: 3, First: "head0", Left: 3 * time.Second}))
	})

	// An entry that asks for a place at a limited server would not ask again for as long as that pauses, although another process takes its place.
	It("are asked for again soon, however long they pause", func() {
		s.SetGroups(0, groups(1, 8), constantRandom)
		s.Pause(0, "head0", "a", time.Hour)
		d := submit(time.Second, "a", func(r *turns.Request) { r.Optional = true })[0]
		Expect(d.RetryAfter).To(And(BeNumerically(">", 5*time.Second), BeNumerically("<", 12*time.Second)))
	})

	It("are waited for when they are back in time, by one request first and by the others once it is accepted", func() {
		for i := range 3 {
			s.Pause(0, fmt.Sprint("head", i), "a", time.Second)
		}
		for range 5 {
			Expect(submit(time.Second-10*time.Millisecond, "a", nil)).To(BeEmpty())
		}
		probes := s.Tick(time.Second, constantRandom)
		Expect(probes).To(HaveLen(3))
		for _, d := range probes {
			Expect(d.Watched).To(BeTrue())
		}
		Expect(s.Tick(time.Second+10*time.Millisecond, constantRandom)).To(BeEmpty())
		Expect(s.Accepted(time.Second+20*time.Millisecond, probes[0].Key, constantRandom)).To(HaveLen(2))
	})

	// A probe that was rejected would keep the head from being tried again.
	It("are probed again once a probe has ended", func() {
		s.SetGroups(0, groups(1, 8), constantRandom)
		s.Pause(0, "head0", "a", time.Second)
		probe := submit(time.Second, "a", nil)[0]
		Expect(probe.Watched).To(BeTrue())
		Expect(submit(time.Second, "a", nil)).To(BeEmpty())
		Expect(s.Done(time.Second+20*time.Millisecond, probe.Key, turns.End{}, constantRandom)).To(HaveLen(1))
	})

	// Both attempts of a request would be spent on heads that shed.
	It("are not probed by requests that were sent before while others have room", func() {
		for _, client := range []string{"a", "b"} {
			s.Pause(0, "head0", client, time.Millisecond)
		}
		retry := func(r *turns.Request) { r.TriedHeads = []string{"head1"} }
		Expect(submit(time.Second, "c", retry)[0].Head).To(Equal("head2"))
		Expect(submit(time.Second, "c", func(r *turns.Request) { r.TriedHeads = []string{"head1", "head2"} })[0].Head).To(Equal("head0"))
	})

	It("count as missing groups once they have rejected all for long", func() {
		s.Pause(0, "head0", "a", time.Hour)
		Expect(s.SheddingGroups(20*time.Second, "m")).To(BeZero())
		s.Pause(time.Second, "head0", "b", time.Hour)
		Expect(s.SheddingGroups(5*time.Second, "m")).To(BeZero())
		Expect(s.SheddingGroups(20*time.Second, "m")).To(Equal(1))
		s.SweepPauses(20*time.Second, func(head string) bool { return head == "head0" }, constantRandom)
		Expect(s.SheddingGroups(20*time.Second, "m")).To(BeZero())
		Expect(submit(20*time.Second, "a", func(r *turns.Request) { r.TriedHeads = []string{"head1", "head2"} })[0].Head).To(Equal("head0"))
	})
})
