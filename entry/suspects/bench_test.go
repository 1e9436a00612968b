package suspects_test

import (
	"fmt"
	"testing"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/entry/suspects"
	link "github.com/skylarkpond/skylarkpond/link/leader"
)

// BenchmarkRequest measures what a served request costs an entry: its traits, two questions whether it is held back, and the record that it finished.
func BenchmarkRequest(b *testing.B) {
	around := &surroundings{linked: true}
	watch := around.watch()
	watch.ApplyHolds(link.Holds{Service: "desk", Rules: []link.Rule{{Traits: []string{"part bad"}, Crashes: 3}}})
	fingerprint := contract.Fingerprint("content")
	for i := range b.N {
		r := suspects.Request{Service: "desk", Traits: suspects.Traits(fingerprint, []string{"shared", "tenant", fmt.Sprint("own ", i)})}
		watch.Held(r)
		watch.Held(r)
		watch.Finished(r)
	}
}
