package entry

import (
	"net"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/skylarkpond/skylarkpond/link/ingress"
)

var _ = ginkgo.Describe("The end of the process", func() {
	// Guards against requests of operators, or of callers after a role has failed, that were read whole and whose connections are closed.
	ginkgo.It("answers the requests in progress", func() {
		started := make(chan struct{})
		server := ingress.New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			close(started)
			time.Sleep(300 * time.Millisecond)
			w.WriteHeader(http.StatusAccepted)
		})}, func(ingress.Unanswered) {})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = server.Serve(listener) }()
		status := make(chan int, 1)
		go func() {
			defer ginkgo.GinkgoRecover()
			response, err := http.Get("http://" + listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
			status <- response.StatusCode
		}()
		Eventually(started, "10s").Should(BeClosed())
		log, _ := logtest.NewNullLogger()
		shutDown(log, server, 10*time.Second)
		Eventually(status, "10s").Should(Receive(Equal(http.StatusAccepted)))
	})
})
