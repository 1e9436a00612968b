// Package route holds what operators say about callers' requests: which service a request goes to, what may be
// repeated, how long it may take, and whose key it needs.
//
// A Table is one version of all of that. It is never changed after NewTable, so that a request which took one
// at its start sees a single version to its end.
package route

import (
	"strings"
	"time"
)

// Kind says what may be repeated on a route.
type Kind string

// The kinds.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests may run at most once for each attempt of a caller.
	NonIdempotent Kind = "non-idempotent"
	// Streaming requests are answered by events. They may run again only where the route is Resumable.
	Streaming Kind = "streaming"
)

// Target is one service of a route and its part of the requests.
type Target struct {
	Service string
	Weight  float64
}

// Route is where requests of one host and path prefix go.
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
	// EventGapTarget is the objective for the pause between two events of a stream.
	EventGapTarget time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// MaxAttempts is how many backend servers one request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Sticky routes carry prompts whose parts are shared by requests.
	Sticky bool
	// Resumable streams may go on at another backend server, after the last event that was received.
	Resumable bool
	Targets   []Target
}

// Repeatable says whether a request on the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Team is a holder of keys.
type Team struct {
	Name string
	Keys []string
	// Priority goes before that of a route; nil where the team has none.
	Priority *int
}

// Service is a set of backend servers that answer the same requests.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is how many connections one backend server takes from all entries together.
	MaxConns int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Table is one version of everything that operators say.
type Table struct {
	Version  uint64
	Limits   Limits
	Services map[string]Service
	// routes holds the routes by host and prefix.
	routes map[string]map[string]*Route
	teams  map[string]*Team
	// keyed says that there are teams at all, so that requests need a key.
	keyed bool
}

// NewTable returns the table of one version.
func NewTable(version uint64, routes []Route, services []Service, teams []Team, limits Limits) *Table {
	t := &Table{
		Version: version, Limits: limits, keyed: len(teams) > 0,
		Services: make(map[string]Service, len(services)),
		routes:   make(map[string]map[string]*Route),
		teams:    make(map[string]*Team),
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
			t.teams[key] = &teams[i]
		}
	}
	return t
}

// Match returns the route of a request: of those of the host, the one with the longest prefix of path. The cost
// grows with the path's segments, not with the number of routes.
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

// RequiresKey says whether a request on the route needs a key.
func (t *Table) RequiresKey(route *Route) bool { return t.keyed && !route.Public }

// TeamByKey returns the team that holds a key.
func (t *Table) TeamByKey(key string) (*Team, bool) {
	team, ok := t.teams[key]
	return team, ok
}
