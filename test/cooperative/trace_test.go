package cooperative

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
	"github.com/skylarkpond/skylarkpond/pondctl"
)

// trace asks pondctl what led to the end of a request, from the entries' output alone.
func (p *pond) trace(request string) string {
	GinkgoHelper()
	dir := GinkgoT().TempDir()
	args := []string{"trace", request}
	for _, e := range p.entries {
		path := filepath.Join(dir, e.name+".log")
		Expect(os.WriteFile(path, []byte(e.log.String()), 0o600)).To(Succeed())
		args = append(args, path)
	}
	var out, problems bytes.Buffer
	pondctl.Run(context.Background(), args, pondctl.Streams{Out: &out, Err: &problems})
	return out.String()
}

// headAndMember returns the VMs of the one group.
func (p *pond) headAndMember() (head, member *replica.Server) {
	GinkgoHelper()
	for _, engine := range p.engines {
		group := engine.Group()
		switch {
		case group == nil:
		case group.Rank == 0:
			head = engine
		default:
			member = engine
		}
	}
	Expect(head).NotTo(BeNil())
	Expect(member).NotTo(BeNil())
	return head, member
}

// A user complains, and whoever is on call has the request's id and the entries' output.
var _ = Describe("The way from a failed request to its cause", func() {
	It("leads from a booking with an unknown outcome to the server that had it", func() {
		p := newPond(2, 3)
		p.awaitServing(1)
		for _, desk := range p.desks {
			desk.SetFaults(replica.Faults{LoseAnswer: true})
		}
		Expect(p.entries[0].send("/book/x", "lost-booking").status).To(Equal(http.StatusBadGateway))
		Eventually(func() string { return p.trace("lost-booking") }, generous).Should(SatisfyAll(
			ContainSubstring(`"outcome":"unknown"`), ContainSubstring(`"servers":["desk-`), ContainSubstring("request was sent and has no answer")))
	})

	It("leads from a stream that was cut to the head that broke off", func() {
		p := newPond(2, 3)
		p.awaitServing(1)
		head, _ := p.headAndMember()
		head.SetFaults(replica.Faults{ResetAfter: 3})
		Expect(p.entries[1].send("/chat/x", "cut-stream").err).To(HaveOccurred())
		Eventually(func() string { return p.trace("cut-stream") }, generous).Should(SatisfyAll(
			ContainSubstring(`"outcome":"cut"`), ContainSubstring(fmt.Sprintf(`"servers":[%q`, head.ID())), ContainSubstring("stream broke off")))
	})

	It("leads from a refusal to the member that its model's group has lost", func() {
		p := newPond(2, 3)
		p.awaitServing(1)
		_, member := p.headAndMember()
		member.Crash()
		refused := ""
		Eventually(func() int {
			refused += "x"
			return p.entries[0].send("/chat/x", refused).status
		}, generous).Should(Equal(http.StatusServiceUnavailable))
		Eventually(func() string { return p.trace(refused) }, generous).Should(SatisfyAll(
			ContainSubstring(`"outcome":"refused"`), ContainSubstring(`"msg":"group-dissolved"`),
			Or(ContainSubstring("a member's registration is gone"), ContainSubstring(string(member.ID())))))
	})
})
