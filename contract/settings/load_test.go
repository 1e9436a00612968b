package settings_test

import (
	"encoding/json"
	"errors"
	"strings"
	"testing/fstest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/contract/settings"
)

const (
	hashA = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	hashB = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
	hashC = "cccccccccccccccccccccccccccccccccccccccccccccccccccccccccccccccc"

	llmFile   = "places/pampa/services/llm.yaml"
	deskFile  = "places/pampa/services/desk.yaml"
	northFile = "places/pampa/teams/north.yaml"
	southFile = "places/pampa/teams/south.yaml"
)

// validFiles returns the files of a valid tree. The arguments are pairs of a file name and its content, which
// replace or add files; a pair with an empty name has no effect.
func validFiles(replace ...string) fstest.MapFS {
	files := map[string]string{
		"root.yaml":         "operator_key_hashes: [" + hashC + "]\nqueue_timeout: 9s\n",
		"places/pampa.yaml": "group_size: 4\nshare: 2\n",
		llmFile:             "kind: language\nmodel: m\nmodel_version: v1\nreplicas: 50\n",
		deskFile:            "kind: plain\ngroup_size: 1\nunrepeatable: [/lots]\n",
		northFile:           "key_hashes: [" + hashA + "]\nshare: 3\n",
		southFile:           "key_hashes: [" + hashB + "]\nservices: [desk]\n",
	}
	for i := 0; i+1 < len(replace); i += 2 {
		files[replace[i]] = replace[i+1]
	}
	fsys := make(fstest.MapFS)
	for name, text := range files {
		fsys[name] = &fstest.MapFile{Data: []byte(text)}
	}
	return fsys
}

func loadFiles(replace ...string) (*settings.Declarations, error) {
	return settings.LoadFS(validFiles(replace...), "decl")
}

