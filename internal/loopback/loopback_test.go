package loopback_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/internal/loopback"
)

func TestLoopback(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "loopback addresses")
}

// network is used by these specs alone.
const network = 9

var _ = Describe("Take", func() {
	It("gives no subnet to two at once, and gives it again when it was let go", func() {
		first, err := loopback.Take(network)
		Expect(err).NotTo(HaveOccurred())
		second, err := loopback.Take(network)
		Expect(err).NotTo(HaveOccurred())
		Expect(second.IP(1)).NotTo(Equal(first.IP(1)))
		Expect(second.Close()).To(Succeed())
		third, err := loopback.Take(network)
		Expect(err).NotTo(HaveOccurred())
		Expect(third.IP(1)).To(Equal(second.IP(1)))
		Expect(third.Close()).To(Succeed())
		Expect(first.Close()).To(Succeed())
	})
})
