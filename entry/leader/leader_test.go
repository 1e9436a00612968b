package leader_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/entry/leader"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/policy/turns"
)

func TestLeader(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "the entry in charge")
}

// follower keeps what it is sent.
type follower struct{ got []link.Down }

func (f *follower) Send(message link.Down)          { f.got = append(f.got, message) }
func (f *follower) SendShared(message *link.Shared) { f.got = append(f.got, message.Down) }

// last returns the last message and forgets all.
func (f *follower) last() link.Down {
	GinkgoHelper()
	Expect(f.got).NotTo(BeEmpty())
	last := f.got[len(f.got)-1]
	f.got = nil
	return last
}

// configNews is the change of the configuration between two revisions.
func configNews(from, to platform.Version, value json.RawMessage) link.News {
	object := &platform.Object{Kind: "config", Name: "main", Version: to, Value: value}
	return link.News{Kind: "config", From: from, To: to, Changes: []link.Change{{Object: object}}}
}

// ages are what a leader knows.
var ages = []link.Age{{Kind: "servers", Ms: 400}}

// newLeader returns a leader in charge of one plain service.
func newLeader() *leader.Leader {
	l := newEntry()
	l.RefreshGroups()
	return l
}

// newEntry returns a leader that does not know yet that it is in charge.
func newEntry() *leader.Leader {
	servers := map[backend.ID]*backend.Server{"i-1": {ID: "i-1", Service: "desk"}}
	return leader.New(leader.Deps{
		IsLeader:         func() bool { return true },
		Listing:          func() *backend.Listing { return backend.NewListing(1, servers) },
		ListAge:          func() time.Duration { return 0 },
		Table:            func() *route.Table { return &route.Table{Version: 3} },
		Dissolving:       func(backend.GroupKey) bool { return false },
		ReportDemand:     func(turns.Demand) {},
		Config:           func() (uint64, json.RawMessage) { return 3, nil },
		LeaseVersion:     func() uint64 { return 9 },
		Ages:             func() []link.Age { return ages },
		ReportQuarantine: func(link.Held) {},
	})
}

var _ = Describe("Leader", func() {
	It("tells its followers how long ago it knew what it passes on to be current", func() {
		l := newLeader()
		one := &follower{}
		l.Join("e-1", one, link.Hello{})
		l.BroadcastRenewal()
		Expect(one.last().Renewed.Ages).To(Equal(ages))
	})

	It("tells a new follower all that are live, and the others who came and went", func() {
		l := newLeader()
		first, second := &follower{}, &follower{}
		l.Join("e-1", first, link.Hello{})
		l.BroadcastRenewal()
		Expect(first.last().Renewed).To(Equal(&link.Renewed{Version: 9, ConfigVersion: 3, Live: []string{"e-1"}, Ages: ages}))
		l.Join("e-2", second, link.Hello{})
		l.BroadcastRenewal()
		Expect(second.last().Renewed.Live).To(Equal([]string{"e-1", "e-2"}))
		Expect(first.last().Renewed).To(Equal(&link.Renewed{Version: 9, ConfigVersion: 3, Joined: []string{"e-2"}, Ages: ages}))
		l.BroadcastRenewal()
		Expect(second.last().Renewed).To(Equal(&link.Renewed{Version: 9, ConfigVersion: 3, Ages: ages}))
	})

	// A configuration grows by thousands of routes. Passed on to hundreds of followers it would fill the leader's link for seconds; links
	// time out, and the configuration is in force late.
	It("lets followers read for themselves what is too large to be passed on to all", func() {
		l := newLeader()
		all := make([]*follower, 100)
		for i := range all {
			all[i] = &follower{}
			l.Join(fmt.Sprint("e-", i), all[i], link.Hello{})
		}
		large := make([]byte, 20<<10)
		random := rand.NewChaCha8([32]byte{1})
		_, _ = random.Read(large) // never fails
		value, err := json.Marshal(large)
		Expect(err).NotTo(HaveOccurred())
		l.Broadcast(configNews(5, 6, value))
		for _, f := range all {
			Expect(*f.last().News).To(Equal(link.Gap("config", 6)))
		}
		l.Broadcast(configNews(5, 6, json.RawMessage(`{"version":4}`)))
		Expect(all[0].last().News.Changes).To(HaveLen(1))
	})

	// Guards against changes that nobody is told of: entries link to the next leader before it knows that its write of the lease has succeeded.
	It("passes on what it reads before it knows that it is in charge, and leaves no gap afterwards", func() {
		l := newEntry()
		early := &follower{}
		l.Join("e-1", early, link.Hello{})
		l.Broadcast(configNews(5, 6, nil))
		Expect(early.last().News.Changes).To(HaveLen(1))
		l.Broadcast(configNews(8, 9, nil)) // what it read between brought nothing
		Expect(early.last().News.From).To(BeEquivalentTo(6))
	})

	crash := func(fingerprint, server string) link.Crash {
		return link.Crash{Service: "desk", Fingerprint: fingerprint, Server: backend.ID(server)}
	}

	// Several entries see one crash, and each sees a part of those of one request.
	It("holds back what crashed three servers, whoever saw it, until it finishes somewhere", func() {
		l := newLeader()
		first, second := &follower{}, &follower{}
		l.Join("e-1", first, link.Hello{})
		l.Join("e-2", second, link.Hello{})
		for i, told := range []link.Crash{crash("poison", "i-1"), crash("poison", "i-1"), crash("other", "i-1"), crash("poison", "i-2")} {
			l.Receive(fmt.Sprint("e-", 1+i%2), first, link.Up{Crash: &told})
		}
		Expect(first.got).To(BeEmpty())
		third := crash("poison", "i-3")
		l.Receive("e-2", second, link.Up{Crash: &third})
		held := &link.Held{Service: "desk", Fingerprints: []string{"poison"}}
		Expect(first.last().Held).To(Equal(held))
		late := &follower{}
		l.Join("e-3", late, link.Hello{})
		Expect(late.last().Held).To(Equal(held))
		l.Receive("e-3", late, link.Up{Cleared: &link.Cleared{Service: "desk", Fingerprint: "poison"}})
		Expect(first.last().Held.Fingerprints).To(BeEmpty())
	})

	// The entry that counted the crashes is gone. Were its successor to begin anew, three more servers would go.
	It("learns the crashes that an earlier leader was told", func() {
		l := newLeader()
		one, other := &follower{}, &follower{}
		l.Join("e-1", one, link.Hello{Crashes: []link.Crash{crash("poison", "i-1"), crash("poison", "i-2")}})
		Expect(one.got).To(BeEmpty())
		l.Join("e-2", other, link.Hello{Crashes: []link.Crash{crash("poison", "i-3")}})
		Expect(one.last().Held.Fingerprints).To(Equal([]string{"poison"}))
	})
})
