package isolation

import (
	"math/rand/v2"
	"testing"
)

// Guards against entries that take themselves for cut off while the servers of one failure domain are down.
func TestSampleHoldsEveryFailureDomain(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	shuffle := func(indices []int) {
		random.Shuffle(len(indices), func(i, j int) { indices[i], indices[j] = indices[j], indices[i] })
	}
	servers := make([]string, 171)
	for i := range servers {
		servers[i] = []string{"a", "b", "c"}[i/57]
	}
	for range 1000 {
		drawn := make(map[string]int)
		for _, i := range Sample(servers, shuffle) {
			drawn[servers[i]]++
		}
		if len(drawn) != 3 {
			t.Fatalf("drew from %v", drawn)
		}
	}
}

func TestSampleSizes(t *testing.T) {
	keep := func([]int) {}
	for name, c := range map[string]struct {
		domains []string
		want    int
	}{
		"none":                     {nil, 0},
		"fewer than a sample":      {[]string{"a", "a"}, 2},
		"one failure domain":       {[]string{"a", "a", "a", "a"}, SampleSize},
		"more failure domains":     {[]string{"a", "b", "c", "d", "e", "a"}, 5},
		"a failure domain of one":  {[]string{"a", "a", "a", "b"}, SampleSize},
		"no server is drawn twice": {[]string{"a", "b", "b", "b"}, SampleSize},
	} {
		drawn := Sample(c.domains, keep)
		unique := make(map[int]bool)
		for _, i := range drawn {
			unique[i] = true
		}
		if len(drawn) != c.want || len(unique) != c.want {
			t.Errorf("%s: drew %v, want %d", name, drawn, c.want)
		}
	}
}
