// Package route holds the operators' configuration for callers' requests: which service a request is sent to, whether
// it may be repeated, how long it may take, and which keys it needs.
//
// A Table is one version of this configuration. It never changes after NewTable, so a request that takes a Table at
// its start sees a single version until its end.
package route

import (
	"strings"
	"time"
)

// Kind says whether the requests of a route may be repeated.
type Kind string

// The kinds.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests may run at most once for each attempt of a caller.
	NonIdempotent Kind = "non-idempotent"
	// Streaming requests are answered by a stream of events. They may run again only if the route is Resumable.
	Streaming Kind = "streaming"
)

// Target is one service of a route and its share of the route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Route configures the requests of one host and path prefix.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// LatencyTarget is the objective for the time to the answer, or to the first event of a stream.
	LatencyTarget time.Duration
	// EventGapTarget is the objective for the time between two events of a stream.
	EventGapTarget time.Duration
	// Priority is the priority of the requests; 0 is the most urgent.
	Priority int
	// MaxAttempts is how many backend servers one request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Sticky routes carry requests whose prompts share parts with those of other requests.
	Sticky bool
	// Resumable streams may continue at another backend server, after the last event that was received.
	Resumable bool
	Targets   []Target
}

// Repeatable reports whether a request on the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Limits bounds what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Team is a set of API keys, and the priority of the requests that carry them.
type Team struct {
	Name string
	Keys []string
	// Priority takes precedence over the priority of a route; nil if the team has none.
	Priority *int
}

// Service is a set of backend servers that answer the same requests.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is how many connections one backend server accepts from all entries together.
	MaxConns int
	// ColdTime is how long a backend server is cold after it has started while there is traffic, and ColdPerSecond how many requests a second it
	// then takes from all entries together; 0 if that is not limited.
	ColdTime      time.Duration
	ColdPerSecond float64
	// Engine is nil for a plain service, which answers ordinary HTTP requests without a model engine.
	Engine *Engine
}

// Table is one version of the configuration.
type Table struct {
	Version  uint64
	Limits   Limits
	Services map[string]Service
	// routes holds the routes by host and path prefix.
	routes     map[string]map[string]*Route
	teamsByKey map[string]*Team
	// keysRequired is set if there are any teams, so that requests need a key.
	keysRequired bool
}

// NewTable returns the table of one version.
func NewTable(version uint64, routes []Route, services []Service, teams []Team, limits Limits) *Table {
	t := &Table{
		Version: version, Limits: limits, keysRequired: len(teams) > 0,
		Services:   make(map[string]Service, len(services)),
		routes:     make(map[string]map[string]*Route),
		teamsByKey: make(map[string]*Team),
	}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		if t.routes[host] == nil {
			t.routes[host] = make(map[string]*Route)
		}
		t.routes[host][routes[i].PathPrefix] = &routes[i]
	}
	for _, service := range services {
		t.Services[service.Name] = service
	}
	for i := range teams {
		for _, key := range teams[i].Keys {
			t.teamsByKey[key] = &teams[i]
		}
	}
	return t
}

// Match returns the route of a request: among the routes of its host, the one with the longest prefix of path. The
// cost grows with the number of path segments, not with the number of routes.
func (t *Table) Match(host, path string) (*Route, bool) {
	byPrefix := t.routes[strings.ToLower(host)]
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil, false
		}
		if route, ok := byPrefix[path[:slash+1]]; ok {
			return route, true
		}
		end = slash
	}
	return nil, false
}

// RequiresKey reports whether a request on the route needs a key.
func (t *Table) RequiresKey(route *Route) bool { return t.keysRequired && !route.Public }

// TeamByKey returns the team that holds the key.
func (t *Table) TeamByKey(key string) (*Team, bool) {
	team, ok := t.teamsByKey[key]
	return team, ok
}
