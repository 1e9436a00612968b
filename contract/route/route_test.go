package route_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/contract/route"
)

func TestRoute(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "routes")
}

var _ = Describe("Table", func() {
	table := route.NewTable(7, []route.Route{
		{Name: "short", Host: "a.example", PathPrefix: "/x/", Public: true},
		{Name: "long", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "root", Host: "b.example", PathPrefix: "/"},
	}, nil, []route.Team{{Name: "one", Keys: []string{"k1", "k2"}}}, route.Limits{})

	DescribeTable("finds the route of the host with the longest prefix",
		func(host, path, name string) {
			found, ok := table.Match(host, path)
			Expect(ok).To(Equal(name != ""))
			if ok {
				Expect(found.Name).To(Equal(name))
			}
		},
		Entry("the longest", "a.example", "/x/y/z", "long"),
		Entry("a shorter one", "a.example", "/x/z", "short"),
		Entry("the prefix itself", "a.example", "/x/y/", "long"),
		Entry("a prefix without its trailing slash", "a.example", "/x/y", "short"),
		Entry("a path that shares only a name prefix", "a.example", "/xy/", ""),
		Entry("another host", "c.example", "/x/", ""),
		Entry("a host in upper case", "A.Example", "/x/", "short"),
		Entry("the root", "b.example", "/anything/at/all", "root"),
		Entry("no path", "b.example", "", ""),
	)

	It("knows which routes need a key and which team holds a key", func() {
		public, _ := table.Match("a.example", "/x/")
		keyed, _ := table.Match("a.example", "/x/y/")
		Expect(table.RequiresKey(public)).To(BeFalse())
		Expect(table.RequiresKey(keyed)).To(BeTrue())
		team, ok := table.TeamByKey("k2")
		Expect(ok).To(BeTrue())
		Expect(team.Name).To(Equal("one"))
		_, ok = table.TeamByKey("k3")
		Expect(ok).To(BeFalse())
	})

	DescribeTable("decides what may be repeated",
		func(kind route.Kind, resumable, repeatable bool) {
			Expect((&route.Route{Kind: kind, Resumable: resumable}).Repeatable()).To(Equal(repeatable))
		},
		Entry(nil, route.Idempotent, false, true),
		Entry(nil, route.NonIdempotent, false, false),
		Entry(nil, route.NonIdempotent, true, false),
		Entry(nil, route.Streaming, false, false),
		Entry(nil, route.Streaming, true, true),
	)
})
