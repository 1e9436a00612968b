// Package wait pauses for as long as a context lasts.
package wait

import (
	"context"
	"time"
)

// Pause waits for d, or until ctx ends, and returns whether ctx still lasts.
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
