// Package wait provides a sleep that ends early when a context is done.
package wait

import (
	"context"
	"time"
)

// Pause sleeps for d or until ctx is done. It returns false if ctx is done.
func Pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
