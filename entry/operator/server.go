package operator

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"

	"github.com/emicklei/go-restful/v3"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/admin"
	"github.com/skylarkpond/skylarkpond/contract/settings"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/timeline"
)

// Server implements the operators' API of one entry. It is stateless.
type Server struct {
	deps Deps
}

// New returns a Server.
func New(deps Deps) *Server { return &Server{deps: deps} }

// Handler returns the HTTP handler of the API, which is rooted at admin.Prefix.
func (s *Server) Handler() http.Handler {
	service := new(restful.WebService)
	service.Path(admin.Prefix).Produces(restful.MIME_JSON)
	service.Filter(s.authorize)
	get := func(path string, f restful.RouteFunction) {
		service.Route(service.GET(path[len(admin.Prefix):]).To(f))
	}
	get(admin.SettingsPath, s.getSettings)
	get(admin.ExplainPath, s.getExplanation)
	get(admin.HistoryPath, s.getHistory)
	get(admin.StatusPath, s.getStatus)
	get(admin.TimelinePath, s.getTimeline)
	get(admin.QuarantinePath, s.getQuarantine)
	get(admin.MetricsPath, s.getMetrics)
	service.Route(service.POST(admin.ApplyPath[len(admin.Prefix):]).Consumes(restful.MIME_JSON).To(s.postChange))
	service.Route(service.DELETE(admin.QuarantinePath[len(admin.Prefix):] + "/{service}/{fingerprint}").To(s.liftQuarantine))
	container := restful.NewContainer()
	container.Add(service)
	return container
}

func (s *Server) getMetrics(_ *restful.Request, resp *restful.Response) {
	resp.AddHeader(restful.HEADER_ContentType, restful.MIME_JSON)
	metrics.WriteJSONOnce(s.deps.Metrics, resp)
}

func (s *Server) postChange(req *restful.Request, resp *restful.Response) {
	body, err := io.ReadAll(http.MaxBytesReader(resp.ResponseWriter, req.Request.Body, admin.MaxChangeBytes))
	if err != nil {
		writeProblem(resp, contract.NewRejection(http.StatusRequestEntityTooLarge, contract.CodeBodyTooLarge,
			"the change can't be read whole: "+err.Error(), "send at most a megabyte"))
		return
	}
	change, err := settings.ParseChange(body)
	if err != nil {
		var faults settings.Faults
		errors.As(err, &faults)
		writeJSON(resp, http.StatusUnprocessableEntity, admin.Applied{Result: settings.Result{Status: settings.Refused, Faults: faults}})
		return
	}
	answer, err := s.apply(req.Request.Context(), change, tokenHash(req.Request))
	s.logApply(change, answer, err)
	if err != nil {
		writeProblem(resp, problemOf(err))
		return
	}
	writeJSON(resp, httpStatus(answer.Status), answer)
}

func (s *Server) logApply(change *settings.Change, answer admin.Applied, err error) {
	log := s.deps.Log.WithFields(logrus.Fields{
		"change": change.ID, "author": change.Author, "nodes": len(change.Nodes),
		"status": answer.Status, "version": answer.Version,
	})
	if err != nil {
		log.WithError(err).Warn("settings: apply failed")
		return
	}
	log.Info("settings: apply")
}

func httpStatus(status settings.Status) int {
	switch status {
	case settings.Conflicted:
		return http.StatusConflict
	case settings.Refused:
		return http.StatusUnprocessableEntity
	}
	return http.StatusOK
}

// currentTree reads the tree from the platform and falls back to this entry's local copy, so that operators can
// read the settings during a platform outage.
func (s *Server) currentTree(req *restful.Request) (admin.Settings, error) {
	tree, version, err := s.readTree(req.Request.Context())
	if err == nil {
		return admin.Settings{Version: uint64(version), Tree: tree}, nil
	}
	object, ok := s.deps.Mirror.Get(platform.KindSettings, platform.SettingsName)
	if !ok {
		return admin.Settings{}, err
	}
	tree, parseErr := settings.ParseTree(object.Value)
	if parseErr != nil {
		return admin.Settings{}, err
	}
	return admin.Settings{Version: uint64(object.Version), Tree: tree, FromLocalCopy: true}, nil
}

func (s *Server) getSettings(req *restful.Request, resp *restful.Response) {
	current, err := s.currentTree(req)
	respond(resp, current, err)
}

