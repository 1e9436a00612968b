package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"reflect"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/internal/standin/engine"
	"github.com/skylarkpond/skylarkpond/vm"
)

// publisher simulates the platform's VM inventory: it publishes the list of live VMs and marks those that
// are leaving. A frozen VM stays in the list; a dead one is absent until it starts again.
type publisher struct {
	host          *engine.Host
	setVMs        func(context.Context, []vm.VM) error
	lastPublished []vm.VM
}

func (r *Running) newPublisher() *publisher {
	p := &publisher{host: r.Engines}
	if r.Platform != nil {
		p.setVMs = func(_ context.Context, vms []vm.VM) error { return r.Platform.SetVMs(vms) }
		return p
	}
	p.setVMs = func(ctx context.Context, vms []vm.VM) error { return post(ctx, r.PlatformURL+"/standin/vms", vms) }
	return p
}

// run publishes the VM list at each interval until ctx ends. A failed attempt, such as when the platform is
// unreachable, is retried at the next interval.
func (p *publisher) run(ctx context.Context, interval time.Duration) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			_ = p.publish(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// publish sends the VM list to the platform if it changed since the last successful call.
func (p *publisher) publish(ctx context.Context) error {
	vms := p.host.LiveVMs()
	if p.lastPublished != nil && reflect.DeepEqual(vms, p.lastPublished) {
		return nil
	}
	if err := p.setVMs(ctx, vms); err != nil {
		return err
	}
	p.lastPublished = vms
	return nil
}

// postTimeout bounds one HTTP request to a stand-in.
const postTimeout = 2 * time.Second

// post sends body as JSON and returns an error for any status other than 200.
func post(ctx context.Context, url string, body any) error {
	ctx, cancel := context.WithTimeout(ctx, postTimeout)
	defer cancel()
	encoded, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, url)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	if err != nil {
		return eris.Wrap(err, url)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrap(err, url)
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(response.Body, 512))
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("%s: status %d: %s", url, response.StatusCode, text)
	}
	return nil
}
