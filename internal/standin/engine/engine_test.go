package engine_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/domain"
	"github.com/skylarkpond/skylarkpond/internal/standin/engine"
	link "github.com/skylarkpond/skylarkpond/link/engine"
	"github.com/skylarkpond/skylarkpond/vm"
)

func TestStandin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "stand-in engines")
}

const eventually = time.Minute

var (
	ctx    = context.Background()
	client = link.NewHTTPClient(nil)
	prompt = []byte(`{"model":"m","messages":[{"role":"user","content":"cream"}],"max_tokens":6}`)
	yes    = true
	no     = false
)

// replica is a group whose members have loaded their service and are ready.
type replica struct {
	host *engine.Host
	vms  []vm.VM
	send link.Target
}

func newReplica(options engine.Options, service string, size int) *replica {
	r := &replica{host: engine.NewHost(options)}
	DeferCleanup(r.host.Stop)
	var names []vm.Name
	for _, name := range []vm.Name{"vm1", "vm2", "vm3"}[:size] {
		v, err := r.host.Add(vm.VM{
			Name: name, Address: "127.0.0.1:0", Service: service,
			Position: domain.Position{FabricDomain: "f"},
		})
		Expect(err).NotTo(HaveOccurred())
		r.vms = append(r.vms, v)
		names = append(names, name)
	}
	for rank, v := range r.vms {
		order := link.Order{Kind: link.OrderLoad, Fence: 1, Group: "g", Epoch: 1, Service: "s", Rank: rank, Members: names}
		_, err := client.Order(ctx, v.Address, order)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() bool { return probe(v).Ready }, eventually).Should(BeTrue())
	}
	r.send = link.Target{Address: r.vms[0].Address, RequestID: "r", Group: "g", Epoch: 1, Service: "s"}
	return r
}

func probe(v vm.VM) link.State {
	state, err := client.Probe(ctx, v.Address)
	if err != nil {
		return link.State{}
	}
	return state
}

func (r *replica) set(name vm.Name, s engine.Switches) { Expect(r.host.Switch(name, s)).To(Succeed()) }

func (r *replica) complete(id string, priority int) (link.Stream, error) {
	send := r.send
	send.RequestID, send.Priority = id, priority
	return client.Complete(ctx, send, prompt)
}

func (r *replica) open(id string, priority int) link.Stream {
	stream, err := r.complete(id, priority)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(stream.Close)
	return stream
}

func (r *replica) phases(phase engine.Phase) (ids []string) {
	for _, run := range r.host.Runs() {
		if run.Phase == phase {
			ids = append(ids, run.RequestID)
		}
	}
	return ids
}

func readAll(stream link.Stream) (seqs []uint64, ids []string, err error) {
	for {
		event, err := stream.Next()
		if err != nil {
			return seqs, ids, err
		}
		seqs, ids = append(seqs, event.Seq), append(ids, event.RequestID)
	}
}

