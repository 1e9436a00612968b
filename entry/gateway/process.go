package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/entry/suspects"
	"github.com/skylarkpond/skylarkpond/link/upstream"
	"github.com/skylarkpond/skylarkpond/platform"
)

// processProbeTimeout bounds the probe of a server whose VM may be silent.
const processProbeTimeout = 500 * time.Millisecond

// askForReport asks a server for its report on a new connection, and returns the status and the body of the answer.
func askForReport(ctx context.Context, pool *upstream.Pool, server *backend.Server) (int, []byte, error) {
	header := platform.ForwardHeader(http.Header{}, platform.Forward{Server: server.ID, Remaining: time.Second})
	return pool.Ask(ctx, upstream.EndpointOf(server), &upstream.Request{
		Method: http.MethodGet, Target: platform.PathReport, Host: server.Address, Header: header,
	})
}

// probeProcess finds out whether the process of a server has ended: it was registered anew, it refuses connections, another process answers in its
// place, or it is silent and no longer registered. A server that reports no start time is taken for the same process if it has the same id.
func probeProcess(ctx context.Context, listing *backend.Listing, pool *upstream.Pool, server *backend.Server) suspects.Liveness {
	listed := listing.Servers[server.ID]
	if listed != nil && startedLater(listed.StartedAtMillis, server) {
		return suspects.Gone
	}
	ctx, cancel := context.WithTimeout(ctx, processProbeTimeout)
	defer cancel()
	if upstream.RefusesConnections(ctx, server.Address) {
		return suspects.Gone
	}
	status, body, err := askForReport(ctx, pool, server)
	if err != nil {
		if listed == nil && !listing.RoutableOnly {
			return suspects.Gone
		}
		return suspects.Unknown
	}
	if status == http.StatusMisdirectedRequest {
		return suspects.Gone
	}
	if report, err := platform.DecodeReport(body); err == nil && startedLater(report.StartedAtMillis, server) {
		return suspects.Gone
	}
	return suspects.Running
}

func startedLater(startedAtMillis int64, server *backend.Server) bool {
	return server.StartedAtMillis > 0 && startedAtMillis > server.StartedAtMillis
}
