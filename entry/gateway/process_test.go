package gateway

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/entry/suspects"
	"github.com/skylarkpond/skylarkpond/internal/loopback"
	"github.com/skylarkpond/skylarkpond/link/upstream"
	"github.com/skylarkpond/skylarkpond/platform/standin/objects"
	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

// A crash that is taken for a broken connection is no evidence, and the request is run on one server after the other.
var _ = Describe("The probe of a server's process", func() {
	var (
		standin *replica.Server
		server  backend.Server
	)
	BeforeEach(func() {
		api := objects.New()
		DeferCleanup(api.Close)
		standin = replica.NewCluster().Start(api, replica.Config{ID: "i-1", Service: "desk", Zone: "z", Slots: 6})
		DeferCleanup(standin.Close)
		server = backend.Server{ID: "i-1", Service: "desk", Address: standin.Address(), StartedAtMillis: 1000}
	})
	listing := func(routableOnly bool, servers ...*backend.Server) *backend.Listing {
		byID := make(map[backend.ID]*backend.Server)
		for _, listed := range servers {
			byID[listed.ID] = listed
		}
		list := backend.NewListing(1, byID)
		list.RoutableOnly = routableOnly
		return list
	}
	probe := func(list *backend.Listing) suspects.Liveness {
		return probeProcess(context.Background(), list, upstream.NewPool(), &server)
	}

	It("finds that it runs", func() {
		server.StartedAtMillis = 0 // the platform may not report it
		Expect(probe(listing(false, &server))).To(Equal(suspects.Running))
		Expect(probe(listing(false))).To(Equal(suspects.Running), "its registration has expired while the platform was away")
	})

	It("finds that it refuses connections", func() {
		standin.Crash()
		Expect(probe(listing(false, &server))).To(Equal(suspects.Gone))
	})

	It("finds that another server answers at the address", func() {
		server.ID = "i-2"
		Expect(probe(listing(false, &server))).To(Equal(suspects.Gone))
	})

	It("finds that the server reports a later start", func() {
		Expect(probe(listing(false, &server))).To(Equal(suspects.Gone))
	})

	It("finds that the server is registered with a later start", func() {
		restarted := server
		restarted.StartedAtMillis++
		Expect(probe(listing(false, &restarted))).To(Equal(suspects.Gone))
	})

	It("finds that a silent server is registered no longer, unless this entry knows only servers that requests go to", func() {
		proxy, err := loopback.NewProxy("127.0.0.1:0", standin.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(proxy.Close)
		proxy.SetFaults(loopback.Faults{StallAll: true})
		server.Address = proxy.Address()
		Expect(probe(listing(false, &server))).To(Equal(suspects.Unknown))
		Expect(probe(listing(true))).To(Equal(suspects.Unknown))
		Expect(probe(listing(false))).To(Equal(suspects.Gone))
	})
})
