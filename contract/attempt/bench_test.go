package attempt_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/attempt"
	standin "github.com/skylarkpond/skylarkpond/internal/standin/platform"
	"github.com/skylarkpond/skylarkpond/link/platform"
)

// confirmation has the size of a typical booking confirmation.
var confirmation = contract.StoredAnswer{Status: 201, Body: make([]byte, 300)}

func newRecords(b *testing.B) (*attempt.Records, *platform.Client) {
	server := httptest.NewServer(standin.New(standin.WithHistoryLimit(1)).Handler())
	b.Cleanup(server.Close)
	client := platform.NewClient(server.URL, platform.WithRates(platform.Rates{Shared: 1e9, Reserved: 1e9}), platform.WithCallTimeout(time.Minute))
	return attempt.New(client, time.Now), client
}

func claimAndComplete(r *attempt.Records, key string, retention time.Duration) {
	req := attempt.WriteRequest{ID: attempt.ID{Team: "team", Key: key}, Number: 1, Fingerprint: fmt.Sprintf("%064d", 0), RequestID: fmt.Sprintf("%036d", 0), Retention: retention}
	claim := r.Claim(context.Background(), req, "entry-1", fmt.Sprintf("%036d", 0))
	r.Complete(context.Background(), req.ID, claim, confirmation, retention)
}

// BenchmarkRecord measures what one at-most-once request adds at its home: a claim and the storing of its answer.
func BenchmarkRecord(b *testing.B) {
	r, _ := newRecords(b)
	for i := range b.N {
		claimAndComplete(r, fmt.Sprint(i), time.Hour)
	}
}

// BenchmarkPurge measures a purge that finds no expired record, by the number of records.
func BenchmarkPurge(b *testing.B) {
	for _, count := range []int{1_000, 10_000, 30_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			r, client := newRecords(b)
			for i := range count {
				claimAndComplete(r, fmt.Sprint(i), time.Hour)
			}
			purger := attempt.NewPurger(client, time.Now, 1)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if _, err := purger.Purge(context.Background()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
