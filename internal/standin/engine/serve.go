package engine

import (
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/emicklei/go-restful/v3"

	"github.com/skylarkpond/skylarkpond/link/engine"
	"github.com/skylarkpond/skylarkpond/vm"
)

// maxBodyBytes bounds the part of a request's body that is read.
const maxBodyBytes = 16 << 20

// handler returns the HTTP handler of one boot of the VM.
func (m *machine) handler(b *boot) http.Handler {
	container := restful.NewContainer()
	container.Add(m.controlService(b))
	container.Add(m.completionService(b))
	return http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		path := request.URL.Path
		if m.isCutFrom(request.RemoteAddr) {
			blockUntilCallerLeaves(request)
		}
		if !strings.HasPrefix(path, "/engine/") {
			m.noteArrival(b, request.Header)
		}
		if strings.HasPrefix(path, "/engine/") || m.spec.Service == "" {
			container.Dispatch(response, request)
			return
		}
		body, ok := m.admit(b, request)
		if !ok {
			abort()
		}
		m.callPlain(b, body, request, response)
	})
}

func (m *machine) controlService(b *boot) *restful.WebService {
	service := new(restful.WebService).Path("/engine/v1")
	service.Route(service.GET("/state").To(m.gated(b, func(_ []byte, _ *restful.Request, response http.ResponseWriter) {
		writeJSON(response, m.state(b))
	})))
	service.Route(service.POST("/orders").To(func(request *restful.Request, response *restful.Response) {
		arrived := time.Now()
		body, ok := m.admit(b, request.Request)
		if !ok {
			abort()
		}
		m.serveOrder(b, body, arrived, response)
	}))
	service.Route(service.POST("/cancel/{request}").To(m.gated(b, func(_ []byte, request *restful.Request, response http.ResponseWriter) {
		if !m.cancel(b, request.PathParameter("request")) {
			http.Error(response, "no such request", http.StatusNotFound)
			return
		}
		writeJSON(response, struct{}{})
	})))
	return service
}

func (m *machine) completionService(b *boot) *restful.WebService {
	service := new(restful.WebService).Path("/v1").Produces("text/event-stream", restful.MIME_JSON)
	service.Route(service.POST("/chat/completions").To(m.gated(b, func(body []byte, request *restful.Request, response http.ResponseWriter) {
		m.complete(b, body, request.Request, response)
	})))
	return service
}

// gated wraps a handler so that it runs only after the request was admitted.
func (m *machine) gated(b *boot, handle func([]byte, *restful.Request, http.ResponseWriter)) restful.RouteFunction {
	return func(request *restful.Request, response *restful.Response) {
		body, ok := m.admit(b, request.Request)
		if !ok {
			abort()
		}
		handle(body, request, response)
	}
}

// admit reads the request's body and holds the request while the VM is frozen. It returns false if the body
// can't be read or the boot has ended.
func (m *machine) admit(b *boot, request *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(io.LimitReader(request.Body, maxBodyBytes))
	return body, err == nil && m.awaitThaw(b)
}

func (m *machine) isCutFrom(remote string) bool {
	from, err := netip.ParseAddrPort(remote)
	return err == nil && slices.Contains(m.settings().cutFrom, from.Addr().Unmap())
}

// blockUntilCallerLeaves holds a request until its client disconnects. It reads the body first, because
// net/http detects a closed connection only after that.
func blockUntilCallerLeaves(request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	<-request.Context().Done()
	abort()
}

func (m *machine) noteArrival(b *boot, header http.Header) {
	a := parseHeader(header)
	m.host.arrivals.add(func(now time.Time) Arrival {
		return Arrival{Time: now, VM: m.spec.Name, BootID: b.id, RequestID: a.requestID, Group: a.group, Epoch: a.epoch}
	})
}

// abort closes the connection without completing the response.
func abort() { panic(http.ErrAbortHandler) }

// requestHeaders holds the parsed link headers of a request.
type requestHeaders struct {
	requestID  string
	service    string
	group      vm.GroupID
	epoch      uint64
	priority   int
	resumeFrom uint64
}

func parseHeader(header http.Header) requestHeaders {
	epoch, _ := strconv.ParseUint(header.Get(engine.HeaderEpoch), 10, 64)
	priority, _ := strconv.Atoi(header.Get(engine.HeaderPriority))
	resumeFrom, _ := strconv.ParseUint(header.Get(engine.HeaderResumeFrom), 10, 64)
	return requestHeaders{
		requestID:  header.Get(engine.HeaderRequest),
		service:    header.Get(engine.HeaderService),
		group:      vm.GroupID(header.Get(engine.HeaderGroup)),
		epoch:      epoch,
		priority:   priority,
		resumeFrom: resumeFrom,
	}
}

// checkRequest returns the order under which a request runs, and a refusal if it can't run here.
func (m *machine) checkRequest(b *boot, a requestHeaders) (engine.Order, *refusal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	order := b.order
	switch {
	case m.faults.checksEpoch && (a.group != order.Group || a.epoch != order.Epoch):
		return order, &refusal{http.StatusConflict, "another group or epoch"}
	case a.service != "" && order.Service != "" && a.service != order.Service:
		return order, &refusal{http.StatusConflict, "another service"}
	case !ready(b):
		return order, &refusal{http.StatusServiceUnavailable, "not loaded"}
	case order.Rank != 0:
		return order, &refusal{http.StatusServiceUnavailable, "not the head of its group"}
	case a.resumeFrom > 0 && !m.faults.canResume:
		return order, &refusal{http.StatusConflict, "can't resume"}
	}
	return order, nil
}

func (m *machine) newRun(b *boot, a requestHeaders, order engine.Order, body []byte) Run {
	return Run{
		VM:         m.spec.Name,
		BootID:     b.id,
		RequestID:  a.requestID,
		Group:      order.Group,
		Epoch:      order.Epoch,
		Service:    order.Service,
		ResumeFrom: a.resumeFrom,
		BodyHash:   hash(body),
	}
}

// containsCrashMarker returns whether the body contains the text that makes the VM crash.
func (m *machine) containsCrashMarker(body []byte) bool {
	marker := m.settings().crashMarker
	return marker != "" && strings.Contains(string(body), marker)
}
