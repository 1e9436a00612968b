package test

import (
	"encoding/json"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/admin"
	"github.com/skylarkpond/skylarkpond/examples"
	standinengine "github.com/skylarkpond/skylarkpond/internal/standin/engine"
)

var _ = Describe("Quarantine", func() {
	// One caller's prompt crashes each engine that begins it, and the caller sends it again through whichever
	// entry answers. Without quarantine it takes down one group after the other, each time with all that
	// is in progress there and for as long as a model takes to load: everybody's requests fail.
	It("lets a request that crashes backend servers take down two groups at most, whoever it is sent through", func() {
		c := startCluster(3)
		marker := "poison"
		for _, domain := range []string{"local-a1", "local-b1"} {
			c.switchDomain(domain, standinengine.Switches{CrashMarker: &marker})
		}
		var told answer
		Eventually(func() contract.Code {
			for _, e := range c.entries {
				told = caller{e}.stream("a "+marker, 10)
			}
			return told.code
		}, generous, "100ms").Should(Equal(contract.CodeQuarantined))
		Expect(told.outcome).To(Equal(contract.OutcomeNotRun))
		Expect(told.retry).NotTo(BeEmpty())
		crashes := c.boots("a " + marker)
		GinkgoWriter.Printf("the request was begun %d times before it was quarantined\n", crashes)
		Expect(crashes).To(BeNumerically("<=", 2))

		for _, e := range c.entries {
			Eventually(func() contract.Code { return caller{e}.stream("a "+marker, 10).code }, generous).Should(Equal(contract.CodeQuarantined))
		}
		c.waitServing(c.entries[0])
		Eventually(func(g Gomega) {
			innocent := caller{c.entries[0]}.stream("an innocent", 10)
			g.Expect(innocent.isWhole("an innocent", 10)).To(BeTrue(), innocent.body)
		}, generous, "200ms").Should(Succeed())
		Expect(c.boots("a " + marker)).To(Equal(crashes))

		held := c.entries[1].quarantined()
		Expect(held).To(HaveLen(1))
		c.entries[1].lift(held[0])
		none := ""
		for _, domain := range []string{"local-a1", "local-b1"} {
			c.switchDomain(domain, standinengine.Switches{CrashMarker: &none})
		}
		Eventually(func() bool { return caller{c.entries[2]}.stream("a "+marker, 10).whole }, generous, "200ms").Should(BeTrue())
	})
})

// boots counts how often engines began the completion of a prompt.
func (c *cluster) boots(prompt string) int {
	GinkgoHelper()
	count := 0
	for _, run := range c.runs() {
		if run.Phase == standinengine.Started && run.BodyHash == bodyHash(completion(prompt, 10, true)) {
			count++
		}
	}
	return count
}

func (e *entryProcess) quarantined() []admin.QuarantinedRequest {
	GinkgoHelper()
	var list admin.Quarantine
	e.operate(http.MethodGet, admin.QuarantinePath, &list)
	return list.Requests
}

func (e *entryProcess) lift(q admin.QuarantinedRequest) {
	GinkgoHelper()
	e.operate(http.MethodDelete, admin.QuarantinePath+"/"+q.Service+"/"+q.Fingerprint, nil)
}

func (e *entryProcess) operate(method, path string, answer any) {
	GinkgoHelper()
	request, err := http.NewRequest(method, e.admin+path, nil)
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+examples.DevOperatorKey)
	response, err := (&http.Client{Timeout: 10 * time.Second}).Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	Expect(response.StatusCode).To(BeNumerically("<", 300))
	if answer != nil {
		Expect(json.NewDecoder(response.Body).Decode(answer)).To(Succeed())
	}
}
