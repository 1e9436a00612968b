package catalog_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/entry/catalog"
	store "github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/platform"
	"github.com/skylarkpond/skylarkpond/platform/standin/objects"
	"github.com/skylarkpond/skylarkpond/platform/standin/operator"
	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

// configChange is a version of the configuration that the leader forwards.
func configChange(from, to store.Version, text string) catalog.ChangeSet {
	value := fmt.Appendf(nil, `{"version":%d,"comment":%q}`, to, text)
	return catalog.ChangeSet{Kind: platform.KindConfig, From: from, To: to, Changes: []catalog.Change{
		{Object: &store.Object{Kind: platform.KindConfig, Name: platform.ConfigName, Version: to, Value: value}},
	}}
}

var _ = Describe("Changes kept for entries that connect late", func() {
	const historyBound = 2*store.MaxValueBytes + 64<<10

	// Guards against an entry that runs out of memory because it keeps every version of a large configuration.
	It("include only the newest version of a configuration", func() {
		f := newFixture()
		operator.Write(f.api, operator.Config{Version: 1})
		Eventually(f.configVersion, waitFor).Should(Equal(uint64(1)))
		f.followLeader()
		first := f.catalog.Revisions()[platform.KindConfig]
		text := strings.Repeat("x", store.MaxValueBytes-100)
		last := first
		for range 100 {
			f.catalog.ApplyChanges(configChange(last, last+1, text))
			last++
		}
		Expect(f.configVersion()).To(Equal(uint64(last)))
		Expect(f.catalog.HistoryBytes()).To(BeNumerically("<", 2*store.MaxValueBytes))
		for _, since := range []store.Version{first, first + 50, last - 1} {
			changes, ok := f.catalog.ChangesSince(platform.KindConfig, since)
			Expect(ok).To(BeTrue())
			Expect(changes.To).To(Equal(last))
			Expect(changes.Changes).To(ConsistOf(HaveField("Object.Version", last)))
		}
	})

	// Guards against an entry that runs out of memory because of the size of what it keeps, or feeds others from a revision of which it
	// has dropped changes.
	It("are bounded in bytes, and say from which revision they are complete", func() {
		f := newFixture()
		f.api.Write("servers", "i-1", replica.ReadyRegistration("s"))
		Eventually(f.servers, waitFor).Should(Equal(1))
		f.followLeader()
		first := f.catalog.Revisions()[platform.KindServers]
		staged := strings.Repeat("m", 100<<10)
		for i := range store.Version(40) {
			f.catalog.ApplyChanges(catalog.ChangeSet{Kind: platform.KindServers, From: first + i, To: first + i + 1, Changes: []catalog.Change{{Server: &backend.Server{
				ID: "i-2", Service: "s", Address: "10.0.0.2:1", Staged: []string{staged}, Revision: uint64(first + i + 1),
			}}}})
		}
		Expect(f.catalog.HistoryBytes()).To(And(BeNumerically(">", historyBound/2), BeNumerically("<=", historyBound)))
		_, ok := f.catalog.ChangesSince(platform.KindServers, first)
		Expect(ok).To(BeFalse())
		changes, ok := f.catalog.ChangesSince(platform.KindServers, first+30)
		Expect(ok).To(BeTrue())
		Expect(changes.Changes).To(HaveLen(10))
	})

	// Guards against an entry that is sent an older version as the newest one, because the leader read it late.
	It("never replace a change by an older one", func() {
		f := newFixture()
		operator.Write(f.api, operator.Config{Version: 1})
		Eventually(f.configVersion, waitFor).Should(Equal(uint64(1)))
		f.followLeader()
		first := f.catalog.Revisions()[platform.KindConfig]
		older, newer := configChange(first, first+1, ""), configChange(first, first+2, "")
		older.To = first + 3
		f.catalog.ApplyChanges(newer)
		f.catalog.ApplyChanges(older)
		changes, ok := f.catalog.ChangesSince(platform.KindConfig, first)
		Expect(ok).To(BeTrue())
		Expect(changes.Changes).To(ConsistOf(HaveField("Object.Version", first+2)))
	})

	// Guards against an entry that still has an object which was removed while it was away.
	It("include the removal of an object in place of its earlier changes", func() {
		f := newFixture()
		operator.Write(f.api, operator.Config{Version: 1})
		Eventually(f.configVersion, waitFor).Should(Equal(uint64(1)))
		f.followLeader()
		first := f.catalog.Revisions()[platform.KindConfig]
		for i, deleted := range []bool{false, true} {
			to := first + store.Version(i) + 1
			f.catalog.ApplyChanges(catalog.ChangeSet{Kind: platform.KindConfig, From: to - 1, To: to, Changes: []catalog.Change{
				{Object: &store.Object{Kind: platform.KindConfig, Name: "other", Version: to, Deleted: deleted}},
			}})
		}
		changes, ok := f.catalog.ChangesSince(platform.KindConfig, first)
		Expect(ok).To(BeTrue())
		Expect(changes.Changes).To(ConsistOf(HaveField("Object.Deleted", true)))
	})
})

var _ = Describe("An entry that was away while a large configuration changed often", func() {
	// Guards against an entry that runs out of memory with all versions since, or can't read them at all and stays with the old one.
	It("reads the newest version alone", func() {
		f := newFixture()
		operator.Write(f.api, operator.Config{Version: 1})
		Eventually(f.configVersion, waitFor).Should(Equal(uint64(1)))
		f.api.SetFaults(objects.Faults{Unresponsive: true})
		time.Sleep(time.Second) // pending watches have ended
		text := strings.Repeat("x", store.MaxValueBytes-100)
		for version := range 20 {
			f.api.Write("config", "main", map[string]any{"version": version + 2, "comment": text})
		}
		calls := f.api.Calls()["GET config"]
		f.api.SetFaults(objects.Faults{})
		Eventually(f.configVersion, waitFor).Should(Equal(uint64(21)))
		Expect(f.configVersions).To(HaveLen(2))
		Expect(f.api.Calls()["GET config"] - calls).To(BeNumerically("<", 10))
	})

	// Guards against an entry that asks for the same response again, which the platform can't give in time or this entry can't take.
	It("reads it also if no call had failed before", func() {
		f := newFixture()
		operator.Write(f.api, operator.Config{Version: 1})
		Eventually(f.configVersion, waitFor).Should(Equal(uint64(1)))
		f.fedByLeader.Store(true)
		time.Sleep(time.Second) // the pending watch has ended
		text := strings.Repeat("x", store.MaxValueBytes-100)
		for version := range 20 {
			f.api.Write("config", "main", map[string]any{"version": version + 2, "comment": text})
		}
		f.fedByLeader.Store(false)
		Eventually(f.configVersion, waitFor).Should(Equal(uint64(21)))
		Expect(f.configVersions).To(HaveLen(2))
	})
})
