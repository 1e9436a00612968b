package examples_test

import (
	"crypto/sha256"
	"encoding/hex"
	"io/fs"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/contract/settings"
	"github.com/skylarkpond/skylarkpond/examples"
)

func TestExamples(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "examples")
}

func resolve(fsys fs.FS) *settings.Snapshot {
	declared, err := settings.LoadFS(fsys, "")
	Expect(err).NotTo(HaveOccurred())
	snapshot, err := declared.Tree("n").Resolve(1)
	Expect(err).NotTo(HaveOccurred())
	return snapshot
}

func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

var _ = Describe("The examples", func() {
	It("serve the keys that dev prints", func() {
		snapshot := resolve(examples.Dev())
		team, ok := snapshot.TeamByKeyHash(hash(examples.DevTeamKey))
		Expect(ok).To(BeTrue())
		Expect(team.Name).To(Equal("dev"))
		Expect(snapshot.OperatorKeyHashes).To(ConsistOf(hash(examples.DevOperatorKey)))
		chat, ok := snapshot.ServiceByModel("chat-small")
		Expect(ok).To(BeTrue())
		Expect(chat.GroupSize).To(Equal(4))
		Expect(snapshot.Services["desk"].Unrepeatable).To(ConsistOf("/bookings"))
	})

	DescribeTable("have the sizes and weights of their deployment",
		func(fsys fs.FS, model, desk string, downtimeFirst bool) {
			snapshot := resolve(fsys)
			Expect(snapshot.Teams).To(HaveLen(10))
			Expect(snapshot.Services).To(HaveLen(2))
			Expect(snapshot.Services[model].Replicas).To(Equal(50))
			Expect(snapshot.Services[desk].Replicas).To(Equal(3))
			Expect(snapshot.Services[desk].Kind).To(Equal(settings.PlainService))
			for _, service := range snapshot.Services {
				Expect(service.DowntimeWeight > service.StrandedWeight).To(Equal(downtimeFirst))
			}
		},
		Entry("cooperative", examples.Cooperative(), "asistente", "mostrador", true),
		Entry("studio", examples.Studio(), "kiln-llm", "bench-desk", false),
	)
})
