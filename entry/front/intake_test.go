package front_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/internal/crowd"
)

var _ = Describe("The memory for bodies", func() {
	const largest = 1 << 20
	var f *fleet
	BeforeEach(func() {
		f = newFleet("desk-1", "chat-1")
		for name, service := range f.settings.Services {
			service.MaxBodyBytes = largest
			f.settings.Services[name] = service
		}
	})

	held := func() int64 {
		bytes, _ := f.bodies.Held()
		return bytes
	}
	stall := func(count int) {
		GinkgoHelper()
		head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n", otherPath, teamKey)
		stalled := crowd.Open(count, strings.TrimPrefix(f.fronts[len(f.fronts)-1].URL, "http://"), crowd.Post(head, crowd.Body{Announced: largest, Sent: largest - 1}))
		DeferCleanup(stalled.Close)
		Eventually(held).Should(BeNumerically(">=", count*largest))
	}
	send := func(key, body string) answer {
		caller := f.connect()
		caller.send("POST", bookPath, teamKey, body, len(body))
		return caller.receive()
	}

	It("is free again once a body of the largest size was answered", func() {
		Expect(send("lot-7", strings.Repeat("x", largest)).outcome).To(Equal(answered))
		Eventually(held).Should(BeZero())
	})

	// Guards against a body that is read to the bound of all services before it is refused.
	DescribeTable("is not taken for a body over its limit", func(path string, size int) {
		caller := f.connect()
		caller.send("POST", path, teamKey, "x", size)
		Expect(caller.receive().status).To(Equal(http.StatusRequestEntityTooLarge))
	},
		Entry("of a plain service", bookPath, largest+1),
		Entry("of all language services", completePath, largest+1),
	)

	// Guards against a 413 for a body inside every limit.
	It("is not denied to a completion while no language service is declared", func() {
		delete(f.settings.Services, "chat")
		caller := f.connect()
		caller.send("POST", completePath, teamKey, `{"model":"small"}`, 17)
		Expect(caller.receive().status).To(Equal(http.StatusNotFound))
	})

	// Guards against a seal under the fingerprint of a part of the body, with which the key would belong to another request.
	It("leaves a booking that finds no room free to run later under its key", func() {
		stall(3)
		body := string(bytes.Repeat([]byte("x"), largest))
		got := send("lot-7", body)
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.outcome).To(Equal(unknown))
		Expect(got.body).To(ContainSubstring(string(contract.CodeOverloaded)))
		Expect(got.header.Get(contract.HeaderRetryAfter)).To(Equal("1"))
		Eventually(func() contract.Outcome { return send("lot-7", body).outcome }, "5s").Should(Equal(answered))
	})

	// Guards against a crowd of large bodies that keeps small requests out.
	It("has room for small requests while large bodies take all that they may", func() {
		stall(3)
		Expect(book(f.fronts[len(f.fronts)-1], "lot-8", 1).outcome).To(Equal(answered))
	})
})
