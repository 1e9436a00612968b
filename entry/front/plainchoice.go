package front

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/vm"
)

// RandomChooser is the plain Chooser: any group of the service that was not tried yet.
type RandomChooser struct {
	// Groups lists the groups of a service that may be sent to.
	Groups func(service string) []vm.GroupID
}

// Choose implements Chooser.
func (c RandomChooser) Choose(ask Ask) (Choice, *contract.Problem) {
	groups := slices.DeleteFunc(slices.Clone(c.Groups(ask.Service.Name)), func(id vm.GroupID) bool {
		return slices.Contains(ask.Tried, id)
	})
	if len(groups) == 0 {
		return Choice{}, contract.Later(contract.CodeNoGroup, "no group of the service can take the request", time.Second)
	}
	return Choice{Group: groups[rand.IntN(len(groups))]}, nil
}

// ShareBudget is the plain RetryBudget: one retry for every ten first tries, and ten at the start.
type ShareBudget struct {
	tenths atomic.Int64
}

const (
	budgetPerRetry = 10
	budgetCap      = 1000
)

// NewShareBudget returns a budget for all services together.
func NewShareBudget() *ShareBudget {
	b := &ShareBudget{}
	b.tenths.Store(budgetPerRetry * budgetPerRetry)
	return b
}

// First implements RetryBudget.
func (b *ShareBudget) First(string) {
	if b.tenths.Load() < budgetCap {
		b.tenths.Add(1)
	}
}

// Retry implements RetryBudget.
func (b *ShareBudget) Retry(string) bool {
	if b.tenths.Add(-budgetPerRetry) >= 0 {
		return true
	}
	b.tenths.Add(budgetPerRetry)
	return false
}
