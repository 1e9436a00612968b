package timeline

import "flag"

// The fixed seed gives CI the same inputs on each run. The flag -rapid.seed selects others.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}
