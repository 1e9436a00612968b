package pondctl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/skylarkpond/skylarkpond/contract/admin"
	"github.com/skylarkpond/skylarkpond/contract/settings"
	"github.com/skylarkpond/skylarkpond/entry/operator"
	"github.com/skylarkpond/skylarkpond/examples"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/pondctl"
	"github.com/skylarkpond/skylarkpond/timeline"
	"github.com/skylarkpond/skylarkpond/vm"
)

func TestPondctl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pondctl")
}

// fakeEntry fakes the platform, which stores a single object, and the parts of an entry that the admin API uses.
type fakeEntry struct {
	platform.Store

	mu       sync.Mutex
	object   platform.Object
	down     bool
	lagging  bool
	asked    int
	snapshot *settings.Snapshot
}

func (f *fakeEntry) Get(context.Context, platform.Kind, string) (platform.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return platform.Object{}, platform.ErrUnavailable
	}
	if f.object.Version == 0 {
		return platform.Object{}, platform.ErrNotFound
	}
	return f.object, nil
}

func (f *fakeEntry) Put(_ context.Context, _ platform.Kind, _ string, version platform.Version, value json.RawMessage) (platform.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version != f.object.Version {
		return 0, platform.ErrConflict
	}
	f.object = platform.Object{Version: version + 10, Value: value}
	return f.object.Version, nil
}

// set calls change with mu held.
func (f *fakeEntry) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// changeReplicas applies another operator's change to the settings that the platform holds.
func (f *fakeEntry) changeReplicas(path settings.Path, count int64) {
	tree, err := settings.ParseTree(f.object.Value)
	if err != nil {
		panic(err)
	}
	values := maps.Clone(tree.Nodes[path].Values)
	values["replicas"] = settings.Value{Kind: settings.IntegerValue, Integer: count}
	next, result := settings.Merge(tree, &settings.Change{ID: fmt.Sprint("other", count), Nodes: []settings.NodeChange{
		{Node: path, Base: tree.Nodes[path].Revision, Values: values},
	}})
	if result.Status != settings.Accepted {
		panic(result)
	}
	value, _ := json.Marshal(next)
	_, _ = f.Put(context.Background(), platform.KindSettings, platform.SettingsName, f.object.Version, value)
}

func (f *fakeEntry) Snapshot() *settings.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot
}

