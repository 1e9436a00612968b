package grouping

import (
	"context"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/internal/wait"
	"github.com/skylarkpond/skylarkpond/link/upstream"
	"github.com/skylarkpond/skylarkpond/platform"
)

// Errors of orders and reports.
var (
	// errNoAnswer means that the VM does not answer. It is unknown whether an order arrived.
	errNoAnswer = eris.New("VM does not answer")
	// errOtherServer means that another server, or a restarted process of the same server, answers at the address.
	errOtherServer = eris.New("another server answers at the address")
	// errRejected means that the VM answers without executing an order or telling its state. It may serve its group, and may have asked for a
	// pause.
	errRejected = eris.New("VM rejects the request")
	// errRefused means that the order does not apply to the VM's state, or that another order came first.
	errRefused = eris.New("order refused")
)

const (
	// callTimeout bounds an order or a report. A VM answers within a few milliseconds.
	callTimeout = 400 * time.Millisecond
	// reportAttempts bounds the requests for the report of a VM that does not answer. More than one are sent because a packet
	// may be lost.
	reportAttempts = 2
	// reportAttemptDelay is the delay between the starts of two attempts.
	reportAttemptDelay = 150 * time.Millisecond
	// maxReportBytes is the maximum size of a report.
	maxReportBytes = 64 << 10
)

// serverClient sends orders and report requests to model servers. It is safe for concurrent use.
type serverClient struct {
	pool *upstream.Pool

	mu sync.Mutex // guards the fields below; a leaf lock
	// latestOrders contains what is known about the latest order that each process of a VM accepted.
	latestOrders map[upstream.Endpoint]latestOrder
	// pausedUntil contains the end of the pause that a process of a VM has asked for in its answer to an order or a report request. One that it
	// asks for in answers to other requests does not apply: it answers these.
	pausedUntil map[upstream.Endpoint]time.Time
}

// latestOrder describes the latest order that a VM accepted.
type latestOrder struct {
	at time.Time
	// visibleAfter is how long after at a report shows the order's effect.
	visibleAfter time.Duration
	// minCount is a lower bound of the VM's order count.
	minCount uint64
}

func newServerClient(pool *upstream.Pool) *serverClient {
	return &serverClient{pool: pool, latestOrders: make(map[upstream.Endpoint]latestOrder), pausedUntil: make(map[upstream.Endpoint]time.Time)}
}

const (
	// reportLag is the delay with which reports show a change (200 ms) plus a margin.
	reportLag = 300 * time.Millisecond
	// maxReportWait bounds the wait for a report that shows the latest order.
	maxReportWait = 700 * time.Millisecond
	// reportPollInterval is the pause between two reports while waiting.
	reportPollInterval = 100 * time.Millisecond
)

// report returns a VM's state after the latest order that it is known to have accepted. Reports lag behind: without the wait,
// a group that was just closed would look open, and the next order would expect an outdated order count.
func (c *serverClient) report(ctx context.Context, server *backend.Server) (backend.Report, error) {
	latest := c.latest(server)
	for {
		report, err := c.reportOnce(ctx, server)
		current := time.Since(latest.at) > latest.visibleAfter && (report.Orders >= latest.minCount || time.Since(latest.at) > maxReportWait)
		if err != nil || current {
			return report, err
		}
		if !wait.Pause(ctx, reportPollInterval) {
			return report, eris.Wrap(errNoAnswer, "no time left for a report")
		}
	}
}

func (c *serverClient) latest(server *backend.Server) latestOrder {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latestOrders[upstream.EndpointOf(server)]
}

// noteOrder records that an order was accepted. counted reports whether it has incremented the order count.
func (c *serverClient) noteOrder(server *backend.Server, order backend.Order, counted bool) {
	count := order.ExpectedOrders
	if counted {
		count++
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latestOrders[upstream.EndpointOf(server)] = latestOrder{at: time.Now(), visibleAfter: reportLag + order.EffectDelay, minCount: count}
}

// prune removes the VMs that accepted no order within maxReportWait, and the pauses that are over.
func (c *serverClient) prune() {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.pausedUntil, func(_ upstream.Endpoint, until time.Time) bool { return time.Now().After(until) })
	for endpoint, latest := range c.latestOrders {
		if time.Since(latest.at) > maxReportWait {
			delete(c.latestOrders, endpoint)
		}
	}
}

// reportOnce returns a VM's state as of a few hundred milliseconds ago. The attempts overlap, because a group makes no
// progress while a VM that is gone is mistaken for a slow one.
func (c *serverClient) reportOnce(ctx context.Context, server *backend.Server) (backend.Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type outcome struct {
		report backend.Report
		err    error
	}
	outcomes := make(chan outcome, reportAttempts)
	for attempt := range reportAttempts {
		go func() {
			if !wait.Pause(ctx, time.Duration(attempt)*reportAttemptDelay) {
				// An earlier attempt was answered, or no time is left. Sending this one anyway would close a pooled
				// connection.
				outcomes <- outcome{err: eris.Wrap(errNoAnswer, "not asked again")}
				return
			}
			report, err := c.fetchReport(ctx, server)
			outcomes <- outcome{report, err}
		}()
	}
	var last outcome
	for range reportAttempts {
		last = <-outcomes
		if last.err == nil || eris.Is(last.err, errOtherServer) || eris.Is(last.err, errRejected) {
			break
		}
	}
	return last.report, last.err
}

