package operator_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/admin"
	"github.com/skylarkpond/skylarkpond/contract/settings"
	"github.com/skylarkpond/skylarkpond/domain"
	"github.com/skylarkpond/skylarkpond/entry/operator"
	"github.com/skylarkpond/skylarkpond/examples"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/timeline"
	"github.com/skylarkpond/skylarkpond/vm"
)

func TestOperator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operator")
}

const (
	chat = settings.Path("/places/local/services/chat")
	desk = settings.Path("/places/local/services/desk")
)

// testServer is one entry's admin address on top of a platform that other test servers may share.
type testServer struct {
	store  *fakeStore
	entry  *fakeEntry
	server *httptest.Server
	token  string
}

func newTestServer(store *fakeStore) *testServer {
	r := &testServer{store: store, entry: &fakeEntry{}, token: examples.DevOperatorKey}
	log, _ := logtest.NewNullLogger()
	var mu sync.Mutex
	nonces := 0
	r.server = httptest.NewServer(operator.New(operator.Deps{
		Entry: "e1", Store: store, Snapshots: r.entry, Mirror: r.entry, Publisher: r.entry, Status: r.entry,
		Timeline: r.entry, Quarantine: r.entry, VMs: r.entry, Recorder: r.entry, Log: log, Clock: time.Now,
		NewNonce: func() string {
			mu.Lock()
			defer mu.Unlock()
			nonces++
			return fmt.Sprint(nonces)
		},
		BootstrapKeyHash: operator.HashKey("bootstrap"),
	}).Handler())
	DeferCleanup(r.server.Close)
	return r
}

// newDevTestServer returns a test server whose platform holds the dev settings at version 10.
func newDevTestServer() *testServer {
	GinkgoHelper()
	declared, err := settings.LoadFS(examples.Dev(), "dev")
	Expect(err).NotTo(HaveOccurred())
	tree := declared.Tree("first")
	value, err := json.Marshal(tree)
	Expect(err).NotTo(HaveOccurred())
	object := platform.Object{Kind: platform.KindSettings, Name: platform.SettingsName, Version: 10, Value: value}
	r := newTestServer(&fakeStore{object: object, version: 10})
	r.entry.mirrored = object
	r.entry.snapshot, err = tree.Resolve(10)
	Expect(err).NotTo(HaveOccurred())
	return r
}

func (r *testServer) call(method, path string, body, into any) int {
	GinkgoHelper()
	data, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequest(method, r.server.URL+path, bytes.NewReader(data))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+r.token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	if into != nil {
		Expect(json.Unmarshal(answer, into)).To(Succeed(), "%s", answer)
	}
	return resp.StatusCode
}

func (r *testServer) apply(change settings.Change) (status int, answer admin.Applied) {
	GinkgoHelper()
	status = r.call(http.MethodPost, admin.ApplyPath, change, &answer)
	return status, answer
}

// replicasChange returns a change of one service's replica count, based on the given revision.
func replicasChange(id string, node settings.Path, base uint64, count int64) settings.Change {
	GinkgoHelper()
	declared, err := settings.LoadFS(examples.Dev(), "dev")
	Expect(err).NotTo(HaveOccurred())
	values := declared.Nodes[node]
	values["replicas"] = settings.Value{Kind: settings.IntegerValue, Integer: count}
	return settings.Change{ID: id, Author: "ana", Nodes: []settings.NodeChange{{Node: node, Base: base, Values: values}}}
}

func (f *fakeStore) replicas(node settings.Path) int64 {
	return f.tree().Nodes[node].Values["replicas"].Integer
}

