package suspects_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/entry/suspects"
	link "github.com/skylarkpond/skylarkpond/link/leader"
)

func TestSuspects(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "requests that crash servers")
}

// surroundings are what a Watch depends on.
type surroundings struct {
	mu               sync.Mutex // guards what follows; a leaf lock
	sent             []link.Up
	checks           []suspects.Check
	liveness         []suspects.Liveness
	probes           int
	linked, isolated bool
}

func (s *surroundings) watch() *suspects.Watch {
	return suspects.New(suspects.Deps{
		Probe: func(context.Context, *backend.Server) suspects.Liveness {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.probes++
			return s.liveness[min(s.probes, len(s.liveness))-1]
		},
		SendToLeader: func(message link.Up) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.sent = append(s.sent, message)
		},
		Linked:   func() bool { return s.linked },
		Isolated: func(string) bool { return s.isolated },
		Checked: func(check suspects.Check) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.checks = append(s.checks, check)
		},
	})
}

func request(traits ...string) suspects.Request {
	return suspects.Request{ID: "r", Service: "desk", Traits: traits}
}

func server(id string) *backend.Server {
	return &backend.Server{ID: backend.ID(id), Service: "desk", Address: "10.0.0.1:1", StartedAtMillis: 7}
}

func names(traits []link.Trait) []string {
	var names []string
	for _, trait := range traits {
		names = append(names, trait.Name)
	}
	return names
}

var _ = Describe("Traits", func() {
	It("are the content of a request and the parts of its prompt, each once", func() {
		Expect(suspects.Traits("0123456789abcdef00", []string{"a", "b", "a"})).To(Equal([]string{"request 123456789abcdef", "part a", "part b"}))
	})
})

