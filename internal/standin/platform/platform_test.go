package platform_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/domain"
	"github.com/skylarkpond/skylarkpond/internal/standin/platform"
	link "github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/vm"
)

func TestStandin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "stand-in platform")
}

const (
	eventuallyTimeout = time.Minute
	// longTimeout is for calls that must be answered, shortTimeout for calls that must time out.
	longTimeout  = time.Minute
	shortTimeout = 100 * time.Millisecond
)

var value = json.RawMessage(`{"nonce":"n"}`)

var _ = Describe("Platform", func() {
	ctx := context.Background()
	var standin *platform.Platform
	var client *link.Client
	var base string

	BeforeEach(func() {
		standin = platform.New(platform.WithWatchWait(50 * time.Millisecond))
		server := httptest.NewServer(standin.Handler())
		DeferCleanup(server.Close)
		base = server.URL
		client = link.NewClient(base, link.WithCallTimeout(longTimeout), link.WithRates(link.Rates{Shared: 1e6, Reserved: 1e6}))
	})

	// postControl sets faults over HTTP, as tests with separate processes do.
	postControl := func(path, body string) int {
		response, err := http.Post(base+path, "application/json", bytes.NewReader([]byte(body)))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		return response.StatusCode
	}
	put := func(name string) error {
		_, err := client.Put(ctx, link.KindEntry, name, 0, value)
		return err
	}

	It("simulates each fault, and the history shows whether an unconfirmed write took effect", func() {
		Expect(put("old")).To(Succeed())
		for _, c := range []struct {
			switches    string
			timeout     time.Duration
			read, write error
			effects     int
		}{
			{`{"outage":"refuse"}`, longTimeout, link.ErrUnavailable, link.ErrUnavailable, 0},
			{`{"outage":"drop"}`, longTimeout, link.ErrUnavailable, link.ErrUnconfirmed, 0},
			{`{"outage":"hang"}`, shortTimeout, link.ErrUnavailable, link.ErrUnconfirmed, 0},
			{`{"outage":"none","delay_ms":1000}`, shortTimeout, link.ErrUnavailable, link.ErrUnconfirmed, 1},
			{`{"delay_ms":0,"lose_answers":{"kind":"entry","name":"new","count":1}}`, longTimeout, nil, link.ErrUnconfirmed, 1},
			{`{"late_effects":{"count":1,"delay_ms":300}}`, shortTimeout, nil, link.ErrUnconfirmed, 1},
			{`{"calls_per_second":0.001}`, longTimeout, nil, link.ErrThrottled, 0},
		} {
			Expect(postControl("/standin/switches", c.switches)).To(Equal(http.StatusOK))
			before := len(standin.History())
			caller := link.NewClient(base, link.WithCallTimeout(c.timeout))
			if c.read == nil {
				_, err := client.Get(ctx, link.KindEntry, "old")
				Expect(err).NotTo(HaveOccurred(), c.switches)
			} else {
				_, err := caller.Get(ctx, link.KindEntry, "old")
				Expect(err).To(MatchError(c.read), c.switches)
			}
			_, err := caller.Put(ctx, link.KindEntry, "new"+c.switches, 0, value)
			Expect(err).To(MatchError(c.write), c.switches)
			Eventually(func() int { return len(standin.History()) - before }, eventuallyTimeout).Should(Equal(c.effects), c.switches)
			Consistently(func() int { return len(standin.History()) - before }, shortTimeout).Should(Equal(c.effects), c.switches)
		}
		Expect(postControl("/standin/switches", `{"outrage":"refuse"}`)).To(Equal(http.StatusBadRequest))
		Expect(postControl("/standin/switches", `{"outage":"often"}`)).To(Equal(http.StatusBadRequest))
	})

	It("wakes a watch on a change, ends it on timeout, drops it, and repeats old changes", func() {
		Expect(put("a")).To(Succeed())
		seen, err := client.Watch(ctx, link.KindEntry, 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(seen).To(Equal(link.Changes{Objects: []link.Object{}, Revision: 1}))

		received := make(chan link.Changes, 1)
		go func() {
			defer GinkgoRecover()
			for after := link.Version(1); ; {
				changes, err := client.Watch(ctx, link.KindEntry, after)
				Expect(err).NotTo(HaveOccurred())
				if len(changes.Objects) > 0 {
					received <- changes
					return
				}
				after = changes.Revision
			}
		}()
		Expect(put("b")).To(Succeed())
		Eventually(received, eventuallyTimeout).Should(Receive(HaveField("Objects", ConsistOf(HaveField("Name", "b")))))

		Expect(postControl("/standin/switches", `{"repeat_changes":1}`)).To(Equal(http.StatusOK))
		seen, err = client.Watch(ctx, link.KindEntry, 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(seen.Objects).To(HaveLen(3), "a and b once more, before b")

		Expect(postControl("/standin/switches", `{"compact":true}`)).To(Equal(http.StatusOK))
		seen, err = client.Watch(ctx, link.KindEntry, 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(seen.Complete).To(BeTrue())
		Expect(seen.Objects).To(HaveLen(2))

		dropped := make(chan error, 1)
		go func() {
			for {
				if _, err := client.Watch(ctx, link.KindEntry, 2); err != nil {
					dropped <- err
					return
				}
			}
		}()
		Eventually(func() chan error {
			Expect(standin.Switch(platform.Switches{DropWatches: true})).To(Succeed())
			return dropped
		}, eventuallyTimeout).Should(Receive(MatchError(link.ErrUnavailable)))
	})

	It("lets the VM list lag, and rejects writes to it by clients", func() {
		vms := func(names ...vm.Name) (list []vm.VM) {
			for _, name := range names {
				list = append(list, vm.VM{Name: name, Position: domain.Position{FabricDomain: "f"}})
			}
			return list
		}
		Expect(standin.SetVMs(vms("vm1"))).To(Succeed())
		first, err := client.List(ctx, link.KindVMs)
		Expect(err).NotTo(HaveOccurred())
		Expect(standin.SetVMs(vms("vm1"))).To(Succeed())
		Expect(standin.History()).To(HaveLen(1), "no change, no new version")
		_, err = client.Put(ctx, link.KindVMs, "f", first.Revision, value)
		Expect(err).To(MatchError(link.ErrUnavailable))

		lag := time.Hour.Milliseconds()
		Expect(standin.SetVMs(vms("vm2"))).To(Succeed())
		Expect(standin.Switch(platform.Switches{VMsLagMillis: &lag})).To(Succeed())
		Expect(client.List(ctx, link.KindVMs)).To(HaveField("Objects", BeEmpty()))
		quiet, err := client.Watch(ctx, link.KindVMs, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(quiet.Objects).To(BeEmpty())
		Expect(quiet.Revision).To(BeZero(), "so that the next watch does not skip the changes that lag")

		lag = 1
		Expect(standin.Switch(platform.Switches{VMsLagMillis: &lag})).To(Succeed())
		Eventually(func() ([]link.Object, error) {
			changes, err := client.Watch(ctx, link.KindVMs, first.Revision)
			return changes.Objects, err
		}, eventuallyTimeout).Should(ConsistOf(HaveField("Value", ContainSubstring("vm2"))))
	})

	It("answers the configured number of reads with an old state", func() {
		Expect(put("a")).To(Succeed())
		Expect(put("b")).To(Succeed())
		Expect(postControl("/standin/switches", `{"stale_reads":{"kind":"entry","revision":1,"count":2}}`)).To(Equal(http.StatusOK))
		Expect(client.List(ctx, link.KindEntry)).To(And(
			HaveField("Objects", ConsistOf(HaveField("Name", "a"))), HaveField("Revision", link.Version(1))))
		_, err := client.Get(ctx, link.KindEntry, "b")
		Expect(err).To(MatchError(link.ErrNotFound))
		Expect(client.Get(ctx, link.KindEntry, "b")).To(HaveField("Version", link.Version(2)))
	})

	It("reports the history and the call counts", func() {
		Expect(put("a")).To(Succeed())
		Expect(client.Delete(ctx, link.KindEntry, "a", 1)).To(Succeed())
		_, err := client.Watch(ctx, link.KindEntry, 2)
		Expect(err).NotTo(HaveOccurred())
		response, err := http.Get(base + "/standin/history")
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		var history []platform.Change
		for lines := bufio.NewScanner(response.Body); lines.Scan(); {
			var change platform.Change
			Expect(json.Unmarshal(lines.Bytes(), &change)).To(Succeed())
			history = append(history, change)
		}
		Expect(history).To(HaveExactElements(
			And(HaveField("Version", link.Version(1)), HaveField("Value", MatchJSON(value))),
			And(HaveField("Version", link.Version(2)), HaveField("Replaced", link.Version(1)), HaveField("Deleted", true)),
		))
		calls, err := http.Get(base + "/standin/calls")
		Expect(err).NotTo(HaveOccurred())
		defer calls.Body.Close()
		Expect(io.ReadAll(calls.Body)).To(MatchJSON(`[{"kind":"entry","verb":"delete","count":1},
			{"kind":"entry","verb":"put","count":1},{"kind":"entry","verb":"watch","count":1}]`))
	})
})