var _ = Describe("Host", func() {
	// A VM freezes after it accepted the connection of a call, and the caller gives up. Once thawed, the VM
	// runs the call all the same, so it would be wrong to report the call as not run in the meantime.
	It("runs a request that a frozen VM held, although its caller has left", func() {
		r := newReplica(engine.DefaultOptions, "s", 1)
		r.set("vm1", engine.Switches{Freeze: &yes})
		_, err := client.Probe(ctx, r.vms[0].Address)
		Expect(err).To(MatchError(link.ErrInterrupted))
		hasty, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err = client.Call(hasty, r.send, http.MethodPost, "/lots", nil, strings.NewReader("{}"))
		Expect(err).To(MatchError(link.ErrInterrupted))
		late := link.Order{ID: "late", Kind: link.OrderRelease, Fence: 2, DeadlineMillis: 50}
		_, err = client.Order(ctx, r.vms[0].Address, late)
		Expect(err).To(MatchError(link.ErrInterrupted))
		Expect(r.host.Runs()).To(BeEmpty())

		time.Sleep(time.Second) // far beyond the order's deadline, which the engine counts from the order's arrival
		r.set("vm1", engine.Switches{Freeze: &no})
		Eventually(func() []string { return r.phases(engine.Finished) }, eventually).Should(Equal([]string{"r"}))
		Eventually(r.host.Orders, eventually).Should(ContainElement(
			And(HaveField("Order.ID", "late"), HaveField("Refused", "deadline passed"))))
	})

	It("stalls a replica while a member is frozen, and breaks its streams once a member is lost", func() {
		r := newReplica(engine.DefaultOptions, "", 3)
		r.set("vm3", engine.Switches{Freeze: &yes})
		stream := r.open("r1", 0)
		Consistently(func() []string { return r.phases(engine.Finished) }, 50*time.Millisecond).Should(BeEmpty())
		r.set("vm3", engine.Switches{Freeze: &no})
		seqs, _, err := readAll(stream)
		Expect(err).To(Equal(io.EOF))
		Expect(seqs).To(HaveLen(6))

		gap := time.Second.Milliseconds()
		r.set("vm1", engine.Switches{TokenGapMillis: &gap})
		stream = r.open("r2", 0)
		_, err = stream.Next()
		Expect(err).NotTo(HaveOccurred())
		r.set("vm2", engine.Switches{Restart: true})
		_, _, err = readAll(stream)
		Expect(err).To(MatchError(link.ErrInterrupted))
		_, err = r.complete("r3", 0)
		Expect(err).To(MatchError(link.ErrRefused))
		Expect(r.phases(engine.Broken)).To(Equal([]string{"r2"}))
	})

	It("runs at the pace of the slowest member, and only that member reports the longer step time", func() {
		r := newReplica(engine.DefaultOptions, "", 3)
		slow := 1e6
		r.set("vm2", engine.Switches{Slow: &slow})
		r.open("r1", 0)
		Eventually(func() []string { return r.phases(engine.Started) }, eventually).Should(HaveLen(1))
		Consistently(func() []string { return r.phases(engine.Finished) }, 50*time.Millisecond).Should(BeEmpty())
		usual := probe(r.vms[0]).Load.StepMicros
		Expect(usual).To(BeNumerically(">", 0))
		Expect(probe(r.vms[1]).Load.StepMicros).To(Equal(usual * int64(slow)))
	})

	It("crashes on a marked prompt, and restarts with a new boot id and no order", func() {
		r := newReplica(engine.DefaultOptions, "", 1)
		before := probe(r.vms[0])
		marker := "cream"
		r.set("vm1", engine.Switches{CrashMarker: &marker})
		_, _, err := readAll(r.open("r1", 0))
		Expect(err).To(MatchError(link.ErrInterrupted))
		Eventually(func() vm.BootID { return probe(r.vms[0]).BootID }, eventually).
			ShouldNot(Or(BeEmpty(), Equal(before.BootID)))
		Expect(probe(r.vms[0]).Group).To(BeEmpty())
		Expect(r.phases(engine.Started)).To(Equal([]string{"r1"}))
	})

	It("restarts with its order and readiness if it remembers", func() {
		r := newReplica(engine.DefaultOptions, "", 1)
		before := probe(r.vms[0])
		r.set("vm1", engine.Switches{Remembers: &yes, Restart: true})
		after := probe(r.vms[0])
		Expect(after.BootID).NotTo(Equal(before.BootID))
		after.BootID, after.Load = before.BootID, before.Load
		Expect(after).To(Equal(before))
	})

	It("runs requests of higher priority first, and reports its load with a lag", func() {
		options := engine.DefaultOptions
		options.Slots = 1
		r := newReplica(options, "", 1)
		gap, lag := time.Hour.Milliseconds(), int64(0)
		r.set("vm1", engine.Switches{TokenGapMillis: &gap, LoadLagMillis: &lag})
		first := r.open("first", 0)
		_, err := first.Next()
		Expect(err).NotTo(HaveOccurred())
		for i, id := range []string{"low", "high"} {
			r.open(id, i)
			Eventually(func() int { return probe(r.vms[0]).Load.Waiting }, eventually).Should(Equal(i + 1))
		}
		lag = time.Hour.Milliseconds()
		r.set("vm1", engine.Switches{LoadLagMillis: &lag})
		Expect(probe(r.vms[0]).Load).To(And(HaveField("Running", 0), HaveField("Waiting", 0), HaveField("AgeMillis", lag)))

		Expect(first.Close()).To(Succeed())
		Eventually(func() []string { return r.phases(engine.Started) }, eventually).Should(Equal([]string{"first", "high"}))
	})

	It("mangles the selected event", func() {
		r := newReplica(engine.DefaultOptions, "", 1)
		for _, c := range []struct {
			kind engine.MangleKind
			seqs []uint64
			id   string
		}{
			{engine.MangleDrop, []uint64{0, 1, 3, 4, 5}, "r"},
			{engine.MangleDuplicate, []uint64{0, 1, 2, 2, 3, 4, 5}, "r"},
			{engine.MangleCross, []uint64{0, 1, 2, 3, 4, 5}, "another-r"},
		} {
			r.set("vm1", engine.Switches{Mangle: &engine.Mangle{Kind: c.kind, Seq: 2, Count: 1}})
			seqs, ids, err := readAll(r.open("r", 0))
			Expect(err).To(Equal(io.EOF))
			Expect(seqs).To(Equal(c.seqs))
			Expect(ids[2]).To(Equal(c.id))
		}
	})

	// The network path from one caller to a VM is cut. That caller can't distinguish this from a dead VM, while
	// other callers still reach the VM.
	It("ignores callers that it is cut from, and logs arrivals and lifecycle events", func() {
		r := newReplica(engine.DefaultOptions, "", 1)
		r.set("vm1", engine.Switches{CutFrom: &[]netip.Addr{netip.MustParseAddr("127.0.0.1")}})
		_, err := client.Probe(ctx, r.vms[0].Address)
		Expect(err).To(MatchError(link.ErrInterrupted))
		other := link.NewHTTPClient(net.IPv4(127, 0, 0, 2))
		_, err = other.Probe(ctx, r.vms[0].Address)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.host.Arrivals()).To(BeEmpty())

		r.set("vm1", engine.Switches{CutFrom: &[]netip.Addr{}, Freeze: &yes})
		go func() { _, _ = r.complete("r1", 0) }()
		Eventually(r.host.Arrivals, eventually).Should(HaveLen(1))
		Expect(r.host.Runs()).To(BeEmpty())
		Expect(r.host.Arrivals()[0]).To(And(HaveField("RequestID", "r1"), HaveField("Group", vm.GroupID("g"))))
		r.set("vm1", engine.Switches{Freeze: &no, Restart: true})
		var events []engine.LifecycleEvent
		for _, record := range r.host.Lifecycle() {
			events = append(events, record.Event)
		}
		Expect(events).To(Equal([]engine.LifecycleEvent{engine.Booted, engine.Frozen, engine.Thawed, engine.Died, engine.Booted}))
	})

	It("accepts switches and serves its logs over HTTP", func() {
		r := newReplica(engine.DefaultOptions, "s", 1)
		server := httptest.NewServer(r.host.Handler())
		DeferCleanup(server.Close)
		post := func(path, body string) int {
			response, err := http.Post(server.URL+path, "application/json", strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			return response.StatusCode
		}
		response, err := client.Call(ctx, r.send, http.MethodPost, "/lots", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		response.Body.Close()
		runs, err := http.Get(server.URL + "/standin/runs")
		Expect(err).NotTo(HaveOccurred())
		defer runs.Body.Close()
		var phases []engine.Phase
		for lines := bufio.NewScanner(runs.Body); lines.Scan(); {
			var run engine.Run
			Expect(json.Unmarshal(lines.Bytes(), &run)).To(Succeed())
			Expect(run).To(And(HaveField("RequestID", "r"), HaveField("Path", "/lots"), HaveField("Epoch", uint64(1))))
			phases = append(phases, run.Phase)
		}
		Expect(phases).To(Equal([]engine.Phase{engine.Started, engine.Finished}))

		Expect(post("/standin/vms/vm9/switches", `{}`)).To(Equal(http.StatusNotFound))
		Expect(post("/standin/vms/vm1/switches", `{"dye":true}`)).To(Equal(http.StatusBadRequest))
		Expect(post("/standin/vms/vm1/switches", `{"leaving":true}`)).To(Equal(http.StatusOK))
		Expect(probe(r.vms[0]).Leaving).To(BeTrue())
		Expect(post("/standin/domains/f/switches", `{"die":true}`)).To(Equal(http.StatusOK))
		// A client that still holds a pooled connection can't tell whether its request was sent on it, so this
		// uses a new client.
		_, err = link.NewHTTPClient(nil).Probe(ctx, r.vms[0].Address)
		Expect(err).To(MatchError(link.ErrNotSent))
		Expect(r.host.LiveVMs()).To(BeEmpty())
	})
})
