package gateway

import (
	"context"
	"net/http"

	"github.com/rcrowley/go-metrics"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/entry/catalog"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	store "github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/link/upstream"
	"github.com/skylarkpond/skylarkpond/platform"
)

var _ = Describe("An evacuation at an entry", func() {
	update := func(complete, deleted bool) catalog.Update {
		object := &store.Object{Kind: platform.KindEvacuations, Name: "z", Deleted: deleted}
		return catalog.Update{Complete: complete, Changes: []link.Change{{Object: object}}}
	}
	server := &backend.Server{ID: "i-1", Service: "s", Address: "127.0.0.1:1", FailureDomain: "z", StartedAtMillis: 5, Revision: 5}
	var g *Gateway
	BeforeEach(func() {
		g = newTestGateway()
		g.catalog.ApplyChanges(catalog.ChangeSet{Kind: platform.KindServers, To: 5, Snapshot: true, Changes: []link.Change{{Server: server}}})
		Expect(g.catalog.Listing().Servers).To(HaveKey(server.ID))
	})

	// Guards against parts that send by themselves, and check nothing before they do.
	It("withholds whatever is sent to a server there, and counts it", func() {
		send := func() error {
			_, err := g.pool.Send(context.Background(), upstream.EndpointOf(server), &upstream.Request{Method: http.MethodGet, Target: "/", Host: server.Address, Header: http.Header{}})
			return err
		}
		ask := func() error {
			_, _, err := g.pool.Ask(context.Background(), upstream.EndpointOf(server), &upstream.Request{Method: http.MethodGet, Target: "/", Host: server.Address, Header: http.Header{}})
			return err
		}
		g.applyEvacuations(update(true, false))
		Expect(send()).To(MatchError(upstream.ErrNotPermitted))
		Expect(ask()).To(MatchError(upstream.ErrNotPermitted))
		Expect(metrics.GetOrRegisterCounter("evacuated.withheld", g.registry).Count()).To(BeEquivalentTo(2))
		g.applyEvacuations(update(false, true))
		Expect(send()).To(MatchError(upstream.ErrNotSent), "nothing listens there")
	})

	// Guards against requests to an evacuated failure domain by an entry that has just started and has read the servers first.
	It("is known before the entry decides on requests by itself, if it follows evacuations at all", func() {
		g.limits.NoteInformed()
		following, ignoring := serverLimits{g.limits, g.standing, true}, serverLimits{g.limits, g.standing, false}
		Expect(following.Informed()).To(BeFalse())
		Expect(ignoring.Informed()).To(BeTrue())
		g.applyEvacuations(catalog.Update{Complete: true})
		Expect(following.Informed()).To(BeTrue())
	})
})