var _ = Describe("Apply", func() {
	It("reports accepted after the write, publishes the tree, and records the event", func() {
		r := newDevTestServer()
		status, answer := r.apply(replicasChange("a", chat, 1, 3))
		Expect(status).To(Equal(http.StatusOK))
		Expect(answer.Status).To(Equal(settings.Accepted))
		Expect(answer.Version).To(Equal(uint64(20)))
		Expect(r.store.replicas(chat)).To(Equal(int64(3)))
		Expect(r.entry.mirrored.Version).To(Equal(platform.Version(20)))
		Expect(r.entry.events).To(ConsistOf(SatisfyAll(
			HaveField("Kind", timeline.SettingsAccepted), HaveField("Version", uint64(20)), HaveField("Detail", "a"))))
	})

	// The platform performs the write, but its response is lost. Reporting a failure would be wrong, and writing
	// again would undo changes that others made in the meantime.
	DescribeTable("resolves a write whose response was lost",
		func(faults []string, puts int) {
			r := newDevTestServer()
			r.store.faults = faults
			status, answer := r.apply(replicasChange("a", chat, 1, 3))
			Expect(status).To(Equal(http.StatusOK))
			Expect(answer.Status).To(Equal(settings.Accepted))
			Expect(r.store.replicas(chat)).To(Equal(int64(3)))
			Expect(r.store.tree().Changes).To(HaveLen(1))
			Expect(r.store.puts).To(Equal(puts))
			again, answer := r.apply(replicasChange("a", chat, 1, 3))
			Expect(again).To(Equal(http.StatusOK))
			Expect(answer.Status).To(Equal(settings.AlreadyApplied))
			Expect(r.store.tree().Changes).To(HaveLen(1))
		},
		Entry("only the response was lost", []string{"lost-answer"}, 1),
		Entry("the write was lost", []string{"lost"}, 2),
		Entry("the write takes effect late, right before the second attempt", []string{"delayed"}, 2),
		Entry("the platform was down and then lost a response", []string{"down", "lost-answer"}, 2),
	)

	// Both operators start from the same revision. Without the conflict, the second change would silently undo the
	// first, which was already accepted.
	It("reports both sides of a conflict and writes nothing", func() {
		r := newDevTestServer()
		_, _ = r.apply(replicasChange("a", chat, 1, 3))
		status, answer := r.apply(replicasChange("b", chat, 1, 5))
		Expect(status).To(Equal(http.StatusConflict))
		Expect(answer.Conflicts).To(HaveLen(1))
		Expect(answer.Conflicts[0].Theirs.Values["replicas"].Integer).To(Equal(int64(3)))
		Expect((*answer.Conflicts[0].Ours)["replicas"].Integer).To(Equal(int64(5)))
		Expect(answer.Conflicts[0].By.Author).To(Equal("ana"))
		Expect(r.store.puts).To(Equal(1))
	})

	// Many operators apply concurrently through different entries, half of them to the same node. Every accepted
	// change must be present at the end, and exactly one of those to the shared node may be accepted.
	It("keeps every accepted change when operators race through several entries", func() {
		first := newDevTestServer()
		servers := []*testServer{first}
		for range 3 {
			other := newTestServer(first.store)
			other.entry.snapshot, other.entry.mirrored = first.entry.snapshot, first.entry.mirrored
			servers = append(servers, other)
		}
		var wg sync.WaitGroup
		answers := make([]admin.Applied, 8)
		for i := range answers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer GinkgoRecover()
				change := replicasChange(fmt.Sprint(i), chat, 1, int64(10+i))
				if i%2 == 1 {
					team := settings.TeamPath("local", fmt.Sprint("t", i))
					hash := settings.Value{Kind: settings.ListValue, List: []string{operator.HashKey(string(team))}}
					change.Nodes = []settings.NodeChange{{Node: team, Values: settings.Values{"key_hashes": hash}}}
				}
				_, answers[i] = servers[i%len(servers)].apply(change)
			}()
		}
		wg.Wait()
		tree := first.store.tree()
		accepted := 0
		for i, answer := range answers {
			if i%2 == 1 {
				Expect(answer.Status).To(Equal(settings.Accepted))
				Expect(tree.Nodes).To(HaveKey(settings.TeamPath("local", fmt.Sprint("t", i))))
			} else if answer.Status == settings.Accepted {
				accepted++
				Expect(first.store.replicas(chat)).To(Equal(int64(10 + i)))
			} else {
				Expect(answer.Status).To(Equal(settings.Conflicted))
			}
		}
		Expect(accepted).To(Equal(1))
		Expect(tree.Changes).To(HaveLen(5))
	})

	DescribeTable("reports the outcome of a change during an outage",
		func(prepare func(*testServer), outcome contract.Outcome, code contract.Code) {
			r := newDevTestServer()
			prepare(r)
			var problem contract.Problem
			Expect(r.call(http.MethodPost, admin.ApplyPath, replicasChange("a", chat, 1, 3), &problem)).To(Equal(http.StatusServiceUnavailable))
			Expect(problem.Outcome).To(Equal(outcome))
			Expect(problem.Code).To(Equal(code))
		},
		Entry("down all the time: nothing was changed", func(r *testServer) { r.store.getErr = platform.ErrUnavailable },
			contract.OutcomeNotRun, contract.CodePlatformUnavailable),
		Entry("down right after the write: it may have been taken", func(r *testServer) {
			r.store.faults = []string{"lost-answer"}
			r.store.onGet = func() { r.store.getErr = platform.ErrUnavailable }
		}, contract.OutcomeUnknown, contract.CodeUnknownOutcome),
		Entry("responses older than the state already seen", func(r *testServer) {
			old := r.store.object
			old.Version = 3
			r.store.stale = &old
		}, contract.OutcomeNotRun, contract.CodePlatformUnavailable),
	)

	It("refuses an invalid change, naming the node, the key and the accepted values", func() {
		r := newDevTestServer()
		bad := replicasChange("a", chat, 1, 3)
		bad.Nodes[0].Values["group_size"] = settings.Value{Kind: settings.IntegerValue, Integer: 0}
		status, answer := r.apply(bad)
		Expect(status).To(Equal(http.StatusUnprocessableEntity))
		Expect(answer.Faults).To(ConsistOf(SatisfyAll(HaveField("Node", chat), HaveField("Key", "group_size"),
			HaveField("Expected", ContainSubstring("from 1 to 64")))))
		Expect(r.store.puts).To(BeZero())
	})

	// A group that fits no fabric domain would never be formed, and its service would silently have no replica.
	// VMs that have since disappeared must not block an unrelated change.
	It("refuses a group larger than any fabric domain, but only for faults that this change introduces", func() {
		r := newDevTestServer()
		machine := func(n int) vm.VM {
			return vm.VM{Name: vm.Name(fmt.Sprint(n)), Position: domain.Position{Place: "local", FabricDomain: "f1"}}
		}
		r.entry.lists = []vm.List{{VMs: []vm.VM{machine(1), machine(2), machine(3)}}}
		status, _ := r.apply(replicasChange("a", desk, 1, 3))
		Expect(status).To(Equal(http.StatusOK), "chat's group of 4 fits nowhere, but was declared before")
		larger := replicasChange("b", chat, 1, 3)
		larger.Nodes[0].Values["group_size"] = settings.Value{Kind: settings.IntegerValue, Integer: 5}
		status, answer := r.apply(larger)
		Expect(status).To(Equal(http.StatusUnprocessableEntity))
		Expect(answer.Faults).To(ConsistOf(HaveField("Expected", "at most 3")))
		r.entry.listsErr = platform.ErrUnavailable
		status, _ = r.apply(larger)
		Expect(status).To(Equal(http.StatusOK), "the VM list is not known")
	})
})

