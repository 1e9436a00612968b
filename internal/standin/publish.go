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

// publisher plays the part of the platform that knows its VMs: it lists those that are live, and which
// of them are leaving. A frozen VM is still listed; a dead one is not, until it starts again.
type publisher struct {
	host *engine.Host
	set  func(context.Context, []vm.VM) error
	last []vm.VM
}

func (r *Running) newPublisher() *publisher {
	p := &publisher{host: r.Engines}
	if r.Platform != nil {
		p.set = func(_ context.Context, vms []vm.VM) error { return r.Platform.SetVMs(vms) }
		return p
	}
	p.set = func(ctx context.Context, vms []vm.VM) error { return post(ctx, r.PlatformURL+"/standin/vms", vms) }
	return p
}

// run publishes until ctx ends. A platform that can't be reached is tried again at the next turn.
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

func (p *publisher) publish(ctx context.Context) error {
	vms := p.host.LiveVMs()
	if p.last != nil && reflect.DeepEqual(vms, p.last) {
		return nil
	}
	if err := p.set(ctx, vms); err != nil {
		return err
	}
	p.last = vms
	return nil
}

// postTimeout bounds one call of a stand-in.
const postTimeout = 2 * time.Second

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
