package standin_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/internal/standin"
	"github.com/skylarkpond/skylarkpond/internal/standin/engine"
	linkengine "github.com/skylarkpond/skylarkpond/link/engine"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/vm"
)

func TestStandin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "stand-ins")
}

const eventuallyTimeout = time.Minute

var _ = Describe("Start", func() {
	listVMs := func(client *platform.Client) (live, leaving []vm.Name) {
		changes, err := client.List(context.Background(), platform.KindVMs)
		Expect(err).NotTo(HaveOccurred())
		for _, object := range changes.Objects {
			var list vm.List
			Expect(json.Unmarshal(object.Value, &list)).To(Succeed())
			for _, v := range list.VMs {
				Expect(string(v.Position.FabricDomain)).To(Equal(object.Name))
				live = append(live, v.Name)
				if v.Leaving {
					leaving = append(leaving, v.Name)
				}
			}
		}
		return live, leaving
	}

	It("publishes live and leaving VMs, with the engines in the same process or another one", func() {
		ctx, cancel := context.WithCancel(context.Background())
		config := standin.DevConfig("mostrador")
		config.ListInterval = 5 * time.Millisecond
		platformConfig := config
		platformConfig.EnginesAddress = ""
		platformOnly, err := standin.Start(ctx, platformConfig)
		Expect(err).NotTo(HaveOccurred())
		enginesConfig := config
		enginesConfig.PlatformAddress, enginesConfig.PlatformURL = "", platformOnly.PlatformURL
		enginesOnly, err := standin.Start(ctx, enginesConfig)
		Expect(err).NotTo(HaveOccurred())
		both, err := standin.Start(ctx, config)
		Expect(err).NotTo(HaveOccurred())

		for _, running := range []*standin.Running{enginesOnly, both} {
			client := platform.NewClient(running.PlatformURL, platform.WithRates(platform.Rates{Shared: 1e6, Reserved: 1}))
			live, leaving := listVMs(client)
			Expect(live).To(HaveLen(12))
			Expect(leaving).To(BeEmpty())
			for _, v := range running.VMs {
				state, err := linkengine.NewHTTPClient(nil).Probe(ctx, v.Address)
				Expect(err).NotTo(HaveOccurred())
				Expect(state.VM).To(Equal(v.Name))
			}
			yes := true
			Expect(running.Engines.Switch("local-a1-vm1", engine.Switches{Leaving: &yes})).To(Succeed())
			Expect(running.Engines.Switch("local-a1-vm2", engine.Switches{Die: true})).To(Succeed())
			Eventually(func(g Gomega) {
				live, leaving := listVMs(client)
				g.Expect(live).NotTo(ContainElement(vm.Name("local-a1-vm2")))
				g.Expect(leaving).To(ConsistOf(vm.Name("local-a1-vm1")))
			}, eventuallyTimeout).Should(Succeed())
		}
		cancel()
		for _, running := range []*standin.Running{platformOnly, enginesOnly, both} {
			Expect(running.Wait()).To(Succeed())
		}
	})
})
