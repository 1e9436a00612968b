// Package settings implements the hierarchical configuration of services and teams. It parses and
// strictly validates typed declarations, merges operators' changes into the stored Tree, and resolves
// inheritance from the root downwards into the Snapshot that the rest of the system reads.
package settings

import (
	"time"

	"github.com/skylarkpond/skylarkpond/domain"
)

// ServiceKind distinguishes language model services from plain HTTP services.
type ServiceKind string

// The kinds of service.
const (
	LanguageService ServiceKind = "language"
	PlainService    ServiceKind = "plain"
)

// Service holds the resolved settings of one service.
type Service struct {
	Name  string       `json:"name"`
	Place domain.Place `json:"place"`
	Kind  ServiceKind  `json:"kind"`
	// Model is the model name that callers use; ModelVersion is what the engines load.
	Model        string `json:"model,omitempty"`
	ModelVersion string `json:"model_version,omitempty"`
	GroupSize    int    `json:"group_size"`
	Replicas     int    `json:"replicas"`
	Spares       int    `json:"spares"`
	// DowntimeWeight is the cost of a second of a missing replica, StrandedWeight that of an
	// accelerator-second outside any serving group.
	DowntimeWeight float64 `json:"downtime_weight"`
	StrandedWeight float64 `json:"stranded_weight"`
	// RequestTimeout applies when the caller sets no timeout; MaxRequestTimeout caps the one it may set.
	RequestTimeout    time.Duration `json:"request_timeout"`
	MaxRequestTimeout time.Duration `json:"max_request_timeout"`
	// QueueTimeout bounds a request's wait in the queue of a home, the entry that owns the group.
	QueueTimeout time.Duration `json:"queue_timeout"`
	// DrainTimeout bounds how long a draining group waits for its requests in progress.
	DrainTimeout time.Duration `json:"drain_timeout"`
	// FirstTokenObjective is the objective for the time to the first token, TokenGapObjective that for
	// the time between tokens. The concurrency limit adapts to both.
	FirstTokenObjective time.Duration `json:"first_token"`
	TokenGapObjective   time.Duration `json:"token_gap"`
	// MaxConcurrency caps the concurrent requests of one group.
	MaxConcurrency int `json:"max_concurrency"`
	// MaxBodyBytes caps the size of a request body.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// Unrepeatable lists path prefixes whose requests must be executed at most once, whatever their
	// method; Repeatable lists those that may be executed more than once. On other paths of a plain
	// service, only requests with a method that HTTP defines as idempotent may be repeated. Requests to a
	// language service may be repeated unless their path is listed in Unrepeatable.
	Unrepeatable []string `json:"unrepeatable,omitempty"`
	Repeatable   []string `json:"repeatable,omitempty"`
	// ChecksFence reports whether the engines reject orders that carry an outdated fencing token.
	ChecksFence bool `json:"checks_fence"`
	// CanResume reports whether the engines can resume a stream at an offset.
	CanResume bool `json:"can_resume"`
	// LoadsPerMinute limits how many members load weights per minute, to stay below the rate that the
	// weight store sustains.
	LoadsPerMinute int `json:"loads_per_minute"`
	// AttemptRetention is how long the record of an at-most-once request is kept.
	AttemptRetention time.Duration `json:"attempt_retention"`
}

// Team holds the resolved settings of one team of callers.
type Team struct {
	Name string `json:"name"`
	// KeyHashes holds the SHA-256 hashes, in hex, of the team's bearer keys.
	KeyHashes []string `json:"key_hashes"`
	// Share is the team's weight in the fair queue.
	Share float64 `json:"share"`
	// Priority is passed to the engines: 0 (lowest) to 9.
	Priority int `json:"priority"`
	// Services lists the services that the team may call; an empty list allows all.
	Services []string `json:"services,omitempty"`
}

// Snapshot holds all resolved settings at one version. It is immutable: a request uses the snapshot that
// it started with until it ends.
type Snapshot struct {
	// Version is the version of the tree object on the platform.
	Version  uint64             `json:"version"`
	Services map[string]Service `json:"services"`
	Teams    map[string]Team    `json:"teams"`
	// OperatorKeyHashes holds the SHA-256 hashes of the tokens that the admin address accepts.
	OperatorKeyHashes []string `json:"operator_key_hashes"`
	// AddressTTL is how long a caller may cache a response of the directory.
	AddressTTL time.Duration `json:"address_ttl"`

	teamByKey      map[string]string
	serviceByModel map[string]string
}

// BuildIndex builds the lookup tables behind TeamByKeyHash and ServiceByModel. The creator of a Snapshot
// must call it once, before sharing the snapshot.
func (s *Snapshot) BuildIndex() {
	s.teamByKey = make(map[string]string)
	for name, team := range s.Teams {
		for _, hash := range team.KeyHashes {
			s.teamByKey[hash] = name
		}
	}
	s.serviceByModel = make(map[string]string)
	for name, service := range s.Services {
		if service.Kind == LanguageService && service.Model != "" {
			s.serviceByModel[service.Model] = name
		}
	}
}

// TeamByKeyHash returns the team that owns the bearer key with the given hash.
func (s *Snapshot) TeamByKeyHash(hash string) (Team, bool) {
	name, ok := s.teamByKey[hash]
	if !ok {
		return Team{}, false
	}
	team, ok := s.Teams[name]
	return team, ok
}

// ServiceByModel returns the language service that serves the given model.
func (s *Snapshot) ServiceByModel(model string) (Service, bool) {
	name, ok := s.serviceByModel[model]
	if !ok {
		return Service{}, false
	}
	service, ok := s.Services[name]
	return service, ok
}
