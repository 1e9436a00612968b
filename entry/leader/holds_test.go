package leader_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	link "github.com/skylarkpond/skylarkpond/link/leader"
)

// crashOn reports a crash of a server that ran requests with these traits.
func crashOn(server string, traits ...string) link.Crash {
	crash := link.Crash{Service: "desk", Server: backend.ID(server)}
	for _, trait := range traits {
		crash.Traits = append(crash.Traits, link.Trait{Name: trait})
	}
	return crash
}

// heldTraits returns the traits of the rules that a follower was last told, and whether it was told any.
func (f *follower) heldTraits() (traits []string, told bool) {
	for _, message := range slices.Backward(f.received) {
		if message.Holds == nil {
			continue
		}
		for _, rule := range message.Holds.Rules {
			traits = append(traits, rule.Traits...)
		}
		return traits, true
	}
	return nil, false
}

func (f *follower) holds() []string {
	traits, _ := f.heldTraits()
	return traits
}

var _ = Describe("Requests that crash servers", func() {
	// Several entries observe the same crash, and each observes only some of the crashes.
	It("are held back after three crashes, whichever entries reported them, until one finishes", func() {
		l := newLeader()
		first, second := &follower{}, &follower{}
		l.Join("e-1", first, link.Hello{})
		l.Join("e-2", second, link.Hello{})
		for i, report := range []link.Crash{crashOn("i-1", "bad"), crashOn("i-1", "bad"), crashOn("i-1", "own"), crashOn("i-2", "bad")} {
			l.Receive(fmt.Sprint("e-", 1+i%2), first, link.Up{Crash: &report})
		}
		l.BroadcastHolds()
		Expect(first.holds()).To(BeEmpty())
		third := crashOn("i-3", "bad")
		l.Receive("e-2", second, link.Up{Crash: &third})
		l.BroadcastHolds()
		Expect(first.holds()).To(Equal([]string{"bad"}))
		late := &follower{}
		l.Join("e-3", late, link.Hello{})
		Expect(late.holds()).To(Equal([]string{"bad"}))
		l.Receive("e-3", late, link.Up{Finished: &link.Finished{Service: "desk", Trait: "bad"}})
		l.BroadcastHolds()
		Expect(first.holds()).To(BeEmpty())
	})

	// Messages are encoded after the leader has gone on.
	It("are told as they were when the message was sent", func() {
		l := newLeader()
		l.Join("e-1", &follower{}, link.Hello{})
		for _, id := range []string{"i-1", "i-2", "i-3"} {
			report := crashOn(id, "bad")
			l.Receive("e-1", &follower{}, link.Up{Crash: &report})
		}
		l.BroadcastHolds()
		late := &follower{}
		l.Join("e-2", late, link.Hello{})
		sent := slices.Clone(late.received)
		l.Receive("e-1", late, link.Up{Finished: &link.Finished{Service: "desk", Trait: "bad"}})
		l.BroadcastHolds()
		Expect(sent[0].Holds.Rules).To(HaveLen(1))
	})

	// A trait meets two crashes by chance. If the entries were not asked, a third one would hold it back although it finishes elsewhere.
	It("are asked for before they are held back", func() {
		l := newLeader()
		first := &follower{}
		l.Join("e-1", first, link.Hello{})
		for _, id := range []string{"i-1", "i-2"} {
			report := crashOn(id, "session")
			l.Receive("e-1", first, link.Up{Crash: &report})
		}
		l.BroadcastHolds()
		Expect(first.takeLast().Holds.Suspects).To(Equal([]string{"session"}))
	})

	// The leader that counted the crashes has failed. If its successor started from zero, three more servers would crash.
	It("are counted with what was reported to an earlier leader", func() {
		l := newLeader()
		first, other := &follower{}, &follower{}
		l.Join("e-1", first, link.Hello{Crashes: []link.Crash{crashOn("i-1", "bad"), crashOn("i-2", "bad")}})
		l.BroadcastHolds()
		Expect(first.holds()).To(BeEmpty())
		third := crashOn("i-3", "bad")
		third.AgeMs = 100
		l.Join("e-2", other, link.Hello{Crashes: []link.Crash{third}})
		l.BroadcastHolds()
		Expect(first.holds()).To(Equal([]string{"bad"}))
	})

	// A part that did well under the earlier leader would be held back by its successor until it is tried again.
	It("are not held back for crashes before one that finished", func() {
		l := newLeader()
		first := &follower{}
		var crashes []link.Crash
		for _, id := range []string{"i-1", "i-2", "i-3"} {
			crash := crashOn(id, "session")
			crash.AgeMs, crash.Traits[0].Finished, crash.Traits[0].FinishedAgoMs = 5000, true, -1000
			crashes = append(crashes, crash)
		}
		l.Join("e-1", first, link.Hello{Crashes: crashes})
		l.BroadcastHolds()
		Expect(first.holds()).To(BeEmpty())
	})

	// Servers die with their VMs while they run requests that look like many others. If those were held back, all of them would be refused.
	It("are not held back for a few crashes if requests like them finished shortly before", func() {
		l := newLeader()
		first := &follower{}
		l.Join("e-1", first, link.Hello{})
		for i := range 4 {
			report := crashOn(fmt.Sprint("i-", i), "usual")
			report.Traits[0].Finished, report.Traits[0].FinishedAgoMs = true, 1000
			l.Receive("e-1", first, link.Up{Crash: &report})
		}
		l.BroadcastHolds()
		Expect(first.holds()).To(BeEmpty())
	})

	// The new leader has just started and knows of no crash.
	It("stay held back under a new leader that learns of it from one entry", func() {
		l := newLeader()
		first, other := &follower{}, &follower{}
		l.Join("e-1", first, link.Hello{})
		l.Join("e-2", other, link.Hello{Holds: []link.Holds{{Service: "desk", Rules: []link.Rule{{Traits: []string{"bad"}, Crashes: 6, AgeMs: 1000}}}}})
		l.BroadcastHolds()
		Expect(first.holds()).To(Equal([]string{"bad"}))
	})

	// Hundreds of entries report each crash. A broadcast for each report would fill the leader's link.
	It("are broadcast once for the changes of a moment", func() {
		l := newLeader()
		first := &follower{}
		l.Join("e-1", first, link.Hello{})
		first.received = nil
		for i := range 100 {
			report := crashOn(fmt.Sprint("i-", i%10), "bad", fmt.Sprint("own ", i))
			l.Receive("e-1", first, link.Up{Crash: &report})
		}
		l.BroadcastHolds()
		l.BroadcastHolds()
		Expect(first.received).To(HaveLen(1))
	})

	// Half a minute after three crashes it is not known whether the part still crashes servers.
	It("are tried again by one entry, one that reaches the servers", func() {
		l := newLeader()
		followers := map[string]*follower{"e-1": {}, "e-2": {}, "e-3": {}}
		for name, f := range followers {
			l.Join(name, f, link.Hello{})
		}
		for i := range 3 {
			report := crashOn(fmt.Sprint("i-", i), "bad")
			report.AgeMs = time.Minute.Milliseconds()
			l.Receive("e-1", followers["e-1"], link.Up{Crash: &report})
		}
		l.Receive("e-1", followers["e-1"], link.Up{Isolation: &link.Isolation{Isolated: true}})
		trials := func() (entries []string) {
			for name, f := range followers {
				for _, message := range f.received {
					if message.Trial != nil {
						Expect(*message.Trial).To(Equal(link.Trial{Service: "desk", Traits: []string{"bad"}}))
						entries = append(entries, name)
					}
				}
			}
			return entries
		}
		l.BroadcastHolds()
		l.BroadcastHolds()
		Expect(trials()).To(HaveLen(1))
		Expect(trials()).NotTo(ContainElement("e-1"))
	})
})
