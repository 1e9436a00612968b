package catalog_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	store "github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/platform"
	"github.com/skylarkpond/skylarkpond/platform/standin/objects"
	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

var _ = Describe("An object that can't be decoded", func() {
	deep := func(depth int) string {
		return fmt.Sprintf(`{"metadata":{"name":"odd","revision":$revision},"spec":%s%s}`, strings.Repeat("[", depth), strings.Repeat("]", depth))
	}
	const nameless = `{"metadata":{"name":7,"revision":$revision},"spec":{}}`
	listed := func(f *fixture) func() []backend.ID {
		return func() (ids []backend.ID) {
			for id := range f.catalog.Listing().Servers {
				ids = append(ids, id)
			}
			return ids
		}
	}

	for name, element := range map[string]string{
		"nested 9,998 deep": deep(9998), "nested 100,000 deep": deep(100_000), "with a revision out of range": `{"metadata":{"name":"odd","revision":1e30}}`,
		"without a readable name": nameless, "that is text": `"odd"`, "that is null": `null`,
	} {
		// Another writer's entry among the servers: the list was not followed while it stood, so that leaving servers got requests.
		It("stands among the servers while the list is followed: one "+name, func() {
			f := newFixture()
			f.api.Write("servers", "i-1", replica.ReadyRegistration("s"))
			f.api.Write("servers", "i-2", replica.ReadyRegistration("s"))
			Eventually(listed(f), waitFor).Should(ConsistOf(backend.ID("i-1"), backend.ID("i-2")))
			f.api.WriteOdd("servers", "odd", element)
			f.api.Write("servers", "i-1", replica.LeavingRegistration("s"))
			Eventually(f.leaving, waitFor).Should(Receive(Equal(leavingServer{"i-1", false})))
			f.api.Write("servers", "i-3", replica.ReadyRegistration("s"))
			f.api.Delete("servers", "i-2")
			Eventually(listed(f), waitFor).Should(ConsistOf(backend.ID("i-1"), backend.ID("i-3")))
			f.api.Compact() // the entry reads the whole list again
			f.api.Write("servers", "i-4", replica.ReadyRegistration("s"))
			Eventually(listed(f), waitFor).Should(ConsistOf(backend.ID("i-1"), backend.ID("i-3"), backend.ID("i-4")))
			Expect(f.lost.Load()).To(BeZero())
			Expect(f.unreadable.Load()).To(Equal(int64(1)), "reported once")
		})

		// A process that started meanwhile had no list at all.
		It("stands among the servers while the entry starts: one "+name, func() {
			f := &fixture{api: objects.New()}
			for i := range 300 {
				f.api.Write("servers", fmt.Sprintf("i-%03d", i), replica.ReadyRegistration("s"))
				f.api.WriteOdd("servers", fmt.Sprintf("i-%03d-odd", i), strings.ReplaceAll(element, `"odd"`, fmt.Sprintf(`"i-%03d-odd"`, i)))
			}
			f.api.SetFaults(objects.Faults{PageSize: 50})
			client := store.NewClient("http://"+f.api.Address(), store.WithCodec(platform.ObjectCodec{}))
			DeferCleanup(f.api.Close)
			changes, err := client.List(GinkgoT().Context(), platform.KindServers)
			Expect(err).NotTo(HaveOccurred())
			readable := 0
			for _, object := range changes.Objects {
				if _, err := platform.DecodeServer(object); err == nil {
					readable++
				}
			}
			Expect(readable).To(Equal(300))
		})
	}

	for name, element := range map[string]string{
		"with its name": `{"metadata":{"name":"i-1","revision":$revision},"spec":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`,
		"without one":   nameless,
	} {
		// What the entry said before does not hold any more.
		It("takes the place of a server "+name, func() {
			f := newFixture()
			f.api.Write("servers", "i-1", replica.ReadyRegistration("s"))
			f.api.Write("servers", "i-2", replica.ReadyRegistration("s"))
			Eventually(f.servers, waitFor).Should(Equal(2))
			f.api.WriteOdd("servers", "i-1", element)
			Eventually(listed(f), waitFor).Should(ConsistOf(backend.ID("i-2")))
			f.api.Write("servers", "i-1", replica.ReadyRegistration("s"))
			Eventually(listed(f), waitFor).Should(ConsistOf(backend.ID("i-1"), backend.ID("i-2")))
		})
	}

	// A change without a name may have been that of any server, so that all are read again. A writer that goes on must not cause a list each time.
	It("causes few lists, however often it is written", func() {
		f := newFixture()
		f.api.Write("servers", "i-1", replica.ReadyRegistration("s"))
		Eventually(f.servers, waitFor).Should(Equal(1))
		before := f.api.Pages()
		for range 40 {
			f.api.WriteOdd("servers", "odd", nameless)
			time.Sleep(100 * time.Millisecond)
		}
		Expect(f.api.Pages() - before).To(BeNumerically("<=", 4))
		f.api.WriteOdd("servers", "i-1", nameless)
		Eventually(f.servers, waitFor).Should(BeZero())
		Expect(f.unreadable.Load()).To(Equal(int64(1)))
	})

	It("is reported once, however often a registration is written that names no server", func() {
		f := newFixture()
		for i := range 5 {
			f.api.Write("servers", "odd", map[string]any{"service": "s", "address": "10.0.0.1:70000", "slots": i})
			f.api.Write("servers", "i-1", replica.ReadyRegistration(fmt.Sprint("s-", i)))
			Eventually(func() []*backend.Server { return f.catalog.Listing().ByService[fmt.Sprint("s-", i)] }, waitFor).Should(HaveLen(1))
		}
		Expect(f.unreadable.Load()).To(Equal(int64(1)))
	})

	// A configuration stays in force until a newer one can be read.
	It("does not displace the configuration in force", func() {
		f := newFixture()
		f.api.Write("config", "main", map[string]any{"version": 7})
		Eventually(f.configVersion, waitFor).Should(Equal(uint64(7)))
		for _, element := range []string{
			strings.ReplaceAll(deep(20_000), `"odd"`, `"main"`), nameless, `null`,
			`{"metadata":{"name":"main","revision":$revision},"spec":{"version":1e30}}`,
			`{"metadata":{"name":"main","revision":$revision},"spec":{"version":18446744073709551615}}`,
		} {
			f.api.WriteOdd("config", "main", element)
			Consistently(f.configVersion, "1200ms").Should(Equal(uint64(7)))
		}
		f.api.Write("config", "main", map[string]any{"version": 8})
		Eventually(f.configVersion, waitFor).Should(Equal(uint64(8)))
		Expect(f.lost.Load()).To(BeZero())
	})

	// Entries that connect late are fed from the history, in which a change without a version would be missing.
	It("is passed on to entries that connect late", func() {
		f := newFixture()
		f.api.Write("servers", "odd", replica.ReadyRegistration("s"))
		Eventually(f.servers, waitFor).Should(Equal(1))
		since := f.catalog.Revisions()[platform.KindServers]
		f.api.WriteOdd("servers", "odd", `{"metadata":{"name":"odd","revision":1e30}}`)
		Eventually(f.serversSince(since), waitFor).Should(ConsistOf(HaveField("Removal.Server", BeEquivalentTo("odd"))))
	})
})
