package experiment_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/internal/experiment"
)

func TestExperiment(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "comparing versions")
}

func read(text string) []experiment.Run {
	GinkgoHelper()
	runs, err := experiment.Read(strings.NewReader(text))
	Expect(err).NotTo(HaveOccurred())
	return runs
}

var _ = Describe("Compare", func() {
	// The cases differ by far more than the versions do. Without pairing, the gain of 0.1 would not be significant.
	It("detects a small gain between cases that differ widely", func() {
		c, err := experiment.Compare(read("a,x,1,0.2\na,y,1,0.5\na,z,1,0.9\nb,x,1,0.29\nb,y,1,0.61\nb,z,1,1.0\nb,only,1,7\nc,x,1,0\n"), "a", "b")
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Pairs).To(Equal(3))
		Expect(c.Difference).To(BeNumerically("~", 0.1, 1e-9))
		Expect(c.Significant()).To(BeTrue())
	})

	It("does not report random variation as significant", func() {
		c, err := experiment.Compare(read("a,x,1,0.2\na,y,1,0.5\nb,x,1,0.6\nb,y,1,0.2\n"), "a", "b")
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Significant()).To(BeFalse())
	})

	It("pairs several runs of one seed in their order", func() {
		c, err := experiment.Compare(read("a,x,1,1\na,x,1,2\nb,x,1,2\nb,x,1,3\n"), "a", "b")
		Expect(err).NotTo(HaveOccurred())
		Expect(c).To(And(HaveField("Pairs", 2), HaveField("StdDev", 0.0), HaveField("PValue", 0.0)))
	})

	It("returns an error for runs that form no pairs, and for input that can't be parsed", func() {
		_, err := experiment.Compare(read("a,x,1,1\nb,y,1,2\n"), "a", "b")
		Expect(err).To(MatchError(experiment.ErrInvalidRuns))
		for _, text := range []string{"a,x,1\n", "a,x,1,much\n"} {
			_, err := experiment.Read(strings.NewReader(text))
			Expect(err).To(MatchError(experiment.ErrInvalidRuns), text)
		}
	})
})
