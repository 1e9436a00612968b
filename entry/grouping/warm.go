package grouping

import (
	"context"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
)

// coldFor is how long a spare is left alone that could not be warmed: it is of use without.
const coldFor = 5 * time.Second

// startWarming lets a free VM take a model up: it joins a group of its own, which is never opened. From then on it joins groups of the
// model at once.
func (c *Controller) startWarming(ctx context.Context, engine *route.Engine, server *backend.Server, modelName string) {
	model, ok := engine.Model(modelName)
	if !ok || server == nil {
		return
	}
	f := &formation{
		controller: c, model: model, engine: engine, members: []*backend.Server{server}, started: time.Now(),
		key: backend.GroupKey{Name: newName(server)},
	}
	c.mu.Lock()
	c.tasks[server.ID] = ""
	c.mu.Unlock()
	c.running.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, taskTimeout)
		defer cancel()
		_, err := f.gather(ctx)
		event := Event{Kind: SpareWarmed, VM: server.ID, Model: modelName, Took: time.Since(f.started)}
		c.mu.Lock()
		delete(c.tasks, server.ID)
		if err != nil {
			event.Kind, event.Detail = SpareNotWarmed, err.Error()
			c.cold[server.ID] = time.Now().Add(coldFor)
		}
		c.mu.Unlock()
		c.deps.OnEvent(event)
		c.Wake()
	})
}
