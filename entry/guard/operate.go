package guard

import (
	"context"

	"github.com/skylarkpond/skylarkpond/policy/quarantine"
)

// Held returns the requests that are held back, by service.
func (g *Guard) Held() map[string][]quarantine.HeldRequest {
	now := g.deps.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	held := make(map[string][]quarantine.HeldRequest)
	for service, r := range g.services {
		if list := r.Held(now); len(list) > 0 {
			held[service] = list
		}
	}
	return held
}

// Lift clears a request on behalf of an operator, so that it may run again. It returns whether the request was
// held.
func (g *Guard) Lift(ctx context.Context, service, fingerprint string) (lifted bool, err error) {
	err = g.update(ctx, service, func(r *quarantine.Register) bool {
		lifted = r.Lift(g.deps.Clock(), fingerprint)
		return lifted
	})
	return lifted, err
}
