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

func newRequest(team string, timeout time.Duration) home.AdmissionRequest {
	return home.AdmissionRequest{
		Group: "g", Team: settings.Team{Name: team, Share: 1}, EstimatedTokens: 10, Timeout: timeout,
		Service: settings.Service{
			Kind: settings.LanguageService, MaxConcurrency: 1, QueueTimeout: time.Minute,
			FirstTokenObjective: time.Second, TokenGapObjective: time.Second,
		},
	}
}

var _ = Describe("Admission", func() {
	var a *Admission
	BeforeEach(func() { a = New() })

	enter := func(ctx context.Context, request home.AdmissionRequest) home.Permit {
		GinkgoHelper()
		permit, problem := a.Enter(ctx, request)
		Expect(problem).To(BeNil())
		return permit
	}

	It("admits the next request as soon as a slot is free", func() {
		first := enter(context.Background(), newRequest("a", time.Minute))
		entered := make(chan home.Permit)
		go func() {
			permit, _ := a.Enter(context.Background(), newRequest("b", time.Minute))
			entered <- permit
		}()
		Eventually(func() int { return a.Load("g").Queued }).Should(Equal(1))
		Consistently(entered, "100ms").ShouldNot(Receive())
		first.Done()
		var second home.Permit
		Eventually(entered).Should(Receive(&second))
		second.Done()
		Expect(a.Load("g").InFlight).To(BeZero())
	})

	// The deadline is too short for any answer. If the request were admitted, the group would work on an answer that
	// nobody reads; if it were queued, the caller would not learn of the refusal in time.
	It("immediately refuses a request that can't meet its deadline", func() {
		permit, problem := a.Enter(context.Background(), newRequest("a", time.Millisecond))
		Expect(permit).To(BeNil())
		Expect(problem.Code).To(Equal(contract.CodeDeadline))
		Expect(problem.Outcome).To(Equal(contract.OutcomeNotRun))
	})

	// A caller disconnects while its request waits. If the request were admitted later, its slot would never be freed.
	It("loses no slot to a caller that disconnected while it waited", func() {
		first := enter(context.Background(), newRequest("a", time.Minute))
		ctx, disconnect := context.WithCancel(context.Background())
		refused := make(chan *contract.Problem)
		go func() {
			_, problem := a.Enter(ctx, newRequest("b", time.Minute))
			refused <- problem
		}()
		Eventually(func() int { return a.Load("g").Queued }).Should(Equal(1))
		disconnect()
		var problem *contract.Problem
		Eventually(refused).Should(Receive(&problem))
		Expect(problem.RetryAfter).To(BeNumerically(">", 0))
		first.Done()
		enter(context.Background(), newRequest("c", time.Minute)).Done()
		Expect(a.Load("g").InFlight).To(BeZero())
		Expect(a.Load("g").Queued).To(BeZero())
	})
})
