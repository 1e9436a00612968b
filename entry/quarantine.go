package entry

import (
	"context"
	"slices"
	"strings"

	"github.com/skylarkpond/skylarkpond/contract/admin"
	"github.com/skylarkpond/skylarkpond/entry/guard"
	"github.com/skylarkpond/skylarkpond/entry/operator"
	"github.com/skylarkpond/skylarkpond/policy/quarantine"
)

// quarantineSource gives operators access to the requests that the guard holds back.
type quarantineSource struct{ guard *guard.Guard }

// Quarantined implements operator.QuarantineSource. Suspected requests are listed as well, with their own reason.
func (h quarantineSource) Quarantined(context.Context) ([]admin.QuarantinedRequest, error) {
	var all []admin.QuarantinedRequest
	for service, held := range h.guard.Held() {
		for _, request := range held {
			all = append(all, admin.QuarantinedRequest{
				Service: service, Fingerprint: request.Fingerprint, Since: request.Latest.UnixMilli(),
				Crashes: request.Crashes, Reason: reasonOf(request.Verdict),
			})
		}
	}
	slices.SortStableFunc(all, func(a, b admin.QuarantinedRequest) int { return strings.Compare(a.Service, b.Service) })
	return all, nil
}

func reasonOf(verdict quarantine.Verdict) string {
	if verdict == quarantine.Quarantined {
		return "crashed backend servers; it is refused"
	}
	return "was in progress when a backend server crashed; it runs alone"
}

// Lift implements operator.QuarantineSource.
func (h quarantineSource) Lift(ctx context.Context, service, fingerprint string) error {
	lifted, err := h.guard.Lift(ctx, service, fingerprint)
	if err == nil && !lifted {
		return operator.ErrNotQuarantined
	}
	return err
}