func (f *fakeEntry) Publish(object platform.Object) {
	tree, err := settings.ParseTree(object.Value)
	if err != nil {
		panic(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshot, _ = tree.Resolve(uint64(object.Version))
}

// Status reports a second entry that lags for the first two calls, or always if lagging is set.
func (f *fakeEntry) Status(context.Context) (admin.Status, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked++
	slow := uint64(f.object.Version)
	if f.lagging || f.asked < 3 {
		slow -= 10
	}
	return admin.Status{
		Entries: []admin.EntryStatus{
			{Name: "e1", Live: true, SettingsVersion: uint64(f.object.Version), SettingsSince: 1000},
			{Name: "e2", Live: true, SettingsVersion: slow, SettingsSince: 500},
			{Name: "e3", SettingsVersion: 1},
		},
		Groups:         []admin.GroupStatus{{Group: vm.Group{ID: "g1", Service: "desk", State: vm.Serving}, Whole: true}},
		BlockedActions: []admin.BlockedAction{{FabricDomain: "f1", Service: "desk", Reason: "loads are paced"}, {FabricDomain: "f2", Reason: "the platform is out"}},
	}, nil
}

func (f *fakeEntry) Timeline(_ context.Context, query admin.TimelineQuery) (admin.Timeline, error) {
	return admin.Timeline{
		Events:  []timeline.Event{{Time: 1e18, Process: "e1", Kind: query.Kind, Version: 7, Detail: "why"}},
		Missing: []string{"e9"},
	}, nil
}

func (f *fakeEntry) Quarantined(context.Context) ([]admin.QuarantinedRequest, error) {
	return []admin.QuarantinedRequest{{Service: "desk", Fingerprint: "f1", Crashes: 2}}, nil
}

func (f *fakeEntry) Lift(_ context.Context, _, fingerprint string) error {
	if fingerprint != "f1" {
		return operator.ErrNotQuarantined
	}
	return nil
}

func (f *fakeEntry) VMLists(context.Context) ([]vm.List, error) { return nil, platform.ErrUnavailable }
func (f *fakeEntry) Record(timeline.Event)                      {}

// noMirror is the mirror of an entry that has not mirrored any object.
type noMirror struct{}

func (noMirror) Get(platform.Kind, string) (platform.Object, bool) { return platform.Object{}, false }
func (noMirror) Version(platform.Kind, string) platform.Version    { return 0 }

// testEntry is the admin API of an entry with a fake platform, served over HTTP.
type testEntry struct {
	fake    *fakeEntry
	address string

	mu             sync.Mutex // guards beforeResponse
	beforeResponse func(r *http.Request) bool
}

// onResponse sets a function to call before each response is sent. If it returns false, the connection is dropped instead.
func (r *testEntry) onResponse(f func(r *http.Request) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.beforeResponse = f
}

func (r *testEntry) allowsResponse(req *http.Request) bool {
	r.mu.Lock()
	f := r.beforeResponse
	r.mu.Unlock()
	return f == nil || f(req)
}

func newTestEntry() *testEntry {
	r := &testEntry{fake: &fakeEntry{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	var nonce int
	api := operator.New(operator.Deps{
		Entry: "e1", Store: r.fake, Snapshots: r.fake, Mirror: noMirror{}, Publisher: r.fake, Status: r.fake, Timeline: r.fake,
		Quarantine: r.fake, VMs: r.fake, Recorder: r.fake, Log: log, Clock: time.Now,
		NewNonce:         func() string { nonce++; return fmt.Sprint(nonce) },
		BootstrapKeyHash: operator.HashKey(examples.DevOperatorKey),
	}).Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		recorder := httptest.NewRecorder()
		api.ServeHTTP(recorder, req)
		if !r.allowsResponse(req) {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	DeferCleanup(server.Close)
	r.address = strings.TrimPrefix(server.URL, "http://")
	GinkgoT().Setenv("POND_ENTRIES", r.address)
	GinkgoT().Setenv("POND_TOKEN", examples.DevOperatorKey)
	return r
}

// checkout returns a directory with a new copy of the dev declarations, without a lock file.
func checkout() string {
	GinkgoHelper()
	dir := GinkgoT().TempDir()
	Expect(os.CopyFS(dir, examples.Dev())).To(Succeed())
	return dir
}

// copyOf returns a copy of a checkout, which stands for another operator's or an older one.
func copyOf(dir string) string {
	GinkgoHelper()
	other := GinkgoT().TempDir()
	Expect(os.CopyFS(other, os.DirFS(dir))).To(Succeed())
	return other
}

func edit(dir string, path settings.Path, old, fresh string) {
	GinkgoHelper()
	name := filepath.Join(dir, path.File())
	data, err := os.ReadFile(name)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(data)).To(ContainSubstring(old))
	Expect(os.WriteFile(name, bytes.Replace(data, []byte(old), []byte(fresh), 1), 0o644)).To(Succeed())
}

func read(dir string, path settings.Path) string {
	GinkgoHelper()
	data, err := os.ReadFile(filepath.Join(dir, path.File()))
	Expect(err).NotTo(HaveOccurred())
	return string(data)
}

// run runs pondctl and returns its exit code and both outputs.
func run(args ...string) (code int, out, progress string) {
	var stdout, stderr bytes.Buffer
	code = pondctl.Run(context.Background(), args, pondctl.Streams{In: strings.NewReader("dev-team-key\n"), Out: &stdout, Err: &stderr})
	return code, stdout.String(), stderr.String()
}

func expectOK(args ...string) (out string) {
	GinkgoHelper()
	code, out, progress := run(args...)
	Expect(code).To(Equal(pondctl.ExitOK), "%s\n%s", out, progress)
	return out
}
