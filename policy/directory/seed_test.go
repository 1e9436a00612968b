package directory

import "flag"

// Tests run with the same random inputs each time, unless -rapid.seed sets another seed.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}
