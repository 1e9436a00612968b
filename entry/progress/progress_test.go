package progress_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/entry/progress"
)

func TestProgress(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Progress")
}

var _ = Describe("Monitor", func() {
	It("tells of a task that stands still while the other goes on, and when it goes on again", func() {
		changes := make(chan bool, 8)
		m := progress.New(func(task progress.Task, stalled bool) {
			defer GinkgoRecover()
			Expect(task).To(Equal(progress.Groups))
			changes <- stalled
		})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go m.Run(ctx)
		go func() {
			for ctx.Err() == nil {
				m.RoundEnded(progress.Turns)
				time.Sleep(20 * time.Millisecond)
			}
		}()
		Eventually(changes, "10s").Should(Receive(BeTrue()))
		Eventually(m.Stalled).Should(BeTrue())
		m.RoundEnded(progress.Groups)
		Eventually(changes).Should(Receive(BeFalse()))
		Eventually(m.Stalled).Should(BeFalse())
	})
})