var _ = Describe("Watch", func() {
	var (
		around *surroundings
		watch  *suspects.Watch
	)
	ctx := context.Background()
	BeforeEach(func() {
		around = &surroundings{liveness: []suspects.Liveness{suspects.Gone}, linked: true}
		watch = around.watch()
	})

	It("reports the traits of a request whose server is gone, and reports them again to the next leader", func() {
		watch.ServerLost(ctx, request("a", "b"), server("i-1"), time.Now(), true)
		crash := link.Crash{Service: "desk", Server: "i-1", Born: 7, Traits: []link.Trait{{Name: "a", Progressed: true}, {Name: "b", Progressed: true}}}
		Expect(around.sent).To(Equal([]link.Up{{Crash: &crash}}))
		Expect(watch.Reports()).To(ConsistOf(HaveField("Traits", crash.Traits)))
		Expect(around.checks).To(HaveLen(1))
		Expect(around.checks[0].Crashed).To(BeTrue())
	})

	// The next leader knows nothing of the requests that have cleared a trait under the earlier one.
	It("tells the next leader which traits have finished since a crash", func() {
		watch.ServerLost(ctx, request("a", "b"), server("i-1"), time.Now(), false)
		time.Sleep(5 * time.Millisecond)
		watch.Finished(request("a"))
		traits := watch.Reports()[0].Traits
		Expect(traits[0].Finished).To(BeTrue())
		Expect(traits[0].FinishedAgoMs).To(BeNumerically("<", 0))
		Expect(traits[1].Finished).To(BeFalse())
	})

	// A server resets some of its requests and keeps running. Counted as crashes, three such resets would hold harmless requests back.
	It("does not count a reset by a server that keeps running as a crash", func() {
		around.liveness = []suspects.Liveness{suspects.Running}
		watch.ServerLost(ctx, request("innocent"), server("i-1"), time.Now(), false)
		Expect(around.sent).To(BeEmpty())
		Expect(around.checks).To(HaveLen(1))
	})

	// A process that has closed its connections still accepts new ones for some milliseconds.
	It("asks again while the process may be exiting", func() {
		around.liveness = []suspects.Liveness{suspects.Running, suspects.Gone}
		watch.ServerLost(ctx, request("bad"), server("i-1"), time.Now(), false)
		Expect(around.sent).To(HaveLen(1))
	})

	// The VM of the server is silent, and nobody sees a refused connection. Another process has started there a second later.
	It("asks a silent server again until it is known what became of it", func() {
		around.liveness = []suspects.Liveness{suspects.Unknown, suspects.Unknown, suspects.Unknown, suspects.Gone}
		watch.ServerLost(ctx, request("bad"), server("i-1"), time.Now(), false)
		Expect(around.sent).To(HaveLen(1))
	})

	// An entry that has lost its connections to all servers would take each of them for crashed.
	It("reports no crash while the entry is cut off from the servers", func() {
		around.isolated = true
		watch.ServerLost(ctx, request("innocent"), server("i-1"), time.Now(), false)
		Expect(around.sent).To(BeEmpty())
	})

	// All requests that ran on a server are lost with it at the same moment.
	It("checks a server once for all requests that ran on it", func() {
		var running sync.WaitGroup
		sentAt := time.Now()
		for i := range 20 {
			running.Go(func() {
				watch.ServerLost(ctx, request("shared", fmt.Sprint("own ", i)), server("i-1"), sentAt, false)
			})
		}
		running.Wait()
		Expect(around.probes).To(Equal(1))
		Expect(around.sent).To(HaveLen(1))
		Expect(around.sent[0].Crash.Traits).To(HaveLen(21))
		watch.ServerLost(ctx, request("late"), server("i-1"), time.Now().Add(-time.Second), false)
		Expect(around.probes).To(Equal(1))
		Expect(names(around.sent[1].Crash.Traits)).To(Equal([]string{"late"}))
	})

	// Callers go on sending to a server that is down. Each of their requests would be a message to the leader, and would be suspected.
	It("does not suspect requests that were sent to a server after it had broken a connection", func() {
		var running sync.WaitGroup
		running.Go(func() { watch.ServerLost(ctx, request("first"), server("i-1"), time.Now(), false) })
		time.Sleep(5 * time.Millisecond)
		for range 100 {
			watch.ServerLost(ctx, request("later"), server("i-1"), time.Now(), false)
		}
		running.Wait()
		watch.ServerLost(ctx, request("later"), server("i-1"), time.Now(), false)
		Expect(around.sent).To(HaveLen(1))
		Expect(names(around.sent[0].Crash.Traits)).To(Equal([]string{"first"}))
	})

	It("says when requests with the same traits finished", func() {
		watch.Finished(request("shared"))
		watch.ServerLost(ctx, request("shared", "own"), server("i-1"), time.Now(), false)
		Expect(around.sent).To(HaveLen(1))
		traits := around.sent[0].Crash.Traits
		Expect(names(traits)).To(Equal([]string{"own", "shared"}))
		Expect(traits[0].Finished).To(BeFalse())
		Expect(traits[1].Finished).To(BeTrue())
		Expect(traits[1].FinishedAgoMs).To(BeNumerically("<", 5000))
	})

	It("holds back what the leader says, in that service alone", func() {
		watch.ApplyHolds(link.Holds{Service: "desk", Rules: []link.Rule{{Traits: []string{"bad"}, Crashes: 3}, {Traits: []string{"x", "y"}, Crashes: 4}}})
		hold, held := watch.Held(request("bad", "own"))
		Expect(held).To(BeTrue())
		Expect(hold).To(Equal(suspects.Hold{Traits: []string{"bad"}, Crashes: 3}))
		for _, sound := range []suspects.Request{request("own"), request("x", "own"), {Service: "other", Traits: []string{"bad"}}} {
			_, held = watch.Held(sound)
			Expect(held).To(BeFalse(), "%v", sound)
		}
		_, held = watch.Held(request("x", "own", "y"))
		Expect(held).To(BeTrue())
		Expect(watch.RuleCount()).To(Equal(2))
		watch.ApplyHolds(link.Holds{Service: "desk"})
		_, held = watch.Held(request("bad"))
		Expect(held).To(BeFalse())
	})

	It("tells the leader that requests with a suspected trait finish, at once and then no more than once a second", func() {
		watch.Finished(request("before"))
		watch.ApplyHolds(link.Holds{Service: "desk", Suspects: []string{"before", "after", "never"}})
		Expect(around.sent).To(HaveLen(1))
		Expect(around.sent[0].Finished.Trait).To(Equal("before"))
		for range 10 {
			watch.Finished(request("after"))
		}
		Expect(around.sent).To(HaveLen(2))
		Expect(around.sent[1]).To(Equal(link.Up{Finished: &link.Finished{Service: "desk", Trait: "after"}}))
	})

	// A request has taken one server down. Sent once more, it takes a second one.
	It("finds a request with a suspected trait not worth a second server, unless requests with the trait finish", func() {
		watch.Finished(request("shared"))
		watch.ApplyHolds(link.Holds{Service: "desk", Suspects: []string{"bad", "shared"}})
		Expect(watch.Suspected(request("bad"))).To(BeTrue())
		Expect(watch.Suspected(request("shared", "own"))).To(BeFalse())
	})

	It("lets one request through for each trial", func() {
		watch.ApplyHolds(link.Holds{Service: "desk", Rules: []link.Rule{{Traits: []string{"bad"}, Crashes: 3}}})
		Expect(watch.TakeTrial(request("bad"))).To(BeFalse())
		watch.AllowTrial(link.Trial{Service: "desk", Traits: []string{"bad"}})
		Expect(watch.TakeTrial(request("sound"))).To(BeFalse(), "it is not held back")
		Expect(watch.TakeTrial(request("bad", "own"))).To(BeTrue())
		Expect(watch.TakeTrial(request("bad", "own"))).To(BeFalse())
	})

	It("hands what was held back to the next leader", func() {
		Expect(watch.Holds()).To(BeEmpty())
		watch.ApplyHolds(link.Holds{Service: "desk", Rules: []link.Rule{{Traits: []string{"bad"}, Crashes: 3, AgeMs: 1000}}})
		holds := watch.Holds()
		Expect(holds).To(HaveLen(1))
		Expect(holds[0].Rules[0].Traits).To(Equal([]string{"bad"}))
		Expect(holds[0].Rules[0].AgeMs).To(BeNumerically(">=", 1000))
	})

	// All entries have died, and callers send such requests to each of them as soon as it has started.
	It("restores what was held back from the platform, until a leader tells otherwise", func() {
		Expect(watch.Encode()).To(BeNil())
		watch.ApplyHolds(link.Holds{Service: "desk", Rules: []link.Rule{{Traits: []string{"bad"}, Crashes: 3, AgeMs: 1000}}})
		restarted := around.watch()
		Expect(restarted.Restore(watch.Encode())).To(Succeed())
		_, held := restarted.Held(request("bad"))
		Expect(held).To(BeTrue())
		Expect(restarted.Holds()).To(HaveLen(1), "the next leader learns of it")
		restarted.ApplyHolds(link.Holds{Service: "desk"})
		Expect(restarted.Restore(watch.Encode())).To(Succeed())
		_, held = restarted.Held(request("bad"))
		Expect(held).To(BeFalse())
	})

	// An age that overflows as a duration would be one in the future.
	It("bounds the age of stored rules", func() {
		restarted := around.watch()
		Expect(restarted.Restore(json.RawMessage(`[{"service":"desk","traits":["bad"],"crashes":3,"last_crash_ms":-900000000000000000}]`))).To(Succeed())
		Expect(restarted.Holds()[0].Rules[0].AgeMs).To(BeNumerically("~", 24*3600*1000, 60_000))
	})

	DescribeTable("rejects stored rules that are invalid, and keeps working", func(stored string, fails bool) {
		err := watch.Restore(json.RawMessage(stored))
		Expect(err != nil).To(Equal(fails))
		_, held := watch.Held(request("sound"))
		Expect(held).To(BeFalse())
	},
		Entry("no JSON", "[{", true),
		Entry("another type", `{"a":1}`, true),
		Entry("a rule without traits, which would hold everything back", `[{"service":"desk","crashes":3}]`, false),
		Entry("a rule from the future", `[{"service":"desk","traits":["bad"],"last_crash_ms":99999999999999}]`, false),
	)

	// The entry is cut off from the leader while such requests come.
	It("goes by its own evidence, and by what it was told last, while it has no leader", func() {
		watch.ApplyHolds(link.Holds{Service: "desk", Rules: []link.Rule{{Traits: []string{"told"}, Crashes: 3}}})
		for i := range 3 {
			watch.ServerLost(ctx, request("bad", fmt.Sprint("own ", i)), server(fmt.Sprint("i-", i)), time.Now(), false)
		}
		_, held := watch.Held(request("bad"))
		Expect(held).To(BeFalse(), "the leader, which knows more, decides")
		around.linked = false
		for _, trait := range []string{"bad", "told"} {
			_, held = watch.Held(request(trait))
			Expect(held).To(BeTrue(), trait)
		}
	})

	It("forgets finished traits within a bounded time and number", func() {
		for i := range 40000 {
			watch.Finished(request(fmt.Sprint("own ", i)))
		}
		watch.ApplyHolds(link.Holds{Service: "desk", Suspects: []string{"own 0", "own 39999"}})
		Expect(around.sent).To(HaveLen(1))
		Expect(around.sent[0].Finished.Trait).To(Equal("own 39999"))
	})
})

// A check takes seconds at most even if the server stays silent.
var _ = Describe("A check of a server that stays silent", func() {
	It("ends without a result", func() {
		around := &surroundings{liveness: []suspects.Liveness{suspects.Unknown}, linked: true}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		around.watch().ServerLost(ctx, request("a"), server("i-1"), time.Now(), false)
		Expect(around.sent).To(BeEmpty())
		Expect(around.checks).To(HaveLen(1))
		Expect(around.checks[0].Crashed).To(BeFalse())
	})
})
