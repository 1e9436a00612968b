package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/skylarkpond/skylarkpond/link/engine"
)

// refusal is a response that guarantees that the request or order had no effect.
type refusal struct {
	status int
	reason string
}

func (r *refusal) write(response http.ResponseWriter) {
	response.Header().Set(engine.HeaderRefused, r.reason)
	http.Error(response, r.reason, r.status)
}

func (m *machine) state(b *boot) engine.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return engine.State{
		VM:           m.spec.Name,
		BootID:       b.id,
		Group:        b.order.Group,
		Epoch:        b.order.Epoch,
		Fence:        b.fence,
		Service:      b.order.Service,
		Model:        b.order.Model,
		ModelVersion: b.order.ModelVersion,
		Ready:        ready(b),
		Leaving:      m.faults.leaving,
		Load:         m.load(b),
	}
}

// load returns the load that the VM reports. It must be called with mu held.
func (m *machine) load(b *boot) engine.Load {
	load := b.batch.load(m.faults.loadLag)
	if ready(b) && m.spec.Service == "" {
		load.StepMicros = scale(m.faults.tokenGap, m.faults.slow).Microseconds()
	}
	return load
}

// ready returns whether the load order is complete. It must be called with the machine's mu held.
func ready(b *boot) bool {
	return b.order.Kind == engine.OrderLoad && !time.Now().Before(b.readyAt)
}

func (m *machine) serveOrder(b *boot, body []byte, arrived time.Time, response http.ResponseWriter) {
	var order engine.Order
	if err := json.Unmarshal(body, &order); err != nil {
		http.Error(response, err.Error(), http.StatusBadRequest)
		return
	}
	refused := m.applyOrder(b, order, arrived)
	record := OrderRecord{VM: m.spec.Name, BootID: b.id, Order: order}
	if refused != nil {
		record.Refused = refused.reason
	}
	m.host.orders.add(func(now time.Time) OrderRecord { record.Time = now; return record })
	if refused != nil {
		refused.write(response)
		return
	}
	writeJSON(response, m.state(b))
}

// applyOrder applies an order, or returns why it is refused.
func (m *machine) applyOrder(b *boot, order engine.Order, arrived time.Time) *refusal {
	m.mu.Lock()
	defer m.mu.Unlock()
	deadline := time.Duration(order.DeadlineMillis) * time.Millisecond
	switch {
	case deadline > 0 && time.Since(arrived) > deadline:
		return &refusal{http.StatusRequestTimeout, "deadline passed"}
	case order.BootID != "" && order.BootID != b.id:
		return &refusal{http.StatusPreconditionFailed, "this is boot " + string(b.id)}
	case order.Fence < b.fence && m.faults.checksFence:
		return &refusal{http.StatusConflict, "old fencing number"}
	case order.Kind != engine.OrderLoad && order.Kind != engine.OrderRelease:
		return &refusal{http.StatusBadRequest, "unknown order"}
	}
	if !keepsModel(b.order, order) {
		b.readyAt = time.Now().Add(m.faults.loading)
		m.breakRuns(b)
	}
	b.order = order
	// An engine that doesn't check fencing numbers reports that of the last order it applied, even if it is
	// lower, so that whoever reads the state back can see the fault.
	b.fence = order.Fence
	return nil
}

// keepsModel returns whether an order changes neither the loaded model or service nor the group.
func keepsModel(before, after engine.Order) bool {
	return before.Kind == engine.OrderLoad && after.Kind == engine.OrderLoad &&
		before.Group == after.Group && before.Rank == after.Rank &&
		before.Service == after.Service && before.Model == after.Model &&
		before.ModelVersion == after.ModelVersion && slices.Equal(before.Members, after.Members)
}

// breakRuns cancels all completions, because the model that they use is unloaded. It must be called with mu
// held.
func (m *machine) breakRuns(b *boot) {
	for id, running := range b.cancels {
		delete(b.cancels, id)
		for _, cancelled := range running {
			close(cancelled)
		}
	}
}
