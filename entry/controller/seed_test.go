package controller_test

import "flag"

// CI uses the same inputs in each run; set -rapid.seed to try others.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}
