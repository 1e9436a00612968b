package loopback_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/internal/loopback"
)

func TestLoopback(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "loopback addresses")
}

// network is used by the tests of this package only.
const network = 9

var _ = Describe("Acquire", func() {
	It("reserves each subnet once, and again after it was released", func() {
		first, err := loopback.Acquire(network)
		Expect(err).NotTo(HaveOccurred())
		second, err := loopback.Acquire(network)
		Expect(err).NotTo(HaveOccurred())
		Expect(second.IP(1)).NotTo(Equal(first.IP(1)))
		Expect(second.Close()).To(Succeed())
		third, err := loopback.Acquire(network)
		Expect(err).NotTo(HaveOccurred())
		Expect(third.IP(1)).To(Equal(second.IP(1)))
		Expect(third.Close()).To(Succeed())
		Expect(first.Close()).To(Succeed())
	})
})

var _ = Describe("Proxy", func() {
	var (
		proxy  *loopback.Proxy
		server *httptest.Server
	)
	BeforeEach(func() {
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			_, _ = w.Write(body)
		}))
		DeferCleanup(server.Close)
		var err error
		proxy, err = loopback.NewProxy("127.0.0.1:0", server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(proxy.Close)
	})
	post := func(timeout time.Duration) (string, error) {
		client := &http.Client{Timeout: timeout}
		response, err := client.Post("http://"+proxy.Address(), "text/plain", strings.NewReader("words"))
		if err != nil {
			return "", err
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		return string(body), err
	}

	It("forwards connections, and does so again after each fault has ended", func() {
		for _, faults := range []loopback.Faults{{StallAll: true}, {StallResponses: true}, {Refuse: true}} {
			Expect(post(time.Minute)).To(Equal("words"))
			proxy.SetFaults(faults)
			proxy.Reset()
			_, err := post(200 * time.Millisecond)
			Expect(err).To(HaveOccurred())
			proxy.SetFaults(loopback.Faults{})
			proxy.Reset()
		}
		began := time.Now()
		proxy.SetFaults(loopback.Faults{Delay: 50 * time.Millisecond})
		Expect(post(time.Minute)).To(Equal("words"))
		Expect(time.Since(began)).To(BeNumerically(">=", 100*time.Millisecond))
	})
})
