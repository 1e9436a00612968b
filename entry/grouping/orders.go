package grouping

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/link/upstream"
	"github.com/skylarkpond/skylarkpond/platform"
)

// Errors of orders and reports.
var (
	// errDark: the VM does not answer. Whether an order arrived is not known.
	errDark = eris.New("VM does not answer")
	// errOther: another life or another server answers at the address.
	errOther = eris.New("another server answers at the address")
	// errRefused: the order does not fit the VM's state, or another order came before it.
	errRefused = eris.New("order refused")
)

const (
	// callTimeout bounds an order or a report. A VM answers within some milliseconds.
	callTimeout = 400 * time.Millisecond
	// callTries bounds reports to a VM that does not answer: one packet may be lost.
	callTries = 2
	// maxReport bounds a report, in bytes.
	maxReport = 64 << 10
)

// engines speaks with model servers.
type engines struct{ pool *upstream.Pool }

// report asks a VM for its state.
func (e engines) report(ctx context.Context, server *backend.Server) (backend.Report, error) {
	var report backend.Report
	var err error
	for range callTries {
		var status int
		var body []byte
		status, body, err = e.call(ctx, server, http.MethodGet, platform.PathReport, nil)
		if err == nil && status != http.StatusOK {
			return report, eris.Wrapf(errOther, "status %d", status)
		}
		if err == nil {
			report, err = platform.DecodeReport(body)
			return report, err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return report, eris.Wrap(errDark, err.Error())
}

// order sends one order once. A nil error means that it has begun or that its effect holds.
func (e engines) order(ctx context.Context, server *backend.Server, order backend.Order) error {
	body, err := platform.EncodeOrder(order)
	if err != nil {
		return err
	}
	status, _, err := e.call(ctx, server, http.MethodPost, platform.PathOrder, body)
	switch {
	case err != nil:
		return eris.Wrap(errDark, err.Error())
	case status == http.StatusOK || status == http.StatusAccepted:
		return nil
	case status == http.StatusMisdirectedRequest:
		return eris.Wrapf(errOther, "status %d", status)
	case status == http.StatusConflict || status == http.StatusPreconditionFailed:
		return eris.Wrapf(errRefused, "status %d", status)
	case status == http.StatusBadRequest || status == http.StatusNotFound:
		return eris.Wrapf(errRefused, "status %d", status)
	}
	return eris.Wrapf(errDark, "status %d", status)
}

func (e engines) call(ctx context.Context, server *backend.Server, method, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	header := platform.ForwardHeader(http.Header{}, platform.Forward{Server: server.ID, Left: callTimeout})
	if body != nil {
		header.Set("Content-Type", "application/json")
	}
	answer, err := e.pool.Send(ctx, upstream.EndpointOf(server), &upstream.Request{
		Method: method, Target: path, Host: server.Address, Header: header, Body: body,
	})
	if err != nil {
		return 0, nil, err
	}
	defer answer.Body.Close()
	read, err := io.ReadAll(io.LimitReader(answer.Body, maxReport))
	return answer.Status, read, err
}

// confirm sends an order until its effect is known. holds says whether a report shows the effect. Each copy expects
// the same count of orders, so that at most one of them is carried out, however late.
func (e engines) confirm(ctx context.Context, server *backend.Server, order backend.Order, holds func(backend.Report) bool) error {
	for {
		err := e.order(ctx, server, order)
		if err == nil || eris.Is(err, errOther) {
			return err
		}
		report, reportErr := e.report(ctx, server)
		switch {
		case reportErr != nil:
			return reportErr
		case holds(report):
			return nil
		case report.Orders != order.Expect:
			return eris.Wrapf(errRefused, "the VM has had %d orders, not %d", report.Orders, order.Expect)
		case eris.Is(err, errRefused):
			return err
		}
		if !pause(ctx, orderAgain) {
			return ctx.Err()
		}
	}
}

// orderAgain is the pause before an order without an answer is sent again.
const orderAgain = 200 * time.Millisecond

// pause returns false when ctx ended.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
