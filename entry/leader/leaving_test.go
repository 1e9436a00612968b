package leader_test

import (
	"encoding/json"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/entry/leader"
	link "github.com/skylarkpond/skylarkpond/link/leader"
)

// Each entry would lose requests to a leaving server until it has heard of it itself.
var _ = Describe("Servers that say that they are leaving", func() {
	It("are told to all followers once, and to those that join later", func() {
		known := make(map[link.Leaving]bool)
		l := leader.New(leader.Deps{
			Config: func() (uint64, json.RawMessage) { return 0, nil },
			AnnounceLeaving: func(leaving link.Leaving) bool {
				isNew := !known[leaving]
				known[leaving] = true
				return isNew
			},
			AnnouncedLeaving: func() (all []link.Leaving) {
				for leaving := range known {
					all = append(all, leaving)
				}
				return all
			},
		})
		first, second := &follower{}, &follower{}
		l.Join("e-1", first, link.Hello{})
		said := []link.Leaving{{Server: "i-1", Process: 5}}
		l.Receive("e-1", first, link.Up{Leaving: said})
		Expect(first.takeLast().Leaving).To(Equal(said))
		l.Receive("e-1", first, link.Up{Leaving: said})
		Expect(first.received).To(BeEmpty())
		l.Join("e-2", second, link.Hello{})
		Expect(second.takeLast().Leaving).To(Equal(said))
	})
})
