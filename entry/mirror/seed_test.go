package mirror

import "flag"

// The seed is fixed so that CI runs the same inputs each time; -rapid.seed selects others.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}
