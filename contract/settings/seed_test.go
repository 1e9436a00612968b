package settings_test

import "flag"

// The seed is fixed so that every CI run uses the same inputs; pass -rapid.seed to use others.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}
