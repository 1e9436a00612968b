package guard

import (
	"context"
	"strings"
	"time"

	"github.com/skylarkpond/skylarkpond/policy/quarantine"
	"github.com/skylarkpond/skylarkpond/policy/suspicion"
)

// Held returns the requests that are held back, by service. Requests that are held back for their parts are listed once for each rule, under the
// names of the parts.
func (g *Guard) Held() map[string][]quarantine.HeldRequest {
	now := g.deps.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	held := make(map[string][]quarantine.HeldRequest)
	for service, s := range g.services {
		list := s.requests.Held(now)
		for _, rule := range s.rules(now) {
			list = append(list, quarantine.HeldRequest{
				Fingerprint: ruleName(rule), Verdict: quarantine.Quarantined, Crashes: rule.Crashes, Latest: time.UnixMilli(rule.Latest.Milliseconds()),
			})
		}
		if len(list) > 0 {
			held[service] = list
		}
	}
	return held
}

// Lift clears a request, or the parts for which requests are held back, on behalf of an operator, so that they may run again. It returns whether
// there was one.
func (g *Guard) Lift(ctx context.Context, service, fingerprint string) (lifted bool, err error) {
	err = g.update(ctx, service, func(s *state) bool {
		now := g.deps.Clock()
		lifted = s.requests.Lift(now, fingerprint) || s.lift(now, fingerprint)
		return lifted
	})
	return lifted, err
}

// ruleName names a rule to operators.
func ruleName(rule suspicion.Rule) string { return strings.Join(rule.Traits, "+") }

func ruleNames(rules []suspicion.Rule) []string {
	var names []string
	for _, rule := range rules {
		names = append(names, ruleName(rule))
	}
	return names
}
