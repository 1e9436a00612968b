package entry

import (
	"context"

	"github.com/skylarkpond/skylarkpond/contract/admin"
	"github.com/skylarkpond/skylarkpond/entry/operator"
)

// noQuarantine stands in until homes quarantine.
type noQuarantine struct{}

// Quarantined implements operator.QuarantineSource.
func (noQuarantine) Quarantined(context.Context) ([]admin.Quarantined, error) { return nil, nil }

// Lift implements operator.QuarantineSource.
func (noQuarantine) Lift(context.Context, string, string) error { return operator.ErrNotQuarantined }
