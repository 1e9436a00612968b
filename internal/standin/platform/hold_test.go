package platform_test

import (
	"context"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/internal/standin/platform"
	link "github.com/skylarkpond/skylarkpond/link/platform"
)

var _ = Describe("Hold", func() {
	ctx := context.Background()
	var standin *platform.Platform
	var client *link.Client
	var base string
	var results chan error

	put := func(name string) {
		go func() {
			_, err := client.Put(ctx, link.KindEntry, name, 0, value)
			results <- err
		}()
	}
	hold := func(after bool, skip int, drop ...bool) {
		prefix := platform.Prefix{Kind: link.KindEntry, Name: "h"}
		Expect(standin.Switch(platform.Switches{Hold: &platform.Hold{
			Prefix: prefix, Verb: platform.VerbPut, After: after, Skip: skip, Count: 1, Drop: len(drop) > 0,
		}})).To(Succeed())
	}
	release := func(outage platform.Outage) {
		Expect(standin.Switch(platform.Switches{Outage: &outage, Release: &platform.Prefix{Kind: link.KindEntry}})).To(Succeed())
	}
	// writtenNames returns the names of the changed objects, in the order of the changes.
	writtenNames := func() string {
		var names []string
		for _, change := range standin.History() {
			names = append(names, change.Name)
		}
		return strings.Join(names, " ")
	}

	BeforeEach(func() {
		standin = platform.New()
		results = make(chan error, 10)
		server := httptest.NewServer(standin.Handler())
		DeferCleanup(server.Close)
		base = server.URL
		client = link.NewClient(base, link.WithCallTimeout(longTimeout))
	})

	It("holds a write before or after its effect until it is released", func() {
		hold(false, 1)
		put("h1")
		Eventually(results, eventuallyTimeout).Should(Receive(BeNil()), "the first is skipped")
		put("h2")
		Eventually(standin.HeldCalls, eventuallyTimeout).Should(ConsistOf(HaveField("Name", "h2")))
		Expect(writtenNames()).To(Equal("h1"))
		release(platform.OutageNone)
		Eventually(results, eventuallyTimeout).Should(Receive(BeNil()))

		hold(true, 0)
		put("h3")
		Eventually(standin.HeldCalls, eventuallyTimeout).Should(ConsistOf(HaveField("Name", "h3")))
		Expect(writtenNames()).To(Equal("h1 h2 h3"))
		Expect(results).NotTo(Receive())
		release(platform.OutageNone)
		Eventually(results, eventuallyTimeout).Should(Receive(BeNil()))
		Expect(standin.HeldCalls()).To(BeEmpty())
	})

	It("applies the outage to a released write: refused before its effect, unanswered after it", func() {
		hold(false, 0)
		put("h1")
		Eventually(standin.HeldCalls, eventuallyTimeout).Should(HaveLen(1))
		release(platform.OutageRefuse)
		Eventually(results, eventuallyTimeout).Should(Receive(MatchError(link.ErrUnavailable)))
		release(platform.OutageNone)

		hold(true, 0)
		put("h2")
		Eventually(standin.HeldCalls, eventuallyTimeout).Should(HaveLen(1))
		release(platform.OutageRefuse)
		Eventually(results, eventuallyTimeout).Should(Receive(MatchError(link.ErrUnconfirmed)))
		Expect(writtenNames()).To(Equal("h2"))
		release(platform.OutageNone)

		hold(true, 0, true)
		put("h3")
		Eventually(standin.HeldCalls, eventuallyTimeout).Should(HaveLen(1))
		put("h4")
		Eventually(results, eventuallyTimeout).Should(Receive(BeNil()), "one is held")
		release(platform.OutageNone)
		Eventually(results, eventuallyTimeout).Should(Receive(MatchError(link.ErrUnconfirmed)), "and dropped")
	})

	It("applies a held write although its caller gave up", func() {
		hold(false, 0)
		client = link.NewClient(base, link.WithCallTimeout(shortTimeout))
		put("h1")
		Eventually(results, eventuallyTimeout).Should(Receive(MatchError(link.ErrUnconfirmed)))
		Expect(writtenNames()).To(BeEmpty())
		release(platform.OutageNone)
		Eventually(writtenNames, eventuallyTimeout).Should(Equal("h1"))
	})
})
