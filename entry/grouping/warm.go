package grouping

import (
	"context"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
)

// warmRetryDelay is how long a spare whose warming failed is left alone. It can be used without warming.
const warmRetryDelay = 5 * time.Second

// startWarming makes a free VM load a model from its host by joining a group of its own, which is never opened. After that,
// the VM joins groups of the model immediately.
func (c *Controller) startWarming(ctx context.Context, engine *route.Engine, server *backend.Server, modelName string) {
	model, ok := engine.Model(modelName)
	if !ok || server == nil {
		return
	}
	f := &formation{
		controller: c, model: model, engine: engine, members: []*backend.Server{server}, started: time.Now(),
		key: backend.GroupKey{Name: newGroupName(server)},
	}
	c.mu.Lock()
	c.forming[server.ID] = ""
	c.mu.Unlock()
	c.running.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, taskTimeout)
		defer cancel()
		_, err := f.assemble(ctx)
		event := Event{Kind: SpareWarmed, VM: server.ID, Model: modelName, Took: time.Since(f.started)}
		c.mu.Lock()
		delete(c.forming, server.ID)
		if err != nil {
			event.Kind, event.Detail = SpareNotWarmed, err.Error()
			c.warmRetryAt[server.ID] = time.Now().Add(warmRetryDelay)
		}
		c.mu.Unlock()
		c.deps.OnEvent(event)
		c.Wake()
	})
}
