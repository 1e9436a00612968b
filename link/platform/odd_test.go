package platform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	link "github.com/skylarkpond/skylarkpond/link/platform"
)

var _ = Describe("An object that can't be decoded", func() {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	// One object would keep an entry from starting, and from following all others of its kind.
	DescribeTable("costs itself alone", func(element string, named bool) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"objects":[{"kind":"entry","name":"a","version":3,"value":{}},` + element + `,{"kind":"entry","name":"z","version":4,"value":{}}],"revision":9,"complete":true}`))
		}))
		DeferCleanup(server.Close)
		var reported []string
		client := link.NewClient(server.URL, link.WithUnreadable(func(object link.Object, reason error) {
			Expect(reason).To(HaveOccurred())
			reported = append(reported, string(object.Kind)+"/"+object.Name)
		}))
		for range 3 {
			changes, err := client.List(context.Background(), link.KindEntry)
			Expect(err).NotTo(HaveOccurred())
			Expect(changes.Revision).To(Equal(link.Version(9)))
			Expect(changes.Complete).To(BeTrue())
			expected := []any{HaveField("Name", "a"), HaveField("Name", "z")}
			if named {
				expected = append(expected, And(HaveField("Name", "m"), HaveField("Value", BeEmpty()), HaveField("Invalid", Not(BeNil()))))
			}
			Expect(changes.Objects).To(ConsistOf(expected...))
		}
		Expect(reported).To(Equal([]string{map[bool]string{true: "entry/m", false: "entry/"}[named]}), "reported once")
	},
		Entry("nested", `{"kind":"entry","name":"m","version":5,"value":`+deep+`}`, true),
		Entry("with a version out of range", `{"kind":"entry","name":"m","version":1e30,"value":{}}`, true),
		Entry("whose kind is a number", `{"kind":7,"name":"m","version":5,"value":{}}`, true),
		Entry("whose deletion is text", `{"kind":"entry","name":"m","version":5,"deleted":"yes"}`, true),
		Entry("whose name is a number", `{"kind":"entry","name":7,"version":5,"value":{}}`, false),
		Entry("a number", `7`, false), Entry("null", `null`, false), Entry("a list", `[]`, false),
	)
})
