package platform_test

import "flag"

// CI uses a fixed seed so that runs are reproducible; -rapid.seed selects another.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}
