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

// initialTree returns the tree of validFiles, at revision 1.
func initialTree() *settings.Tree {
	GinkgoHelper()
	declared, err := loadFiles()
	Expect(err).NotTo(HaveOccurred())
	return declared.Tree("n")
}

// newChange returns a change of one node to the given values, which are JSON.
func newChange(id string, node settings.Path, base uint64, values string) *settings.Change {
	GinkgoHelper()
	data, err := json.Marshal(map[string]any{
		"id": id, "nodes": []any{map[string]any{"node": node, "base": base, "values": json.RawMessage(values)}},
	})
	Expect(err).NotTo(HaveOccurred())
	parsed, err := settings.ParseChange(data)
	Expect(err).NotTo(HaveOccurred())
	return parsed
}

func deskValues(more string) string { return `{"kind":"plain"` + more + `}` }

var _ = Describe("Merge", func() {
	It("merges changes that two operators make to different nodes from the same checkout", func() {
		first, result := settings.Merge(initialTree(), newChange("a", deskNode, 1, deskValues(`,"replicas":3`)))
		Expect(result).To(Equal(settings.Result{Status: settings.Accepted, Revision: 2}))
		second, result := settings.Merge(first, newChange("b", "/places/pampa", 1, `{"group_size":2}`))
		Expect(result).To(Equal(settings.Result{Status: settings.Accepted, Revision: 3}))
		snapshot, err := second.Resolve(9)
		Expect(err).NotTo(HaveOccurred())
		Expect(snapshot.Services["desk"].Replicas).To(Equal(3))
		Expect(snapshot.Services["llm"].GroupSize).To(Equal(2))
	})

	// Two operators change the same node from the same checkout. Without the conflict, the second change
	// would silently overwrite the first, which was accepted.
	It("reports both sides of a conflicting node and changes no node at all", func() {
		first, _ := settings.Merge(initialTree(), newChange("a", deskNode, 1, deskValues(`,"replicas":3`)))
		late := newChange("b", deskNode, 1, deskValues(`,"replicas":5`))
		late.Nodes = append(late.Nodes, newChange("b", "/places/pampa", 1, `{}`).Nodes...)
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

	It("reports a removal on either side as a conflict", func() {
		remove := &settings.Change{ID: "r", Nodes: []settings.NodeChange{{Node: deskNode, Base: 1, Remove: true}}}
		tree := initialTree()
		south := tree.Nodes["/places/pampa/teams/south"].Values
		delete(south, "services")
		removed, result := settings.Merge(tree, remove)
		Expect(result.Status).To(Equal(settings.Accepted))
		_, result = settings.Merge(removed, newChange("b", deskNode, 1, deskValues("")))
		Expect(result.Status).To(Equal(settings.Conflicted))
		Expect(result.Conflicts[0].Theirs).To(BeNil())

		moved, _ := settings.Merge(tree, newChange("a", deskNode, 1, deskValues(`,"replicas":3`)))
		_, result = settings.Merge(moved, remove)
		Expect(result.Status).To(Equal(settings.Conflicted))
		Expect(result.Conflicts[0].Ours).To(BeNil())
	})

	// A node is removed and declared again while an operator works on an old checkout. If revisions were
	// counted per node, the new node would have the revision of the old one and would be overwritten.
	It("distinguishes a node that was declared again from the removed one", func() {
		tree := initialTree()
		delete(tree.Nodes["/places/pampa/teams/south"].Values, "services")
		removed, _ := settings.Merge(tree, &settings.Change{ID: "r", Nodes: []settings.NodeChange{{Node: deskNode, Base: 1, Remove: true}}})
		anew, result := settings.Merge(removed, newChange("n", deskNode, 0, deskValues("")))
		Expect(result.Status).To(Equal(settings.Accepted))
		_, result = settings.Merge(anew, newChange("old", deskNode, 1, deskValues(`,"replicas":7`)))
		Expect(result.Status).To(Equal(settings.Conflicted))
	})

	// The response to an apply is lost and the operator retries it after another operator has changed the
	// node. Treating the retry as a new change would undo the newer change.
	It("treats a repeated change id as the same apply and reports the nodes changed since", func() {
		mine := newChange("a", deskNode, 1, deskValues(`,"replicas":3`))
		first, _ := settings.Merge(initialTree(), mine)
		again, result := settings.Merge(first, mine)
		Expect(again).To(BeIdenticalTo(first))
		Expect(result).To(Equal(settings.Result{Status: settings.AlreadyApplied, Revision: 2}))
		newer, _ := settings.Merge(first, newChange("b", deskNode, 2, deskValues(`,"replicas":4`)))
		again, result = settings.Merge(newer, mine)
		Expect(again).To(BeIdenticalTo(newer))
		Expect(result.Superseded).To(ConsistOf(deskNode))

		_, result = settings.Merge(newer, newChange("a", "/places/pampa", 1, `{}`))
		Expect(result.Status).To(Equal(settings.Refused), "different change with the same id")
	})

	It("reports no conflict when both sides request the same values", func() {
		first, _ := settings.Merge(initialTree(), newChange("a", deskNode, 1, deskValues(`,"replicas":3`)))
		next, result := settings.Merge(first, newChange("other operator", deskNode, 1, deskValues(`,"replicas":3`)))
		Expect(next).To(BeIdenticalTo(first))
		Expect(result).To(Equal(settings.Result{Status: settings.Unchanged, Revision: 2}))
	})

	DescribeTable("refuses a change that results in an invalid tree, and changes nothing",
		func(node settings.Path, values, key string) {
			tree := initialTree()
			next, result := settings.Merge(tree, newChange("a", node, 1, values))
			Expect(next).To(BeIdenticalTo(tree))
			Expect(result.Status).To(Equal(settings.Refused))
			Expect(result.Faults).To(ContainElement(HaveField("Key", key)))
		},
		Entry("no operator token left", settings.Root, `{}`, "operator_key_hashes"),
		Entry("request timeout above its maximum", llmNode, `{"kind":"language","model":"m","model_version":"v","request_timeout":"20m"}`, "request_timeout"),
	)

	DescribeTable("rejects a change that contains anything it does not understand",
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

	It("records a bounded number of changes", func() {
		tree := initialTree()
		for i := range settings.MaxRecentChanges + 5 {
			base := tree.Nodes[deskNode].Revision
			values, _ := json.Marshal(map[string]any{"kind": "plain", "replicas": i + 10})
			var result settings.Result
			tree, result = settings.Merge(tree, newChange(string(values), deskNode, base, string(values)))
			Expect(result.Status).To(Equal(settings.Accepted))
		}
		Expect(tree.Changes).To(HaveLen(settings.MaxRecentChanges))
		Expect(tree.Changes[settings.MaxRecentChanges-1].Revision).To(Equal(tree.Revision))
	})
})