var _ = Describe("Declarations", func() {
	It("resolves values from the nearest node that sets them", func() {
		declared, err := loadFiles()
		Expect(err).NotTo(HaveOccurred())
		snapshot, err := declared.Tree("n").Resolve(7)
		Expect(err).NotTo(HaveOccurred())
		Expect(snapshot.Version).To(Equal(uint64(7)))
		llm, ok := snapshot.ServiceByModel("m")
		Expect(ok).To(BeTrue())
		Expect(llm.GroupSize).To(Equal(4))
		Expect(llm.QueueTimeout).To(Equal(9 * time.Second))
		Expect(llm.Replicas).To(Equal(50))
		Expect(llm.MaxConcurrency).To(Equal(64))
		Expect(string(llm.Place)).To(Equal("pampa"))
		Expect(snapshot.Services["desk"].GroupSize).To(Equal(1))
		Expect(snapshot.Teams["north"].Share).To(Equal(3.0))
		Expect(snapshot.Teams["south"].Share).To(Equal(2.0))
		team, ok := snapshot.TeamByKeyHash(hashB)
		Expect(ok).To(BeTrue())
		Expect(team.Name).To(Equal("south"))
	})

	It("explains each value with the node that sets it", func() {
		declared, err := loadFiles()
		Expect(err).NotTo(HaveOccurred())
		explained, ok := declared.Tree("n").Explain("/places/pampa/services/llm")
		Expect(ok).To(BeTrue())
		from := make(map[string]settings.Path)
		for _, e := range explained {
			from[e.Key] = e.From
		}
		Expect(from).To(HaveKeyWithValue("queue_timeout", settings.Root))
		Expect(from).To(HaveKeyWithValue("group_size", settings.Path("/places/pampa")))
		Expect(from).To(HaveKeyWithValue("replicas", settings.Path("/places/pampa/services/llm")))
		Expect(from).To(HaveKeyWithValue("spares", settings.Path("")))
		Expect(from).NotTo(HaveKey("share"))
		_, ok = declared.Tree("n").Explain("/places/elsewhere")
		Expect(ok).To(BeFalse())
	})

	It("survives a round trip through its stored form", func() {
		declared, err := loadFiles()
		Expect(err).NotTo(HaveOccurred())
		tree := declared.Tree("n")
		stored, err := json.Marshal(tree)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(stored)).To(ContainSubstring(`"queue_timeout":"9s"`))
		read, err := settings.ParseTree(stored)
		Expect(err).NotTo(HaveOccurred())
		Expect(read).To(Equal(tree))
	})

	DescribeTable("rejects a fault and reports file, line, node, key and the expected value",
		func(file, text string, line int, key, problem, want string) {
			_, err := loadFiles(file, text)
			var faults settings.Faults
			Expect(errors.As(err, &faults)).To(BeTrue(), "%v", err)
			Expect(faults).To(HaveLen(1), "%v", err)
			fault := faults[0]
			Expect(fault.File).To(Equal("decl/" + file))
			Expect(fault.Line).To(Equal(line))
			Expect(fault.Key).To(Equal(key))
			Expect(fault.Problem).To(ContainSubstring(problem))
			Expect(fault.Expected).To(ContainSubstring(want))
		},
		Entry("unknown key", "root.yaml", "\nqueue_time: 9s\n", 2, "queue_time", "unknown key", "queue_timeout"),
		Entry("key of another level", "places/pampa.yaml", "group_size: 4\nkind: plain\n", 2, "kind", "can't set it", "service"),
		Entry("wrong type", "root.yaml", "replicas: many\n", 1, "replicas", `the text "many"`, "a whole number from 0 to 10000"),
		Entry("fraction", "root.yaml", "replicas: 1.5\n", 1, "replicas", "number 1.5", "whole number"),
		Entry("number as duration", "root.yaml", "queue_timeout: 9\n", 1, "queue_timeout", "number 9", `"9s"`),
		Entry("out of range", "root.yaml", "queue_timeout: 90h\n", 1, "queue_timeout", "90h0m0s is out of range", "1h0m0s"),
		Entry("not a number", "root.yaml", "downtime_weight: .nan\n", 1, "downtime_weight", "number NaN", "a number from 0"),
		Entry("no value", "root.yaml", "replicas:\n", 1, "replicas", "empty", "whole number"),
		Entry("number as text", llmFile, "kind: language\nmodel: m\nmodel_version: 1.0\n", 3, "model_version", "number 1", "in quotes"),
		Entry("key twice", "root.yaml", "replicas: 1\nspares: 1\nreplicas: 2\n", 3, "replicas", "on line 1", "once"),
		Entry("alias", "root.yaml", "replicas: &a 1\nspares: *a\n", 2, "spares", "aliases", "the value"),
		Entry("not YAML", "root.yaml", "replicas: [\n", 1, "", "not YAML", "key: value"),
		Entry("two documents", "root.yaml", "replicas: 1\n---\nspares: 1\n", 1, "", "more than one", "one node"),
		Entry("not a mapping", "root.yaml", "- replicas\n", 1, "", "not a mapping", "key: value"),
		Entry("bad hash", "root.yaml", "operator_key_hashes: [12ab]\n", 1, "operator_key_hashes", "wrong form", "64 hex"),
		Entry("file that declares no node", "places/pampa/service/llm.yaml", "kind: plain\n", 1, "", "no node", "places/P/services/S.yaml"),
		Entry("other suffix", "places/pampa.yml", "", 1, "", "no node", "places/P.yaml"),
		Entry("place not declared", "places/lima/services/x.yaml", "kind: plain\n", 1, "", "place is not declared", "/places/lima"),
		Entry("no kind", deskFile, "replicas: 3\n", 1, "kind", "not set", "language or plain"),
		Entry("language without a version", llmFile, "kind: language\nmodel: m\n", 1, "model_version", "not set", "text"),
		Entry("plain with a model", deskFile, "kind: plain\nmodel: n\n", 2, "model", "no model", "language"),
		Entry("request timeout above its maximum, both set at an ancestor", "root.yaml", "max_request_timeout: 61s\nrequest_timeout: 62s\n", 2, "request_timeout", "above max_request_timeout", "at most"),
		Entry("both weights zero", llmFile, "kind: language\nmodel: m\nmodel_version: v\nstranded_weight: 0\ndowntime_weight: 0\n", 5, "downtime_weight", "both weights", "above 0"),
		Entry("path in both lists", deskFile, "kind: plain\nunrepeatable: [/a]\nrepeatable: [/b, /a]\n", 3, "repeatable", `"/a"`, "one of the two"),
		Entry("unknown service", southFile, "key_hashes: ["+hashB+"]\nservices: [nope]\n", 2, "services", `"nope"`, "declared services"),
		Entry("team without keys", southFile, "key_hashes: []\n", 1, "key_hashes", "not set", "64 hex"),
		Entry("key of two teams", southFile, "key_hashes: ["+hashA+"]\n", 1, "key_hashes", "/teams/north already", "of its own"),
		Entry("team key is an operator's", southFile, "key_hashes: ["+hashC+"]\n", 1, "key_hashes", "operator's token", "of its own"),
		Entry("model of two services", "places/pampa/services/two.yaml", "kind: language\nmodel: m\nmodel_version: v\n", 2, "model", "/services/llm already", "no other"),
	)

	It("reports a name used in two places, and zero total shares at each node that sets a share", func() {
		_, err := loadFiles("places/lima.yaml", "", "places/lima/teams/north.yaml", "key_hashes: ["+strings.Repeat("d", 64)+"]\n")
		Expect(err).To(MatchError(ContainSubstring("a team of this name already: /places/lima/teams/north")))
		_, err = loadFiles("places/pampa.yaml", "share: 0\n", northFile, "key_hashes: ["+hashA+"]\nshare: 0\n")
		Expect(err).To(MatchError(SatisfyAll(
			ContainSubstring("decl/places/pampa.yaml:1: node /places/pampa: key share: the shares of all teams add up to nothing"),
			ContainSubstring("decl/places/pampa/teams/north.yaml:2:"))))
	})

	It("reports all faults at once, in the order of the files", func() {
		_, err := loadFiles("root.yaml", "replicas: x\nspares: -1\nzzz: 1\n", northFile, "share: -2\nkey_hashes: 7\n")
		var faults settings.Faults
		Expect(errors.As(err, &faults)).To(BeTrue())
		Expect(faults).To(HaveLen(5))
		Expect(faults[0].Node).To(Equal(settings.Path("/places/pampa/teams/north")))
		Expect(faults[4].String()).To(HavePrefix("decl/root.yaml:3: node /: key zzz: unknown key; want one of operator_key_hashes, "))
	})

	DescribeTable("rejects a stored tree that contains anything it does not understand",
		func(stored, problem string) {
			_, err := settings.ParseTree([]byte(stored))
			Expect(err).To(MatchError(ContainSubstring(problem)))
		},
		Entry("truncated", `{"nonce":"n","nodes":{`, "not a tree"),
		Entry("unknown field", `{"nonce":"n","colour":1}`, "colour"),
		Entry("trailing data", `{"nonce":"n"}{}`, "more than one JSON value"),
		Entry("unknown key", `{"revision":1,"nodes":{"/":{"revision":1,"values":{"x":1}}}}`, "node /: key x: unknown key"),
		Entry("bad path", `{"revision":1,"nodes":{"/x":{"revision":1}}}`, "no node can have this path"),
		Entry("value of another type", `{"revision":1,"nodes":{"/":{"revision":1,"values":{"replicas":"1"}}}}`, "key replicas: wrong type"),
		Entry("node revision above the tree's", `{"revision":1,"nodes":{"/":{"revision":2}}}`, "above the tree's"),
	)
})
