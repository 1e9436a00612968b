package fairqueue_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"github.com/skylarkpond/skylarkpond/policy/fairqueue"
	"github.com/skylarkpond/skylarkpond/policy/internal/playback"
)

var _ = It("trial", func() {
	fmt.Println()
	for _, s := range []playback.Scenario{playback.Steady(), playback.Burst(), playback.FewTeams(), playback.SlowServer(), playback.LongAmongShort(0.9), playback.LongAmongShort(1.3), playback.Saturation()} {
		fmt.Println(s.Name, "limit", s.SteadyLimit(), "capacity", s.CapacityWork())
		for _, k := range []string{"fifo", "fair"} {
			var q playback.Queue
			if k == "fifo" {
				q = &playback.FIFO{MaxItems: 2048, MaxWait: 2 * time.Second, Retry: time.Second}
			} else {
				q = playback.NewFair(fairqueue.Config{})
			}
			r := s.Play(q, playback.FixedLimit(s.SteadyLimit()))
			f := r.Figures()
			fmt.Printf("%s off %d ans %d ref %d late %d useful %.2f worst %.2f wait %v first %v refusal %v gap95 %v\n", k, f.Offered, f.Answered, f.Refused, f.Late, f.Work/(s.Until-s.From).Seconds()/s.CapacityWork(), f.WorstShare(), f.Wait, f.First, f.Refusal, r.Home.Gaps.Quantile(.95))
			// by class
			for _, long := range []bool{false, true} {
				n, exp, ref := 0, 0, 0
				var w []time.Duration
				for _, x := range r.Requests {
					if (x.Estimate > 1024) != long || x.FirstArrived < s.From || x.FirstArrived > s.Until {
						continue
					}
					n++
					if x.Outcome == playback.Refused {
						ref++
						if x.Ended > x.Arrived {
							exp++
						}
					} else {
						w = append(w, x.Started-x.Arrived)
					}
				}
				slicesSort(w)
				fmt.Printf("   long %v n %d ref %d expired %d wait50 %v wait95 %v\n", long, n, ref, exp, w[len(w)/2], w[len(w)*95/100])
			}
		}
	}
})

func slicesSort(w []time.Duration) { slices.Sort(w) }
