package lease_test

import (
	"context"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/entry/lease"
	store "github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/platform/standin/objects"
)

// mutedStore answers no reads while muted is set.
type mutedStore struct {
	store.Store
	muted *atomic.Bool
}

func (s mutedStore) Get(ctx context.Context, kind store.Kind, name string) (store.Object, error) {
	if s.muted.Load() {
		<-ctx.Done()
		return store.Object{}, ctx.Err()
	}
	return s.Store.Get(ctx, kind, name)
}

var _ = Describe("A holder that meets a conflict", func() {
	// Guards against two leaders for longer than a conflict took before the object was read after it.
	It("steps down soon if it can't read who has written the object", func() {
		api := objects.New()
		DeferCleanup(api.Close)
		muted := &atomic.Bool{}
		holder := startOn(mutedStore{newClient(api), muted}, lease.Holder{Entry: "first", Token: "first"})
		Eventually(holder.Held, "5s").Should(BeTrue())
		muted.Store(true)
		api.Write(string(lease.Kind), lease.Name, lease.Holder{Entry: "second", Token: "second", Nonce: "n"})
		Eventually(holder.IsLeader, "1300ms").Should(BeFalse()) // a renewal is due within 0.6 s, and the read takes 0.4 s
	})
})
