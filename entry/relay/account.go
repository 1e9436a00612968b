package relay

import (
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/entry/callers"
)

// errMemoryShort means that there is no memory for more of a request's body.
var errMemoryShort = eris.New("memory is short")

// retryAfterMemoryShort is of the order of the time after which callers that do not read are cut.
const retryAfterMemoryShort = time.Second

// openAccount opens the request's account, and refuses the request if memory is short.
func (e *exchange) openAccount() bool {
	account, ok := e.relay.deps.Callers.Open(e.request.Context(), e.call.ID, e.route.Name, e.route.EventGapTarget)
	if !ok {
		return e.refuseForMemory()
	}
	e.account = account
	return true
}

// refuseForMemory refuses a request that has not run. The connection is closed, because it takes memory as well.
func (e *exchange) refuseForMemory() bool {
	e.writer.Header().Set("Connection", "close")
	detail := "the memory of this entry is short"
	if e.call.Forwarded != nil {
		return e.refuseElsewhere(detail)
	}
	return e.refuse(Refused, http.StatusServiceUnavailable, retryAfterMemoryShort, detail)
}

// chargedReader reads the body of a request that has not run, and takes memory for it.
type chargedReader struct {
	reader  io.Reader
	account *callers.Account
}

func (r *chargedReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if n > 0 && !r.account.Take(int64(n)) {
		return n, errMemoryShort
	}
	return n, err
}
