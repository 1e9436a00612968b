package settings_test

import (
	"encoding/json"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/contract/settings"
)

const (
	llmNode  = settings.Path("/places/pampa/services/llm")
	deskNode = settings.Path("/places/pampa/services/desk")
)

// startTree is the tree of good, at revision 1.
func startTree() *settings.Tree {
	GinkgoHelper()
	declared, err := load()
	Expect(err).NotTo(HaveOccurred())
	return declared.Tree("n")
}

// change builds a change of one node from its JSON.
func change(id string, node settings.Path, base uint64, values string) *settings.Change {
	GinkgoHelper()
	data, err := json.Marshal(map[string]any{
		"id": id, "nodes": []any{map[string]any{"node": node, "base": base, "values": json.RawMessage(values)}},
	})
	Expect(err).NotTo(HaveOccurred())
	parsed, err := settings.ParseChange(data)
	Expect(err).NotTo(HaveOccurred())
	return parsed
}

func deskWith(more string) string { return `{"kind":"plain"` + more + `}` }

var _ = Describe("Merge", func() {
	It("merges changes that two operators make to different nodes from the same checkout", func() {
		first, result := settings.Merge(startTree(), change("a", deskNode, 1, deskWith(`,"replicas":3`)))
		Expect(result).To(Equal(settings.Result{Status: settings.Accepted, Revision: 2}))
		second, result := settings.Merge(first, change("b", "/places/pampa", 1, `{"group_size":2}`))
		Expect(result).To(Equal(settings.Result{Status: settings.Accepted, Revision: 3}))
		snapshot, err := second.Resolve(9)
		Expect(err).NotTo(HaveOccurred())
		Expect(snapshot.Services["desk"].Replicas).To(Equal(3))
		Expect(snapshot.Services["llm"].GroupSize).To(Equal(2))
	})

	// Two operators take the same checkout and change the same node. The one who comes second would
	// otherwise undo the first's accepted change without either of them noticing.
	It("shows both sides of a node that moved, and changes nothing, also the other nodes", func() {
		first, _ := settings.Merge(startTree(), change("a", deskNode, 1, deskWith(`,"replicas":3`)))
		late := change("b", deskNode, 1, deskWith(`,"replicas":5`))
		late.Nodes = append(late.Nodes, change("b", "/places/pampa", 1, `{}`).Nodes...)
		next, result := settings.Merge(first, late)
		Expect(next).To(BeIdenticalTo(first))
		Expect(result.Status).To(Equal(settings.Conflicted))
		Expect(result.Conflicts).To(HaveLen(1))
		conflict := result.Conflicts[0]
		Expect(conflict.Node).To(Equal(deskNode))
		Expect((*conflict.Ours)["replicas"].Integer).To(Equal(int64(5)))
		Expect(conflict.Theirs.Values["replicas"].Integer).To(Equal(int64(3)))
		Expect(conflict.By.ID).To(Equal("a"))

		told, err := json.Marshal(result)
		Expect(err).NotTo(HaveOccurred())
		var read settings.Result
		Expect(json.Unmarshal(told, &read)).To(Succeed())
		Expect(read).To(Equal(result))
	})

	It("shows a removal on either side as a conflict", func() {
		remove := &settings.Change{ID: "r", Nodes: []settings.NodeChange{{Node: deskNode, Base: 1, Remove: true}}}
		tree := startTree()
		south := tree.Nodes["/places/pampa/teams/south"].Values
		delete(south, "services")
		removed, result := settings.Merge(tree, remove)
		Expect(result.Status).To(Equal(settings.Accepted))
		_, result = settings.Merge(removed, change("b", deskNode, 1, deskWith("")))
		Expect(result.Status).To(Equal(settings.Conflicted))
		Expect(result.Conflicts[0].Theirs).To(BeNil())

		moved, _ := settings.Merge(tree, change("a", deskNode, 1, deskWith(`,"replicas":3`)))
		_, result = settings.Merge(moved, remove)
		Expect(result.Status).To(Equal(settings.Conflicted))
		Expect(result.Conflicts[0].Ours).To(BeNil())
	})

	// The node is removed and declared anew while an operator works on an old checkout. Were revisions
	// counted per node, the new node would carry the old one's number and be overwritten.
	It("does not take a node that was declared anew for the one it replaced", func() {
		tree := startTree()
		delete(tree.Nodes["/places/pampa/teams/south"].Values, "services")
		removed, _ := settings.Merge(tree, &settings.Change{ID: "r", Nodes: []settings.NodeChange{{Node: deskNode, Base: 1, Remove: true}}})
		anew, result := settings.Merge(removed, change("n", deskNode, 0, deskWith("")))
		Expect(result.Status).To(Equal(settings.Accepted))
		_, result = settings.Merge(anew, change("old", deskNode, 1, deskWith(`,"replicas":7`)))
		Expect(result.Status).To(Equal(settings.Conflicted))
	})

	// The answer of an apply is lost and the operator applies again; meanwhile somebody else has
	// changed the node. Taking the repeat for a new change would undo the newer one.
	It("takes a repeated change id as the same apply, and tells what changed since", func() {
		mine := change("a", deskNode, 1, deskWith(`,"replicas":3`))
		first, _ := settings.Merge(startTree(), mine)
		again, result := settings.Merge(first, mine)
		Expect(again).To(BeIdenticalTo(first))
		Expect(result).To(Equal(settings.Result{Status: settings.AlreadyApplied, Revision: 2}))
		newer, _ := settings.Merge(first, change("b", deskNode, 2, deskWith(`,"replicas":4`)))
		again, result = settings.Merge(newer, mine)
		Expect(again).To(BeIdenticalTo(newer))
		Expect(result.Superseded).To(ConsistOf(deskNode))

		_, result = settings.Merge(newer, change("a", "/places/pampa", 1, `{}`))
		Expect(result.Status).To(Equal(settings.Refused), "another change under the same id")
	})

	It("does not call it a conflict when both sides want the same", func() {
		first, _ := settings.Merge(startTree(), change("a", deskNode, 1, deskWith(`,"replicas":3`)))
		next, result := settings.Merge(first, change("other operator", deskNode, 1, deskWith(`,"replicas":3`)))
		Expect(next).To(BeIdenticalTo(first))
		Expect(result).To(Equal(settings.Result{Status: settings.Unchanged, Revision: 2}))
	})

	DescribeTable("refuses what leaves a bad tree, and changes nothing",
		func(node settings.Path, values, key string) {
			tree := startTree()
			next, result := settings.Merge(tree, change("a", node, 1, values))
			Expect(next).To(BeIdenticalTo(tree))
			Expect(result.Status).To(Equal(settings.Refused))
			Expect(result.Faults).To(ContainElement(HaveField("Key", key)))
		},
		Entry("no operator's token left", settings.Root, `{}`, "operator_key_hashes"),
		Entry("timeouts crossed", llmNode, `{"kind":"language","model":"m","model_version":"v","request_timeout":"20m"}`, "request_timeout"),
	)

	DescribeTable("refuses a change that can't be understood whole",
		func(data, problem string) {
			_, err := settings.ParseChange([]byte(data))
			Expect(err).To(MatchError(ContainSubstring(problem)))
		},
		Entry("no id", `{"nodes":[]}`, "bad change id"),
		Entry("node twice", `{"id":"a","nodes":[{"node":"/"},{"node":"/"}]}`, "changed twice"),
		Entry("removed and declared", `{"id":"a","nodes":[{"node":"/","remove":true,"values":{"replicas":1}}]}`, "both removed"),
		Entry("unknown key", `{"id":"a","nodes":[{"node":"/","values":{"x":1}}]}`, "unknown key"),
		Entry("unknown field", `{"id":"a","force":true}`, "force"),
	)

	It("keeps a bounded number of change ids", func() {
		tree := startTree()
		for i := range settings.MaxRecentChanges + 5 {
			base := tree.Nodes[deskNode].Revision
			values, _ := json.Marshal(map[string]any{"kind": "plain", "replicas": i + 10})
			var result settings.Result
			tree, result = settings.Merge(tree, change(string(values), deskNode, base, string(values)))
			Expect(result.Status).To(Equal(settings.Accepted))
		}
		Expect(tree.Changes).To(HaveLen(settings.MaxRecentChanges))
		Expect(tree.Changes[settings.MaxRecentChanges-1].Revision).To(Equal(tree.Revision))
	})
})
