package isolation

// Sample draws the servers that are probed in a round, as indices. failureDomains holds the failure domain of each server; shuffle permutes n indices.
//
// A whole failure domain's servers may be down while the entry reaches all others. Drawn from all servers alike, each third of a sample of three lies in
// it, and of more than a hundred entries some draw no other server twice in a row and take themselves for cut off. So each failure domain is drawn
// from in turn.
func Sample(failureDomains []string, shuffle func(indices []int)) []int {
	order := make([]int, len(failureDomains))
	for i := range order {
		order[i] = i
	}
	shuffle(order)
	byDomain := make(map[string][]int)
	var domains []string
	for _, i := range order {
		name := failureDomains[i]
		if byDomain[name] == nil {
			domains = append(domains, name)
		}
		byDomain[name] = append(byDomain[name], i)
	}
	var drawn []int
	size := max(SampleSize, len(domains))
	for round := 0; len(drawn) < min(size, len(order)); round++ {
		for _, name := range domains {
			if members := byDomain[name]; round < len(members) && len(drawn) < size {
				drawn = append(drawn, members[round])
			}
		}
	}
	return drawn
}
