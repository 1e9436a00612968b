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

// Handler returns the HTTP handler of the object API and of the control endpoints.
func (p *Platform) Handler() http.Handler {
	objects := new(restful.WebService).Path("/v1").Produces(restful.MIME_JSON)
	objects.Route(objects.GET("/objects/{kind}").To(p.withFaults(VerbList, p.list)))
	objects.Route(objects.GET("/objects/{kind}/{name}").To(p.withFaults(VerbGet, p.get)))
	objects.Route(objects.PUT("/objects/{kind}/{name}").To(p.withFaults(VerbPut, p.put)))
	objects.Route(objects.DELETE("/objects/{kind}/{name}").To(p.withFaults(VerbDelete, p.delete)))
	objects.Route(objects.GET("/watch/{kind}").To(p.withFaults(VerbWatch, p.watch)))

	container := restful.NewContainer()
	container.Add(objects)
	container.Add(p.controlService())
	return http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		// Route on the escaped path, since a name may contain any character, including "/". Use Dispatch because
		// ServeHTTP cleans paths.
		request.URL.Path = request.URL.EscapedPath()
		request.URL.RawPath = ""
		container.Dispatch(response, request)
	})
}

// objectHandler handles a call on an object or a kind and returns a value to encode as JSON, or an error.
type objectHandler func(*http.Request, platform.Kind, string) (any, error)

// withFaults wraps a handler: it counts the call, waits at holds and applies the faults that concern every call.
func (p *Platform) withFaults(verb Verb, handle objectHandler) restful.RouteFunction {
	return func(request *restful.Request, response *restful.Response) {
		kind := platform.Kind(unescapeSegment(request.PathParameter("kind")))
		name := unescapeSegment(request.PathParameter("name"))
		call := Call{Kind: kind, Verb: verb}
		p.calls.count(call)
		bufferBody(request.Request)
		if _, drop := p.holds.wait(HeldCall{Call: call, Name: name}); drop {
			dropConnection()
		}
		faults := p.faults.forCall()
		sleep(request.Request, faults.delay)
		switch {
		case faults.outage == OutageDrop:
			dropConnection()
		case faults.outage == OutageHang:
			<-request.Request.Context().Done()
			dropConnection()
		case faults.outage == OutageRefuse:
			http.Error(response, "outage", http.StatusServiceUnavailable)
		case faults.throttled:
			http.Error(response, "too many calls", http.StatusTooManyRequests)
		default:
			reply, err := handle(request.Request, kind, name)
			writeResponse(response, reply, err)
		}
	}
}

// bufferBody reads the request body, up to one byte more than the maximum size of a value, into
// memory. net/http detects that a caller has disconnected only after the body was read, and a handler that holds a
// request must detect it.
func bufferBody(request *http.Request) {
	body, err := io.ReadAll(io.LimitReader(request.Body, platform.MaxValueBytes+1))
	if err != nil {
		dropConnection()
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
}

func unescapeSegment(segment string) string {
	text, err := url.PathUnescape(segment)
	if err != nil {
		return segment
	}
	return text
}

// dropConnection closes the connection without an answer.
func dropConnection() { panic(http.ErrAbortHandler) }

// sleep waits for d or until the request's context ends.
func sleep(request *http.Request, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-request.Context().Done():
	}
}

// Errors in addition to those of link/platform.
var (
	errBadVersion = eris.New("query: want version or after, an unsigned number")
	errBadValue   = eris.New("value is not JSON")
	errReadOnly   = eris.New("kind is read only")
)

func writeResponse(response http.ResponseWriter, reply any, err error) {
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
	if lag := p.listLag(kind); lag > 0 {
		return findObject(p.table.atTime(kind, time.Now().Add(-lag)), name)
	}
	if staleRevision := p.faults.takeStaleRevision(kind, name); staleRevision > 0 {
		return findObject(p.table.atRevision(kind, staleRevision), name)
	}
	return p.table.get(kind, name)
}

func findObject(changes platform.Changes, name string) (any, error) {
	for _, object := range changes.Objects {
		if object.Name == name {
			return object, nil
		}
	}
	return nil, platform.ErrNotFound
}

func (p *Platform) list(_ *http.Request, kind platform.Kind, _ string) (any, error) {
	if lag := p.listLag(kind); lag > 0 {
		return p.table.atTime(kind, time.Now().Add(-lag)), nil
	}
	if staleRevision := p.faults.takeStaleRevision(kind, ""); staleRevision > 0 {
		return p.table.atRevision(kind, staleRevision), nil
	}
	return p.table.list(kind), nil
}

// listLag returns how far reads of a kind lag behind the current state; only the VM list can lag.
func (p *Platform) listLag(kind platform.Kind) time.Duration {
	if kind != platform.KindVMs {
		return 0
	}
	return p.faults.vmsLag()
}

func (p *Platform) put(request *http.Request, kind platform.Kind, name string) (any, error) {
	version, err := versionParameter(request, "version")
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
	return p.applyWrite(request, call, func() (platform.Version, error) {
		return p.table.put(kind, name, version, value)
	})
}

func (p *Platform) delete(request *http.Request, kind platform.Kind, name string) (any, error) {
	version, err := versionParameter(request, "version")
	if err != nil {
		return nil, err
	}
	call := HeldCall{Call: Call{Kind: kind, Verb: VerbDelete}, Name: name, After: true}
	return p.applyWrite(request, call, func() (platform.Version, error) {
		return p.table.delete(kind, name, version)
	})
}

// applyWrite executes a write, delayed if LateEffects matches it, and returns its result unless the answer is to
// be lost.
func (p *Platform) applyWrite(request *http.Request, call HeldCall, apply func() (platform.Version, error)) (any, error) {
	if call.Kind == platform.KindVMs {
		return nil, errReadOnly
	}
	loseAnswer := p.faults.takeLostAnswer(call.Kind, call.Name)
	if delay := p.faults.takeWriteDelay(call.Kind, call.Name); delay > 0 {
		done := make(chan struct{})
		delayedApply := apply
		time.AfterFunc(delay, func() { defer close(done); _, _ = delayedApply() })
		select {
		case <-done:
		case <-request.Context().Done():
		}
		dropConnection()
	}
	version, err := apply()
	held, drop := p.holds.wait(call)
	// After the write took effect, an outage can only lose the answer: a refusal would deny the effect.
	if loseAnswer || drop || held && p.faults.currentOutage() != OutageNone {
		dropConnection()
	}
	return platform.WriteResult{Version: version}, err
}

// versionParameter parses a query parameter as a version.
func versionParameter(request *http.Request, key string) (platform.Version, error) {
	n, err := strconv.ParseUint(request.URL.Query().Get(key), 10, 64)
	if err != nil {
		return 0, errBadVersion
	}
	return platform.Version(n), nil
}
