package grouping_test

import (
	"fmt"
	"testing"

	"github.com/skylarkpond/skylarkpond/policy/grouping"
)

func TestExplore(t *testing.T) {
	f := mean(grouping.Decide, 200)
	fmt.Printf("served %.3f large %.3f small %.3f idle %.3f\n", f.served, f.byModel["large"], f.byModel["small"], f.idle)
}
