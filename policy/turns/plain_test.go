package turns_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/policy/capacity"
	"github.com/skylarkpond/skylarkpond/policy/turns"
)

var _ = Describe("Plain servers", func() {
	var s *turns.Scheduler
	random := func() float64 { return 0.5 }
	heads := []string{"a", "b", "c"}
	n := 0
	BeforeEach(func() {
		s = turns.New(turns.DefaultConfig())
		var groups []turns.Group
		for _, head := range heads {
			groups = append(groups, turns.Group{Head: head, Model: "desk/", Plain: true, Engine: capacity.Engine{Slots: 6}})
		}
		s.SetGroups(0, groups, random)
	})
	// serve sends 50 requests a second, as the scheduler or else each entry in turn chooses, and counts them and those that the scheduler chose for.
	serve := func(from, to time.Duration, rejects func(head string) bool) (used map[string]int, granted int) {
		used = map[string]int{}
		for now := from; now < to; now += 20 * time.Millisecond {
			n++
			d := s.Submit(now, turns.Request{Key: fmt.Sprint(n), Model: "desk/", Optional: true}, random)[0]
			if d.Reason != turns.Granted {
				head := heads[n%len(heads)]
				used[head]++
				if rejects(head) {
					s.NotePlain(now, head, 0, 1, random)
				} else {
					s.NotePlain(now, head, 1, 0, random)
				}
				continue
			}
			granted++
			used[d.Head]++
			s.Done(now+5*time.Millisecond, d.Key, turns.End{Complete: !rejects(d.Head), Rejected: rejects(d.Head)}, random)
		}
		return used, granted
	}
	only := func(rejecting string) func(string) bool { return func(head string) bool { return head == rejecting } }

	// A server that rejects requests has none in progress. Guards against sending it ever more, and against never trying it again.
	It("get few requests while they alone reject them, and their share soon afterwards", func() {
		serve(0, 5*time.Second, only(""))
		used, granted := serve(5*time.Second, 25*time.Second, only("a"))
		Expect(granted).To(BeNumerically(">", 900))
		Expect(used["a"]).To(And(BeNumerically(">=", 5), BeNumerically("<", 40)))
		Expect(used["b"]).To(BeNumerically("~", used["c"], 20), "idle servers take turns")
		Expect(s.PlainApart()).To(Equal([]turns.PlainServer{{Head: "a", Model: "desk/"}}))
		serve(25*time.Second, 32*time.Second, only(""))
		Expect(s.PlainApart()).To(BeEmpty())
		_, granted = serve(32*time.Second, 40*time.Second, only(""))
		Expect(granted).To(BeZero())
	})

	// Guards against choosing among servers of which none is better.
	It("are chosen by the entries while they reject alike", func() {
		for _, every := range []int{1, 2, 7} {
			sent := 0
			_, granted := serve(0, 20*time.Second, func(string) bool { sent++; return sent%every == 0 })
			Expect(granted).To(BeZero())
		}
	})

	It("are forgotten with their registration, also one that is set apart", func() {
		serve(0, 5*time.Second, only(""))
		serve(5*time.Second, 8*time.Second, only("a"))
		Expect(s.PlainApart()).NotTo(BeEmpty())
		s.SetGroups(8*time.Second, []turns.Group{{Head: "b", Model: "desk/", Plain: true}, {Head: "c", Model: "desk/", Plain: true}}, random)
		Expect(s.PlainApart()).To(BeEmpty())
		_, granted := serve(8*time.Second, 9*time.Second, only(""))
		Expect(granted).To(BeZero())
		s.SetGroups(9*time.Second, nil, random)
		Expect(s.NotePlain(9*time.Second, "b", 0, 1, random)).To(BeEmpty())
	})
})
