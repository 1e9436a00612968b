package member

import "flag"

// A fixed seed gives CI the same inputs on each run; -rapid.seed selects others.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}
