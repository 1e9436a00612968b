package cooperative

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/logline"
)

var _ = Describe("Entries beside a registration of another writer that can't be decoded", func() {
	nested := func(name string, depth int) string {
		return fmt.Sprintf(`{"metadata":{"name":%q,"revision":$revision},"spec":%s%s}`, name, strings.Repeat("[", depth), strings.Repeat("]", depth))
	}
	// The list of servers was not followed while such a registration stood: a head that was leaving got requests seconds later, and a process that
	// started meanwhile knew no servers.
	It("follow the servers and the configuration, and start", func() {
		p := newPond(3, 7)
		p.awaitServing(2)
		odd := []string{
			nested("odd", 9998), nested("odd", 50_000), `{"metadata":{"name":"odd","revision":1e30},"spec":{}}`,
			`{"metadata":{"name":7,"revision":$revision},"spec":{}}`, `"odd"`,
		}
		for i, element := range odd {
			p.api.WriteOdd("servers", fmt.Sprint("odd-", i), strings.Replace(element, `"odd"`, fmt.Sprintf(`"odd-%d"`, i), 1))
		}
		p.api.WriteOdd("config", "odd", nested("odd", 50_000))
		time.Sleep(time.Second)
		leaving, began := p.openHeads()[0], time.Now()
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			sendFor(p.entries, 7*time.Second)
		}()
		arrivals := func() int { return leaving.ArrivalsSince(began) }
		Eventually(arrivals, generous, 10*time.Millisecond).Should(BeNumerically(">=", 3))
		Expect(sent).NotTo(BeClosed())
		leaving.StartLeaving()
		Eventually(sent, generous).Should(BeClosed())
		Expect(p.world.LateArrivals(leavingKnown)).To(BeEmpty())

		p.configure()
		for _, entry := range p.entries {
			Eventually(entry.configVersion, generous).Should(Equal(p.version))
			Expect(entry.lifeNumber()).To(Equal(1))
			Consistently(entry.ended(), "10ms").ShouldNot(BeClosed())
			Expect(strings.Count(entry.log.String(), logline.PlatformLost)).To(BeZero())
		}
		started := p.startEntry(len(p.entries))
		Eventually(func() bool { return started.send("/chat/x", "started").whole() }, generous).Should(BeTrue())
		reported := 0
		for _, entry := range append(p.entries, started) {
			reported += strings.Count(entry.log.String(), logline.LeftOut)
		}
		Expect(reported).To(And(BeNumerically(">=", 4), BeNumerically("<=", 4*6)), "each entry reports each object at most once")
	})
})
