package admission

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/settings"
	"github.com/skylarkpond/skylarkpond/entry/home"
)

func TestAdmission(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Admission")
}

func ask(team string, timeout time.Duration) home.Item {
	return home.Item{
		Group: "g", Team: settings.Team{Name: team, Share: 1}, Work: 10, Timeout: timeout,
		Service: settings.Service{
			Kind: settings.Language, MaxConcurrency: 1, QueueTimeout: time.Minute,
			FirstToken: time.Second, TokenGap: time.Second,
		},
	}
}

var _ = Describe("Admission", func() {
	var a *Admission
	BeforeEach(func() { a = New() })

	enter := func(ctx context.Context, item home.Item) home.Turn {
		GinkgoHelper()
		turn, problem := a.Enter(ctx, item)
		Expect(problem).To(BeNil())
		return turn
	}

	It("gives the place to the next one as soon as it is free", func() {
		first := enter(context.Background(), ask("a", time.Minute))
		entered := make(chan home.Turn)
		go func() {
			turn, _ := a.Enter(context.Background(), ask("b", time.Minute))
			entered <- turn
		}()
		Eventually(func() int { return a.Load("g").Queued }).Should(Equal(1))
		Consistently(entered, "100ms").ShouldNot(Receive())
		first.Done()
		var second home.Turn
		Eventually(entered).Should(Receive(&second))
		second.Done()
		Expect(a.Load("g").InFlight).To(BeZero())
	})

	// A caller asks for an answer within a time in which none can be made. Were it let in, the group would
	// work on an answer that nobody reads; were it held back, the caller would learn nothing in time.
	It("refuses at once what can't meet its deadline", func() {
		turn, problem := a.Enter(context.Background(), ask("a", time.Millisecond))
		Expect(turn).To(BeNil())
		Expect(problem.Code).To(Equal(contract.CodeDeadline))
		Expect(problem.Outcome).To(Equal(contract.OutcomeNotRun))
	})

	// A caller leaves while its request waits. Its place in the queue must not be given a turn that nobody
	// takes: the group would have one place less for ever.
	It("loses no place to a caller that left while it waited", func() {
		first := enter(context.Background(), ask("a", time.Minute))
		ctx, leave := context.WithCancel(context.Background())
		refused := make(chan *contract.Problem)
		go func() {
			_, problem := a.Enter(ctx, ask("b", time.Minute))
			refused <- problem
		}()
		Eventually(func() int { return a.Load("g").Queued }).Should(Equal(1))
		leave()
		var problem *contract.Problem
		Eventually(refused).Should(Receive(&problem))
		Expect(problem.RetryAfter).To(BeNumerically(">", 0))
		first.Done()
		enter(context.Background(), ask("c", time.Minute)).Done()
		Expect(a.Load("g").InFlight).To(BeZero())
		Expect(a.Load("g").Queued).To(BeZero())
	})
})