var _ = Describe("Tokens", func() {
	DescribeTable("authorizes only operators",
		func(token string, status int) {
			r := newDevTestServer()
			r.token = token
			Expect(r.call(http.MethodGet, admin.SettingsPath, nil, nil)).To(Equal(status))
		},
		Entry("operator", examples.DevOperatorKey, http.StatusOK),
		Entry("team key", examples.DevTeamKey, http.StatusUnauthorized),
		Entry("none", "", http.StatusUnauthorized),
		Entry("the hash itself", operator.HashKey(examples.DevOperatorKey), http.StatusUnauthorized),
		Entry("bootstrap token, though a tree exists", "bootstrap", http.StatusUnauthorized),
	)

	It("accepts the bootstrap token for the first tree only", func() {
		declared, err := settings.LoadFS(examples.Dev(), "dev")
		Expect(err).NotTo(HaveOccurred())
		change := settings.Change{ID: "first"}
		for path, values := range declared.Nodes {
			change.Nodes = append(change.Nodes, settings.NodeChange{Node: path, Values: values})
		}
		r := newTestServer(&fakeStore{})
		r.entry.snapshot = &settings.Snapshot{}
		Expect(r.call(http.MethodPost, admin.ApplyPath, change, nil)).To(Equal(http.StatusUnauthorized), "dev token")
		r.token = "bootstrap"
		status, answer := r.apply(change)
		Expect(status).To(Equal(http.StatusOK))
		Expect(answer.Status).To(Equal(settings.Accepted))
		Expect(r.call(http.MethodGet, admin.SettingsPath, nil, nil)).To(Equal(http.StatusUnauthorized), "the entry has no snapshot yet")
	})

	// A token was revoked, and this entry has not yet received the revocation. The token's holder must not be able
	// to restore it.
	It("does not let a revoked token change the tree", func() {
		r := newDevTestServer()
		tree := r.store.tree()
		values := tree.Nodes[settings.Root].Values
		values["operator_key_hashes"] = settings.Value{Kind: settings.ListValue, List: []string{operator.HashKey("new")}}
		value, err := json.Marshal(tree)
		Expect(err).NotTo(HaveOccurred())
		r.store.object.Value, r.store.object.Version = value, 30
		Expect(r.call(http.MethodPost, admin.ApplyPath, replicasChange("a", chat, 1, 3), nil)).To(Equal(http.StatusUnauthorized))
		Expect(r.store.puts).To(BeZero())
	})
})

