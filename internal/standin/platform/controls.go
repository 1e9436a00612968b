package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"reflect"
	"slices"
	"strconv"

	"github.com/emicklei/go-restful/v3"
	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/vm"
)

// maxControlBytes is the maximum size of a control request's body.
const maxControlBytes = 16 << 20

// controlService returns the /standin endpoints, with which tests control and inspect the stand-in.
func (p *Platform) controlService() *restful.WebService {
	service := new(restful.WebService).Path("/standin")
	service.Route(service.GET("/history").To(func(request *restful.Request, response *restful.Response) {
		encoder := json.NewEncoder(response)
		skip, _ := strconv.Atoi(request.QueryParameter("skip")) // number of changes that the test has already read
		history := p.History()
		for _, change := range history[min(skip, len(history)):] {
			_ = encoder.Encode(change)
		}
	}))
	service.Route(service.GET("/calls").To(func(_ *restful.Request, response *restful.Response) {
		writeResponse(response, p.Calls(), nil)
	}))
	service.Route(service.GET("/held").To(func(_ *restful.Request, response *restful.Response) {
		encoder := json.NewEncoder(response)
		for _, call := range p.HeldCalls() {
			_ = encoder.Encode(call)
		}
	}))
	service.Route(service.POST("/switches").To(controlHandler(p.Switch)))
	service.Route(service.POST("/vms").To(controlHandler(p.SetVMs)))
	return service
}

// controlHandler decodes a JSON body, rejecting unknown fields, and passes it to apply.
func controlHandler[T any](apply func(T) error) restful.RouteFunction {
	return func(request *restful.Request, response *restful.Response) {
		var body T
		decoder := json.NewDecoder(io.LimitReader(request.Request.Body, maxControlBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&body); err != nil {
			http.Error(response, err.Error(), http.StatusBadRequest)
			return
		}
		writeResponse(response, struct{}{}, apply(body))
	}
}

var errUnknownOutage = eris.New("outage: want none, refuse, drop or hang")

// Switch changes the simulated faults.
func (p *Platform) Switch(s Switches) error {
	known := []Outage{OutageNone, OutageRefuse, OutageDrop, OutageHang}
	if s.Outage != nil && !slices.Contains(known, *s.Outage) {
		return errUnknownOutage
	}
	p.faults.update(s)
	if s.Hold != nil {
		p.holds.add(*s.Hold)
	}
	if s.Release != nil {
		p.holds.release(*s.Release)
	}
	if s.Compact {
		p.table.compact()
	}
	return nil
}

// History returns the retained changes, oldest first.
func (p *Platform) History() []Change { return p.table.retainedHistory() }

// Calls returns the number of calls received so far, by kind and verb.
func (p *Platform) Calls() []CallCount { return p.calls.list() }

// HeldCalls returns the calls that wait at a Hold.
func (p *Platform) HeldCalls() []HeldCall { return p.holds.list() }

// SetVMs replaces the VM list, which is stored as one object per fabric domain. A domain that no longer has
// VMs keeps an object with an empty list; a domain whose VMs did not change keeps its version.
func (p *Platform) SetVMs(vms []vm.VM) error {
	domains := make(map[string][]vm.VM)
	for _, object := range p.table.list(platform.KindVMs).Objects {
		domains[object.Name] = []vm.VM{}
	}
	for _, v := range vms {
		name := string(v.Position.FabricDomain)
		domains[name] = append(domains[name], v)
	}
	for name, list := range domains {
		if err := p.setFabricDomain(name, vm.List{VMs: list}); err != nil {
			return err
		}
	}
	return nil
}

// setFabricDomain writes the VM list of one fabric domain if it differs from the stored one.
func (p *Platform) setFabricDomain(name string, list vm.List) error {
	current, err := p.table.get(platform.KindVMs, name)
	var before vm.List
	if err == nil && json.Unmarshal(current.Value, &before) == nil && reflect.DeepEqual(before, list) {
		return nil
	}
	value, err := json.Marshal(list)
	if err != nil {
		return eris.Wrap(err, "VM list")
	}
	_, err = p.table.put(platform.KindVMs, name, current.Version, value)
	return err
}
