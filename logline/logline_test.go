package logline_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/logline"
)

func TestLogline(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gateway log lines")
}

// output is the concatenated output of several processes, with one line that is not a log line.
const output = `{"entry":"e-1","msg":"started","time":"2026-01-01T00:00:00.000Z"}
{"entry":"e-1","msg":"request ended","request":"other","outcome":"refused","servers":[],"model":"large","time":"2026-01-01T00:00:09.900Z"}
{"entry":"e-1","msg":"request ended","request":"cut","outcome":"cut","servers":["vm-1"],"model":"large","took_ms":2000,"time":"2026-01-01T00:00:10.000Z"}
{"entry":"e-1","msg":"request ended","request":"unsent","outcome":"refused","servers":null,"model":"large","took_ms":1,"time":"2026-01-01T00:00:10.000Z"}
{"entry":"e-1","msg":"platform lost","kind":"servers","time":"2026-01-01T00:00:08.000Z"}
panic: not a line
edge-1 {"entry":"e-2","msg":"lease","held":true,"time":"2026-01-01T00:00:09.000Z"}
{"entry":"e-1","msg":"backend server rejected the request","request":"cut","vm":"vm-1","time":"2026-01-01T00:00:09.200Z"}
{"entry":"e-1","msg":"backend server rejected the request","request":"other","vm":"vm-1","time":"2026-01-01T00:00:09.200Z"}
{"entry":"e-2","msg":"member-dark","vm":"vm-2","time":"2026-01-01T00:00:09.100Z"}
{"entry":"e-2","msg":"group-dissolved","group":"vm-1~10.0.0.1:1~a@3","vm":"vm-1","model":"","detail":"member vm-2 does not answer","time":"2026-01-01T00:00:09.300Z"}
{"entry":"e-2","msg":"group-dissolved","group":"vm-10~10.0.0.2:1~b@3","vm":"vm-10","model":"small","time":"2026-01-01T00:00:09.400Z"}
{"entry":"e-2","msg":"group-opened","group":"vm-1~10.0.0.1:1~c@4","model":"large","time":"2026-01-01T00:00:11.000Z"}
{"entry":"e-2","msg":"group-opened","group":"vm-1~10.0.0.1:1~d@9","model":"large","time":"2026-01-01T00:01:00.000Z"}
{"entry":"e-2","msg":"limit of a backend server in force","service":"desk","vm":"desk-1","per_second":2,"time":"2026-01-01T00:00:07.000Z"}
{"entry":"e-2","msg":"limit of a backend server in force","service":"other","vm":"other-1","per_second":2,"time":"2026-01-01T00:00:07.000Z"}
{"entry":"e-1","msg":"request ended","request":"limited","outcome":"refused","servers":null,"service":"desk","took_ms":1,"time":"2026-01-01T00:00:07.500Z"}
{"entry":"e-2","msg":"demand","model":"chat/large","time":"2026-01-01T00:00:09.800Z"}
{"entry":"e-2","msg":"demand","model":"chat/small","time":"2026-01-01T00:00:09.800Z"}
{"entry":"e-2","msg":"callers return","model":"chat/small","time":"2026-01-01T00:00:09.900Z"}
{"entry":"e-1","msg":"request ended","request":"returned","outcome":"refused","servers":null,"model":"small","took_ms":1,"time":"2026-01-01T00:00:10.000Z"}
`

func find(request string) []string {
	GinkgoHelper()
	lines, err := logline.Read(strings.NewReader(output))
	Expect(err).NotTo(HaveOccurred())
	var found []string
	for _, line := range logline.Find(lines, request) {
		found = append(found, line.Entry+" "+line.Message)
	}
	return found
}

var _ = Describe("Find", func() {
	It("finds the events of the servers of a request, ordered by time", func() {
		Expect(find("cut")).To(Equal([]string{
			"e-1 platform lost", "e-1 backend server rejected the request", "e-2 group-dissolved", "e-2 demand", "e-1 request ended",
			"e-2 group-opened",
		}))
	})

	It("finds the limits of servers for a refused request of their service", func() {
		Expect(find("limited")).To(ContainElement("e-2 limit of a backend server in force"))
		Expect(find("unsent")).NotTo(ContainElement("e-2 limit of a backend server in force"))
	})

	It("finds the events of the groups of the model for a request that was sent to no server", func() {
		Expect(find("unsent")).To(Equal([]string{
			"e-1 platform lost", "e-2 group-dissolved", "e-2 demand", "e-1 request ended", "e-2 group-opened",
		}))
	})

	It("finds the callers that return to the model of a refused request", func() {
		Expect(find("returned")).To(ContainElements("e-2 demand", "e-2 callers return"))
		Expect(find("unsent")).NotTo(ContainElement("e-2 callers return"))
	})

	It("finds nothing for a request that no line mentions", func() { Expect(find("served")).To(BeEmpty()) })
})