func (s *Server) getHistory(req *restful.Request, resp *restful.Response) {
	current, err := s.currentTree(req)
	if err != nil {
		writeProblem(resp, problemOf(err))
		return
	}
	changes := slices.Clone(current.Tree.Changes)
	slices.Reverse(changes)
	writeJSON(resp, http.StatusOK, admin.History{Version: current.Version, Revision: current.Tree.Revision, Changes: changes})
}

func (s *Server) getExplanation(req *restful.Request, resp *restful.Response) {
	current, err := s.currentTree(req)
	if err != nil {
		writeProblem(resp, problemOf(err))
		return
	}
	path := settings.Path(req.QueryParameter("path"))
	values, ok := current.Tree.Explain(path)
	if !ok {
		writeProblem(resp, contract.NewRejection(http.StatusNotFound, contract.CodeUnknownPath,
			"the settings have no node "+strconv.Quote(string(path)), "ask for one of the nodes that GET "+admin.SettingsPath+" lists"))
		return
	}
	writeJSON(resp, http.StatusOK, admin.Explanation{
		Path: path, Version: current.Version, Revision: current.Tree.Nodes[path].Revision, Values: values,
	})
}

func (s *Server) getStatus(req *restful.Request, resp *restful.Response) {
	status, err := s.deps.Status.Status(req.Request.Context())
	if err == nil {
		status.Services = serviceProgress(s.deps.Snapshots.Snapshot(), status.Groups, status.BlockedActions)
	}
	respond(resp, status, err)
}

func (s *Server) getTimeline(req *restful.Request, resp *restful.Response) {
	query, problem := parseTimelineQuery(req)
	if problem != nil {
		writeProblem(resp, problem)
		return
	}
	events, err := s.deps.Timeline.Timeline(req.Request.Context(), query)
	respond(resp, events, err)
}

func parseTimelineQuery(req *restful.Request) (admin.TimelineQuery, *contract.Problem) {
	query := admin.TimelineQuery{Limit: admin.DefaultTimelineLimit, Filter: timeline.Filter{
		Kind: timeline.Kind(req.QueryParameter("kind")), Request: req.QueryParameter("request"),
		Group: req.QueryParameter("group"), VM: req.QueryParameter("vm"), Entry: req.QueryParameter("entry"),
	}}
	for name, bound := range map[string]*int64{"since": &query.Since, "until": &query.Until} {
		text := req.QueryParameter(name)
		if text == "" {
			continue
		}
		at, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return query, badParameter(name, "Unix nanoseconds")
		}
		*bound = at
	}
	if text := req.QueryParameter("limit"); text != "" {
		limit, err := strconv.Atoi(text)
		if err != nil || limit < 1 || limit > admin.MaxTimelineLimit {
			return query, badParameter("limit", "a whole number from 1 to "+strconv.Itoa(admin.MaxTimelineLimit))
		}
		query.Limit = limit
	}
	return query, nil
}

func badParameter(name, want string) *contract.Problem {
	return contract.NewRejection(http.StatusBadRequest, contract.CodeBadRequest, "bad parameter "+name, "send "+want)
}

func (s *Server) getQuarantine(req *restful.Request, resp *restful.Response) {
	requests, err := s.deps.Quarantine.Quarantined(req.Request.Context())
	respond(resp, admin.Quarantine{Requests: requests}, err)
}

func (s *Server) liftQuarantine(req *restful.Request, resp *restful.Response) {
	service, fingerprint := req.PathParameter("service"), req.PathParameter("fingerprint")
	err := s.deps.Quarantine.Lift(req.Request.Context(), service, fingerprint)
	s.deps.Log.WithFields(logrus.Fields{"service": service, "fingerprint": fingerprint, "error": err}).Info("quarantine: lift")
	if err != nil {
		writeProblem(resp, problemOf(err))
		return
	}
	resp.WriteHeader(http.StatusNoContent)
}

func respond(resp *restful.Response, value any, err error) {
	if err != nil {
		writeProblem(resp, problemOf(err))
		return
	}
	writeJSON(resp, http.StatusOK, value)
}

// writeJSON sends JSON regardless of the Accept header, which curl and scripts often omit.
func writeJSON(resp *restful.Response, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		status = http.StatusInternalServerError
		data = []byte(`{"code":"internal","outcome":"unknown","message":"the answer can't be encoded"}`)
	}
	resp.Header().Set("Content-Type", restful.MIME_JSON)
	resp.WriteHeader(status)
	_, _ = resp.ResponseWriter.Write(data)
}
