package suspicion_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/skylarkpond/skylarkpond/policy/suspicion"
)

// BenchmarkStorm measures what one report of a crash costs the leader while hundreds of entries report ten crashes a second, with the rules read each
// 20 ms.
func BenchmarkStorm(b *testing.B) {
	l := suspicion.New()
	now := time.Duration(0)
	for i := range b.N {
		crash := i / 330
		l.RecordCrash(now, fmt.Sprint("i-", crash), crashOf("part bad", fmt.Sprint("request ", i), fmt.Sprint("part ", i)))
		now = time.Duration(i) * 100 * time.Millisecond / 330
		if i%66 == 0 {
			l.Rules(now)
			l.Suspects(now)
		}
	}
}
