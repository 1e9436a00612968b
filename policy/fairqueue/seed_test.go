package fairqueue_test

import "flag"

// A fixed seed makes CI runs reproducible; -rapid.seed selects another one.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}
