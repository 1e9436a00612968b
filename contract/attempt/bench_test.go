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

// confirmation has the size of a booking's answer.
var confirmation = contract.StoredAnswer{Status: 201, Body: make([]byte, 300)}

func records(b *testing.B) (*attempt.Records, *platform.Client) {
	server := httptest.NewServer(standin.New(standin.WithHistoryLimit(1)).Handler())
	b.Cleanup(server.Close)
	client := platform.NewClient(server.URL, platform.WithRates(platform.Rates{Shared: 1e9, Reserved: 1e9}), platform.WithCallTimeout(time.Minute))
	return attempt.New(client, time.Now), client
}

func record(r *attempt.Records, key string, retention time.Duration) {
	w := attempt.WriteRequest{ID: attempt.ID{Team: "team", Key: key}, Number: 1, Fingerprint: fmt.Sprintf("%064d", 0), RequestID: fmt.Sprintf("%036d", 0), Retention: retention}
	claim := r.Claim(context.Background(), w, "entry-1", fmt.Sprintf("%036d", 0))
	r.Complete(context.Background(), w.ID, claim, confirmation, retention)
}

// BenchmarkRecord is what one unrepeatable request adds at its home: a claim and its answer.
func BenchmarkRecord(b *testing.B) {
	r, _ := records(b)
	for i := range b.N {
		record(r, fmt.Sprint(i), time.Hour)
	}
}

// BenchmarkPurge looks through records of which none is due: the price of a purge by the number of records.
func BenchmarkPurge(b *testing.B) {
	for _, count := range []int{1_000, 10_000, 30_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			r, client := records(b)
			for i := range count {
				record(r, fmt.Sprint(i), time.Hour)
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
