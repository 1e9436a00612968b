package turn_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/entry/turn"
	link "github.com/skylarkpond/skylarkpond/link/leader"
)

func TestTurn(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "where a request may be sent")
}

var _ = Describe("Remote", func() {
	head := &backend.Server{ID: "head", Service: "chat", Model: "large", Slots: 4, Group: backend.Membership{State: backend.GroupOpen}}
	listing := func() *backend.Listing { return backend.NewListing(1, map[backend.ID]*backend.Server{"head": head}) }
	ask := turn.Ask{Service: "chat", Model: "large", Patience: time.Minute}
	var (
		remote *turn.Remote
		sent   []link.Up
	)
	BeforeEach(func() {
		remote = turn.NewRemote(turn.NewLocal(listing, func() *route.Table { return nil }), listing)
		sent = nil
	})
	// leader grants every turn at once.
	leader := func(message link.Up) {
		sent = append(sent, message)
		if message.Ask != nil {
			key := message.Ask.Key
			go remote.Answered(link.Down{Grant: &link.Grant{Key: key, Head: "head"}})
		}
	}

	// The link to the entry in charge breaks, and two requests are in progress. One ends before the next link is there: were it told as held, it
	// would take a place of its group for good.
	It("tells a new leader first, and just, of the turns that it still holds", func() {
		remote.Attach(leader)
		ended, refusal := remote.Take(context.Background(), ask)
		Expect(refusal).To(BeNil())
		kept, refusal := remote.Take(context.Background(), ask)
		Expect(refusal).To(BeNil())
		remote.Attach(nil)
		ended.Done(turn.Result{})
		sent = nil
		remote.Attach(leader)
		Expect(sent).To(HaveLen(1))
		Expect(sent[0].Turns.Running).To(Equal([]link.Running{{Key: 2, Head: "head"}}))
		kept.Done(turn.Result{})
		Expect(sent[1].Done).To(Equal(&link.Done{Key: 2, Whole: true}))
	})
})
