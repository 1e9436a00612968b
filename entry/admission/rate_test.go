package admission

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/entry/home"
)

var _ = Describe("A rate limit that a group states", func() {
	var (
		a       *Admission
		request home.AdmissionRequest
	)
	perSecond := func(value float64) *float64 { return &value }
	BeforeEach(func() {
		a = New()
		request = newRequest("a", 2*time.Second)
		request.Service.MaxConcurrency, request.Service.QueueTimeout = 100, 300*time.Millisecond
	})
	// enterAll has requests enter at a rate for some time, each of which ends at once, and returns when they were admitted.
	enterAll := func(interval, length time.Duration, state func(home.Permit)) (admitted []time.Time) {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go a.Run(ctx)
		var mu sync.Mutex // guards admitted
		var entering sync.WaitGroup
		for range int(length / interval) {
			entering.Go(func() {
				permit, problem := a.Enter(ctx, request)
				if problem != nil {
					return
				}
				mu.Lock()
				admitted = append(admitted, time.Now())
				state(permit)
				mu.Unlock()
				permit.FirstToken()
				permit.Done()
			})
			time.Sleep(interval)
		}
		entering.Wait()
		return admitted
	}

	// All requests of a group pass through its home, which went on as if nothing had been stated.
	It("is kept to by all requests of the group", func() {
		admitted := enterAll(10*time.Millisecond, 4*time.Second, func(p home.Permit) { p.RateLimit(perSecond(5)) })
		Expect(len(admitted)).To(And(BeNumerically(">=", 12), BeNumerically("<=", 35)), "1.5 times 5 a second, and 5 more")
	})

	It("ends with an answer that states none, to a request that was admitted with the limit known", func() {
		before, _ := a.Enter(context.Background(), request)
		first, _ := a.Enter(context.Background(), request)
		Expect(first.RateLimit(perSecond(5))).To(BeTrue())
		Expect(before.RateLimit(nil)).To(BeFalse())
		first.Done()
		before.Done()
		ended := enterAll(10*time.Millisecond, 2*time.Second, func(p home.Permit) { p.RateLimit(nil) })
		Expect(len(ended)).To(BeNumerically(">=", 100))
	})
})
