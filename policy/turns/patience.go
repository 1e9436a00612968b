package turns

import "time"

const (
	// firstPart is what a group needs from the turn to the first part of the answer: the rest of a pass and the reading of the
	// prompt, 60 to 120 ms on a group that is nearly full.
	firstPart = 100 * time.Millisecond
	// leastPatience lets a request wait for the next place even where its objective leaves no time.
	leastPatience = 25 * time.Millisecond
	// returnPatience is that of a caller that comes again, whose answer is late in any case; turned away once more, it would get none.
	returnPatience = 600 * time.Millisecond
)

// Patience is how long a request may wait for its turn: until its first part would come after the objective. returning says that the
// caller was turned away before.
func Patience(objective, elapsed time.Duration, returning bool) time.Duration {
	if returning {
		return returnPatience
	}
	return max(leastPatience, objective-firstPart-elapsed)
}
