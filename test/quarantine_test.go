package test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/admin"
	"github.com/skylarkpond/skylarkpond/examples"
	standinengine "github.com/skylarkpond/skylarkpond/internal/standin/engine"
	"github.com/skylarkpond/skylarkpond/link/engine"
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

// A message of a conversation crashes each engine that begins to answer it. The conversation grows by a turn each time, so that each request is
// a new one; sound conversations begin with the same message.
var _ = Describe("Quarantine of a conversation", func() {
	It("lets a message that crashes backend servers take down three groups at most", func() {
		c := startCluster(3)
		marker := "poison"
		for _, domain := range []string{"local-a1", "local-b1"} {
			c.switchDomain(domain, standinengine.Switches{CrashMarker: &marker})
		}
		opening := engine.Message{Role: "system", Content: "You answer guests."}
		sound := func(turn int) []engine.Message {
			return []engine.Message{opening, {Role: "user", Content: fmt.Sprint("question ", turn)}}
		}
		c.waitServing(c.entries[0])
		for i, e := range c.entries {
			Eventually(func() bool { return caller{e}.converse(sound(i), 10).whole }, generous, "100ms").Should(BeTrue())
		}
		conversation := []engine.Message{opening, {Role: "user", Content: "a " + marker}}
		turn := 0
		hashes := make(map[string]bool)
		begun := func() (count int) {
			for _, run := range c.runs() {
				if run.Phase == standinengine.Started && hashes[run.BodyHash] {
					count++
				}
			}
			return count
		}
		Eventually(func() contract.Code {
			turn++
			conversation = append(conversation, engine.Message{Role: "assistant", Content: fmt.Sprint("answer ", turn)})
			conversation = append(conversation, engine.Message{Role: "user", Content: fmt.Sprint("turn ", turn)})
			hashes[bodyHash(conversationBody(conversation, 10))] = true
			return caller{c.entries[turn%len(c.entries)]}.converse(conversation, 10).code
		}, generous, "100ms").Should(Equal(contract.CodeQuarantined))
		crashes := begun()
		GinkgoWriter.Printf("%d requests of the conversation were begun before it was quarantined\n", crashes)
		Expect(crashes).To(BeNumerically("<=", 3))

		for i, e := range c.entries {
			conversation = append(conversation, engine.Message{Role: "user", Content: fmt.Sprint("again ", i)})
			hashes[bodyHash(conversationBody(conversation, 10))] = true
			Eventually(func() contract.Code { return caller{e}.converse(conversation, 10).code }, generous).Should(Equal(contract.CodeQuarantined))
		}
		for i, e := range c.entries {
			Eventually(func() bool { return caller{e}.converse(sound(10+i), 10).whole }, generous, "200ms").Should(BeTrue())
		}
		Expect(begun()).To(Equal(crashes))

		held := c.entries[1].quarantined()
		Expect(held).NotTo(BeEmpty())
		for _, request := range held {
			c.entries[1].lift(request)
		}
		Eventually(c.entries[2].quarantined, generous).Should(BeEmpty())
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
