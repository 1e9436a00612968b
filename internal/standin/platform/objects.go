package platform

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/emicklei/go-restful/v3"
	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/link/platform"
)

// Handler returns the API.
func (p *Platform) Handler() http.Handler {
	objects := new(restful.WebService).Path("/v1").Produces(restful.MIME_JSON)
	objects.Route(objects.GET("/objects/{kind}").To(p.counted(VerbList, p.list)))
	objects.Route(objects.GET("/objects/{kind}/{name}").To(p.counted(VerbGet, p.get)))
	objects.Route(objects.PUT("/objects/{kind}/{name}").To(p.counted(VerbPut, p.put)))
	objects.Route(objects.DELETE("/objects/{kind}/{name}").To(p.counted(VerbDelete, p.delete)))
	objects.Route(objects.GET("/watch/{kind}").To(p.counted(VerbWatch, p.watch)))

	container := restful.NewContainer()
	container.Add(objects)
	container.Add(p.controls())
	return http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		// Routes see the path as it was sent, since a name may hold any characters, "/" included. Dispatch, not
		// ServeHTTP, for the latter cleans paths.
		request.URL.Path = request.URL.EscapedPath()
		request.URL.RawPath = ""
		container.Dispatch(response, request)
	})
}

// answer is a handler's result: an error, or what is written as JSON.
type answer func(*http.Request, platform.Kind, string) (any, error)

// counted wraps a handler with what befalls every call.
func (p *Platform) counted(verb Verb, answer answer) restful.RouteFunction {
	return func(request *restful.Request, response *restful.Response) {
		kind := platform.Kind(unescape(request.PathParameter("kind")))
		name := unescape(request.PathParameter("name"))
		call := Call{Kind: kind, Verb: verb}
		p.calls.count(call)
		takeBody(request.Request)
		if _, drop := p.holds.wait(HeldCall{Call: call, Name: name}); drop {
			dropConnection()
		}
		arrival := p.faults.arrive()
		pause(request.Request, arrival.delay)
		switch {
		case arrival.outage == OutageDrop:
			dropConnection()
		case arrival.outage == OutageHang:
			<-request.Request.Context().Done()
			dropConnection()
		case arrival.outage == OutageRefuse:
			http.Error(response, "outage", http.StatusServiceUnavailable)
		case arrival.throttled:
			http.Error(response, "too many calls", http.StatusTooManyRequests)
		default:
			reply, err := answer(request.Request, kind, name)
			write(response, reply, err)
		}
	}
}

// takeBody reads the body ahead. net/http notices that a caller is gone only once its body was read, and a
// handler that holds a request must notice.
func takeBody(request *http.Request) {
	body, err := io.ReadAll(io.LimitReader(request.Body, platform.MaxValueBytes+1))
	if err != nil {
		dropConnection()
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
}

func unescape(segment string) string {
	text, err := url.PathUnescape(segment)
	if err != nil {
		return segment
	}
	return text
}

// dropConnection closes the connection without an answer.
func dropConnection() { panic(http.ErrAbortHandler) }

func pause(request *http.Request, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-request.Context().Done():
	}
}

// Errors beside those of link/platform.
var (
	errBadVersion = eris.New("query: want version or after, an unsigned number")
	errBadValue   = eris.New("value is not JSON")
	errReadOnly   = eris.New("kind is read only")
)

func write(response http.ResponseWriter, reply any, err error) {
	if err != nil {
		http.Error(response, err.Error(), statusOf(err))
		return
	}
	response.Header().Set("Content-Type", restful.MIME_JSON)
	_ = json.NewEncoder(response).Encode(reply)
}

func statusOf(err error) int {
	switch {
	case eris.Is(err, platform.ErrNotFound):
		return http.StatusNotFound
	case eris.Is(err, platform.ErrConflict):
		return http.StatusPreconditionFailed
	case eris.Is(err, platform.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case eris.Is(err, errReadOnly):
		return http.StatusForbidden
	}
	return http.StatusBadRequest
}

func (p *Platform) get(_ *http.Request, kind platform.Kind, name string) (any, error) {
	if lag := p.lagOf(kind); lag > 0 {
		return find(p.table.asOf(kind, time.Now().Add(-lag)), name)
	}
	if stale := p.faults.staleness(kind, name); stale > 0 {
		return find(p.table.at(kind, stale), name)
	}
	return p.table.get(kind, name)
}

func find(changes platform.Changes, name string) (any, error) {
	for _, object := range changes.Objects {
		if object.Name == name {
			return object, nil
		}
	}
	return nil, platform.ErrNotFound
}

func (p *Platform) list(_ *http.Request, kind platform.Kind, _ string) (any, error) {
	if lag := p.lagOf(kind); lag > 0 {
		return p.table.asOf(kind, time.Now().Add(-lag)), nil
	}
	if stale := p.faults.staleness(kind, ""); stale > 0 {
		return p.table.at(kind, stale), nil
	}
	return p.table.list(kind), nil
}

func (p *Platform) lagOf(kind platform.Kind) time.Duration {
	if kind != platform.KindVMs {
		return 0
	}
	return p.faults.vmsLag()
}

func (p *Platform) put(request *http.Request, kind platform.Kind, name string) (any, error) {
	version, err := number(request, "version")
	if err != nil {
		return nil, err
	}
	value, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, err
	}
	if len(value) > platform.MaxValueBytes {
		return nil, platform.ErrTooLarge
	}
	if !json.Valid(value) {
		return nil, errBadValue
	}
	call := HeldCall{Call: Call{Kind: kind, Verb: VerbPut}, Name: name, After: true}
	return p.effect(request, call, func() (platform.Version, error) {
		return p.table.put(kind, name, version, value)
	})
}

func (p *Platform) delete(request *http.Request, kind platform.Kind, name string) (any, error) {
	version, err := number(request, "version")
	if err != nil {
		return nil, err
	}
	call := HeldCall{Call: Call{Kind: kind, Verb: VerbDelete}, Name: name, After: true}
	return p.effect(request, call, func() (platform.Version, error) {
		return p.table.delete(kind, name, version)
	})
}

// effect lets a write take effect, now or late, and answers it unless the answer is to be lost.
func (p *Platform) effect(request *http.Request, call HeldCall, apply func() (platform.Version, error)) (any, error) {
	if call.Kind == platform.KindVMs {
		return nil, errReadOnly
	}
	loses := p.faults.losesAnswer(call.Kind, call.Name)
	if late := p.faults.lateness(call.Kind, call.Name); late > 0 {
		done := make(chan struct{})
		now := apply
		time.AfterFunc(late, func() { defer close(done); _, _ = now() })
		select {
		case <-done:
		case <-request.Context().Done():
		}
		dropConnection()
	}
	version, err := apply()
	held, drop := p.holds.wait(call)
	// Behind the effect an outage can only lose the answer: a refusal would deny the effect.
	if loses || drop || held && p.faults.outageNow() != OutageNone {
		dropConnection()
	}
	return platform.WriteResult{Version: version}, err
}

func number(request *http.Request, key string) (platform.Version, error) {
	n, err := strconv.ParseUint(request.URL.Query().Get(key), 10, 64)
	if err != nil {
		return 0, errBadVersion
	}
	return platform.Version(n), nil
}
