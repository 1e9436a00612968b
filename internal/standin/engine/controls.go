package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/emicklei/go-restful/v3"

	"github.com/skylarkpond/skylarkpond/domain"
	"github.com/skylarkpond/skylarkpond/vm"
)

// Handler returns the HTTP API with which tests control and inspect the VMs.
func (h *Host) Handler() http.Handler {
	service := new(restful.WebService).Path("/standin").Produces(restful.MIME_JSON)
	service.Route(service.GET("/vms").To(func(_ *restful.Request, response *restful.Response) {
		writeJSON(response, h.VMs())
	}))
	service.Route(service.GET("/runs").To(func(request *restful.Request, response *restful.Response) {
		skip, _ := strconv.Atoi(request.QueryParameter("skip")) // number of lines that the test has already read
		runs := h.Runs()
		writeLines(response, runs[min(skip, len(runs)):])
	}))
	service.Route(service.GET("/orders").To(func(_ *restful.Request, response *restful.Response) {
		writeLines(response, h.Orders())
	}))
	service.Route(service.GET("/arrivals").To(func(_ *restful.Request, response *restful.Response) {
		writeLines(response, h.Arrivals())
	}))
	service.Route(service.GET("/lives").To(func(_ *restful.Request, response *restful.Response) {
		writeLines(response, h.Lifecycle())
	}))
	service.Route(service.POST("/vms/{vm}/switches").To(switchHandler(func(name string, s Switches) error {
		return h.Switch(vm.Name(name), s)
	}, "vm")))
	service.Route(service.POST("/domains/{domain}/switches").To(switchHandler(func(name string, s Switches) error {
		h.SwitchDomain(domain.FabricDomain(name), s)
		return nil
	}, "domain")))
	container := restful.NewContainer()
	container.Add(service)
	return container
}

// switchHandler decodes Switches, rejecting unknown fields, and applies them to the VM or fabric domain that
// the path parameter names.
func switchHandler(apply func(string, Switches) error, parameter string) restful.RouteFunction {
	return func(request *restful.Request, response *restful.Response) {
		var s Switches
		decoder := json.NewDecoder(io.LimitReader(request.Request.Body, maxBodyBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&s); err != nil {
			http.Error(response, err.Error(), http.StatusBadRequest)
			return
		}
		if err := apply(request.PathParameter(parameter), s); err != nil {
			http.Error(response, err.Error(), http.StatusNotFound)
			return
		}
		writeJSON(response, struct{}{})
	}
}

func writeJSON(response http.ResponseWriter, v any) {
	response.Header().Set("Content-Type", restful.MIME_JSON)
	_ = json.NewEncoder(response).Encode(v)
}

func writeLines[T any](response http.ResponseWriter, lines []T) {
	encoder := json.NewEncoder(response)
	for _, line := range lines {
		_ = encoder.Encode(line)
	}
}