var _ = Describe("Reading", func() {
	It("returns the tree, an explanation and the history", func() {
		r := newDevTestServer()
		_, _ = r.apply(replicasChange("a", chat, 1, 3))
		_, _ = r.apply(replicasChange("b", desk, 1, 4))
		var current admin.Settings
		Expect(r.call(http.MethodGet, admin.SettingsPath, nil, &current)).To(Equal(http.StatusOK))
		Expect(current.Version).To(Equal(uint64(30)))
		Expect(current.Tree.Nodes[chat].Revision).To(Equal(uint64(2)))
		var explained admin.Explanation
		Expect(r.call(http.MethodGet, admin.ExplainPath+"?path="+string(chat), nil, &explained)).To(Equal(http.StatusOK))
		Expect(explained.Values).To(ContainElement(SatisfyAll(HaveField("Key", "drain_timeout"), HaveField("From", settings.Root))))
		Expect(r.call(http.MethodGet, admin.ExplainPath+"?path=/x", nil, nil)).To(Equal(http.StatusNotFound))
		var history admin.History
		Expect(r.call(http.MethodGet, admin.HistoryPath, nil, &history)).To(Equal(http.StatusOK))
		Expect(history.Changes).To(HaveLen(2))
		Expect(history.Changes[0].ID).To(Equal("b"))
	})

	It("returns the entry's local copy during a platform outage", func() {
		r := newDevTestServer()
		r.store.getErr = platform.ErrUnavailable
		var current admin.Settings
		Expect(r.call(http.MethodGet, admin.SettingsPath, nil, &current)).To(Equal(http.StatusOK))
		Expect(current.FromLocalCopy).To(BeTrue())
		Expect(current.Version).To(Equal(uint64(10)))
	})

	It("compares the groups with what the settings ask for", func() {
		r := newDevTestServer()
		group := func(service string, state vm.GroupState, whole bool, members int, version string) admin.GroupStatus {
			return admin.GroupStatus{Whole: whole, Group: vm.Group{
				Service: service, State: state, ModelVersion: version, Members: make([]vm.Member, members),
			}}
		}
		r.entry.status = admin.Status{Groups: []admin.GroupStatus{
			group("chat", vm.Serving, true, 4, "v1"), group("chat", vm.Serving, true, 4, "v0"),
			group("chat", vm.Serving, false, 4, "v1"), group("chat", vm.Loading, false, 4, "v1"),
			group("gone", vm.Draining, true, 1, ""),
		}}
		r.entry.status.BlockedActions = []admin.BlockedAction{{FabricDomain: "f9", Reason: "the platform is out"}, {FabricDomain: "f2", Service: "desk", Reason: "no room"}}
		for _, domain := range []string{"f5", "f1", "f4", "f1", "f3", "f2"} {
			r.entry.status.BlockedActions = append(r.entry.status.BlockedActions, admin.BlockedAction{FabricDomain: domain, Service: "chat", Reason: "loads are paced"})
		}
		var status admin.Status
		Expect(r.call(http.MethodGet, admin.StatusPath, nil, &status)).To(Equal(http.StatusOK))
		Expect(status.Services).To(Equal([]admin.ServiceStatus{
			{Name: "chat", Wanted: 2, Serving: 2, UpToDate: 1, Changing: 1, Note: "loads are paced (f1, f2, f3 and 2 more)"},
			{Name: "desk", Wanted: 2, Note: "no room (f2)"},
			{Name: "gone", Changing: 1},
		}))
	})

	It("passes on the time line query, and lifts a quarantine", func() {
		r := newDevTestServer()
		Expect(r.call(http.MethodGet, admin.TimelinePath+"?since=5&kind=group-state&limit=7", nil, nil)).To(Equal(http.StatusOK))
		Expect(r.entry.query).To(Equal(admin.TimelineQuery{Filter: timeline.Filter{Since: 5, Kind: timeline.GroupState}, Limit: 7}))
		Expect(r.call(http.MethodGet, admin.TimelinePath+"?limit=0", nil, nil)).To(Equal(http.StatusBadRequest))
		Expect(r.call(http.MethodDelete, admin.QuarantinePath+"/desk/f1", nil, nil)).To(Equal(http.StatusNoContent))
		Expect(r.call(http.MethodDelete, admin.QuarantinePath+"/desk/f2", nil, nil)).To(Equal(http.StatusNotFound))
		Expect(r.entry.lifted).To(ConsistOf("desk/f1"))
	})
})
