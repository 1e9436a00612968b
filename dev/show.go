package dev

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/skylarkpond/skylarkpond/contract/admin"
	"github.com/skylarkpond/skylarkpond/examples"
)

// startTimeout is how long the groups may take to load before dev returns an error.
const startTimeout = time.Minute

// printExamplesWhenServing waits until every service of the examples has as many serving groups as its settings
// require, then prints example requests.
func (c *Config) printExamplesWhenServing(ctx context.Context, out io.Writer) error {
	fmt.Fprintln(out, "skylarkpond dev: starting; groups are formed and load their model ...")
	deadline := time.Now().Add(startTimeout)
	for ctx.Err() == nil {
		err := c.checkServing(ctx)
		if err == nil {
			c.printExamples(out)
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("after %s: %w", startTimeout, err)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil
}

func (c *Config) checkServing(ctx context.Context) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address(0, adminOffset)+admin.StatusPath, nil)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+examples.DevOperatorKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var status admin.Status
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		return err
	}
	if len(status.Services) == 0 {
		return errNoGroups
	}
	for _, service := range status.Services {
		if service.Serving < service.Wanted {
			return fmt.Errorf("%w: %s has %d of %d", errNoGroups, service.Name, service.Serving, service.Wanted)
		}
	}
	return nil
}

func (c *Config) printExamples(out io.Writer) {
	fmt.Fprintf(out, `skylarkpond dev: serving. Try:

  curl -N http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[3]s' \
       -d '{"model":"chat-small","stream":true,"messages":[{"role":"user","content":"hello"}]}'

  curl -i http://%[1]s/v1/services/desk/bookings -H 'Authorization: Bearer %[3]s' \
       -H 'Idempotency-Key: my-first-booking' -d '{"lot":"cream"}'     # twice: it runs once

  curl http://%[1]s/v1/entries
  go run ./cmd/pondctl status --entries %[2]s --token %[4]s

Ctrl-C drains and stops.
`, c.address(0, 0), c.address(0, adminOffset), examples.DevTeamKey, examples.DevOperatorKey)
}