func (c *serverClient) fetchReport(ctx context.Context, server *backend.Server) (backend.Report, error) {
	status, body, err := c.call(ctx, server, http.MethodGet, platform.PathReport, nil)
	switch {
	case eris.Is(err, errRejected):
		return backend.Report{}, err
	case err != nil:
		return backend.Report{}, eris.Wrap(errNoAnswer, err.Error())
	case rejects(status):
		return backend.Report{}, eris.Wrapf(errRejected, "status %d", status)
	case status != http.StatusOK:
		return backend.Report{}, eris.Wrapf(errOtherServer, "status %d", status)
	}
	return platform.DecodeReport(body)
}

// rejects reports whether a status says nothing but that the request was not served. The server that it was sent to gives other servers' requests
// a status of their own.
func rejects(status int) bool {
	return status >= http.StatusInternalServerError || status == http.StatusTooManyRequests
}

// order sends an order once. A nil error means that the order is being executed or that its effect is already in place.
func (c *serverClient) order(ctx context.Context, server *backend.Server, order backend.Order) error {
	body, err := platform.EncodeOrder(order)
	if err != nil {
		return err
	}
	status, _, err := c.call(ctx, server, http.MethodPost, platform.PathOrder, body)
	switch {
	case eris.Is(err, errRejected):
		return err
	case err != nil:
		return eris.Wrap(errNoAnswer, err.Error())
	case status == http.StatusAccepted:
		c.noteOrder(server, order, true)
		return nil
	case status == http.StatusOK:
		// The effect is in place. The response does not tell whether the order was just executed and counted, or had no
		// effect.
		c.noteOrder(server, order, false)
		return nil
	case status == http.StatusMisdirectedRequest:
		return eris.Wrapf(errOtherServer, "status %d", status)
	case status == http.StatusConflict || status == http.StatusPreconditionFailed:
		return eris.Wrapf(errRefused, "status %d", status)
	case status == http.StatusBadRequest || status == http.StatusNotFound:
		return eris.Wrapf(errRefused, "status %d", status)
	}
	return eris.Wrapf(errRejected, "status %d", status)
}

// call sends an order or a report request, unless the server has asked for a pause.
func (c *serverClient) call(ctx context.Context, server *backend.Server, method, path string, body []byte) (int, []byte, error) {
	if left := c.pause(server); left > 0 {
		return 0, nil, eris.Wrapf(errRejected, "%s has asked for a pause of another %v", server.ID, left.Round(time.Millisecond))
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	header := platform.ForwardHeader(http.Header{}, platform.Forward{Server: server.ID, Remaining: callTimeout})
	if body != nil {
		header.Set("Content-Type", "application/json")
	}
	response, err := c.pool.Send(ctx, upstream.EndpointOf(server), &upstream.Request{
		Method: method, Target: path, Host: server.Address, Header: header, Body: body,
	})
	if eris.Is(err, upstream.ErrNotPermitted) {
		return 0, nil, eris.Wrap(errRejected, err.Error()) // it says nothing about the VM, which may serve its group
	}
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	c.notePause(server, platform.DecodeResponse(response.Status, response.Header).Pause)
	content, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	return response.Status, content, err
}

// pause returns what is left of the pause that a server has asked for; at most 0 if it has none.
func (c *serverClient) pause(server *backend.Server) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Until(c.pausedUntil[upstream.EndpointOf(server)])
}

// notePause records a pause that an answer asks for. Pauses don't replace each other: the longest counts.
func (c *serverClient) notePause(server *backend.Server, length time.Duration) {
	if length <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	endpoint := upstream.EndpointOf(server)
	if until := time.Now().Add(length); until.After(c.pausedUntil[endpoint]) {
		c.pausedUntil[endpoint] = until
	}
}

// sendUntilEffective sends an order until its effect is known. effective reports whether a report shows the effect. All copies
// expect the same order count, so at most one of them is executed, no matter how late.
func (c *serverClient) sendUntilEffective(ctx context.Context, server *backend.Server, order backend.Order, effective func(backend.Report) bool) error {
	for {
		err := c.order(ctx, server, order)
		if err == nil || eris.Is(err, errOtherServer) {
			return err
		}
		report, reportErr := c.report(ctx, server)
		switch {
		case reportErr != nil:
			return reportErr
		case effective(report):
			return nil
		case report.Orders != order.ExpectedOrders:
			return eris.Wrapf(errRefused, "the VM has had %d orders, not %d", report.Orders, order.ExpectedOrders)
		case eris.Is(err, errRefused):
			return err
		}
		if !wait.Pause(ctx, orderRetryInterval) {
			return ctx.Err()
		}
	}
}

// orderRetryInterval is the pause before an unanswered order is sent again.
const orderRetryInterval = 200 * time.Millisecond
