package catalog_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/entry/catalog"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	"github.com/skylarkpond/skylarkpond/platform"
	"github.com/skylarkpond/skylarkpond/platform/standin/objects"
	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

var _ = Describe("Catalog with the servers of a whole failure domain", func() {
	const (
		all, reclaimed = 8, 3
		// steady is longer than the platform must have answered until a registration that ends counts as the end of its server.
		steady = 3 * time.Second
		// known is how soon the end of a registration is known, with a watch and the pause after it.
		known = "2s"
	)
	write := func(f *fixture, from int) {
		for i := from; i < all; i++ {
			f.api.Write("servers", fmt.Sprint("i-", i), replica.ReadyRegistration("s"))
		}
	}

	// Guards against requests to servers that have left: a third of a service's registrations that ended at once counted as an outage of the
	// platform, also while it answered.
	It("removes those that leave together while the platform answers", func() {
		f := newFixture()
		write(f, 0)
		Eventually(f.servers, waitFor).Should(Equal(all))
		time.Sleep(steady)
		for i := range reclaimed {
			f.api.Delete("servers", fmt.Sprint("i-", i))
		}
		Eventually(f.servers, known).Should(Equal(all - reclaimed))
	})

	// Guards against the same where the leader forwards the changes.
	It("removes those that leave together by the list of a leader that the platform answers", func() {
		f := newFixture()
		write(f, 0)
		Eventually(f.servers, waitFor).Should(Equal(all))
		f.followLeader()
		time.Sleep(steady)
		from := f.catalog.Revisions()[platform.KindServers]
		changes := catalog.ChangeSet{Kind: platform.KindServers, From: from, To: from + 1}
		for i := range reclaimed {
			changes.Changes = append(changes.Changes, catalog.Change{Removal: &link.Removal{Server: backend.ID(fmt.Sprint("i-", i)), Version: from + 1}})
		}
		f.catalog.ApplyChanges(changes)
		Expect(f.servers()).To(Equal(all - reclaimed))
	})

	// Guards against a service without servers after each outage of the platform: registrations lapse meanwhile, and return within two seconds.
	It("keeps those whose registrations lapse while the platform is away", func() {
		f := newFixture()
		write(f, 0)
		Eventually(f.servers, waitFor).Should(Equal(all))
		time.Sleep(steady)
		f.api.SetFaults(objects.Faults{FailAll: 503})
		time.Sleep(steady)
		for i := range all {
			f.api.Delete("servers", fmt.Sprint("i-", i))
		}
		f.api.SetFaults(objects.Faults{})
		Consistently(f.servers, "2s").Should(Equal(all))
		write(f, reclaimed)
		Eventually(f.servers, waitFor).Should(Equal(all - reclaimed))
		Consistently(f.servers, "1s").Should(Equal(all - reclaimed))
	})
})
