package stopping_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/policy/stopping"
)

func TestStopping(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Stopping")
}

var _ = Describe("Plan", func() {
	It("ends in order within any grace period", func() {
		random := rand.New(rand.NewPCG(1, 0))
		for range 1000 {
			grace := time.Duration(1 + random.Int64N(int64(time.Minute)))
			p := stopping.NewPlan(grace)
			Expect(p.Accept).To(BeNumerically("<=", p.Answer))
			Expect(p.Answer).To(BeNumerically("<=", p.Exit))
			Expect(p.Exit).To(BeNumerically("<=", grace))
		}
	})

	// Guards against requests that are accepted late and cut when the process ends.
	It("accepts nothing late that may last longer than the process", func() {
		p := stopping.NewPlan(8 * time.Second)
		Expect(p.Accepts(2*time.Second, time.Minute)).To(BeTrue())
		Expect(p.Accepts(3*time.Second, 2*time.Second)).To(BeTrue())
		Expect(p.Accepts(3*time.Second, 8*time.Second)).To(BeFalse())
		Expect(p.Accepts(7*time.Second, 2*time.Second)).To(BeFalse())
	})
})
