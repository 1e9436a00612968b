// Package settings is the tree of settings: typed declarations, their strict checking, inheritance from
// the root downwards, and the Snapshot that the rest of the system reads.
package settings

import (
	"time"

	"github.com/skylarkpond/skylarkpond/domain"
)

// ServiceKind tells model services from plain ones.
type ServiceKind string

// The kinds of service.
const (
	LanguageService ServiceKind = "language"
	PlainService    ServiceKind = "plain"
)

// Service is one service with every value resolved.
type Service struct {
	Name  string       `json:"name"`
	Place domain.Place `json:"place"`
	Kind  ServiceKind  `json:"kind"`
	// Model is the name callers use; ModelVersion is what engines load.
	Model        string `json:"model,omitempty"`
	ModelVersion string `json:"model_version,omitempty"`
	GroupSize    int    `json:"group_size"`
	Replicas     int    `json:"replicas"`
	Spares       int    `json:"spares"`
	// DowntimeWeight and StrandedWeight weigh a second of a missing replica against an accelerator-second
	// outside any serving group.
	DowntimeWeight float64 `json:"downtime_weight"`
	StrandedWeight float64 `json:"stranded_weight"`
	// RequestTimeout is used when the caller names none; MaxRequestTimeout bounds what it may name.
	RequestTimeout    time.Duration `json:"request_timeout"`
	MaxRequestTimeout time.Duration `json:"max_request_timeout"`
	// QueueTimeout bounds the wait in a home's queue.
	QueueTimeout time.Duration `json:"queue_timeout"`
	// DrainTimeout bounds how long a draining group waits for requests in progress.
	DrainTimeout time.Duration `json:"drain_timeout"`
	// FirstTokenObjective and TokenGap are the objectives the concurrency limit adapts to.
	FirstTokenObjective time.Duration `json:"first_token"`
	TokenGapObjective   time.Duration `json:"token_gap"`
	// MaxConcurrency caps the requests at work on one group.
	MaxConcurrency int `json:"max_concurrency"`
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// Unrepeatable lists path prefixes whose calls may not be repeated, whatever their method; Repeatable
	// lists those that may be. For other paths of a plain service, methods that HTTP does not call
	// idempotent may not be repeated. A language service repeats unless its path is listed.
	Unrepeatable []string `json:"unrepeatable,omitempty"`
	Repeatable   []string `json:"repeatable,omitempty"`
	// ChecksFence says that the engines refuse orders with an old fencing number.
	ChecksFence bool `json:"checks_fence"`
	// CanResume says that the engines resume a stream at an offset.
	CanResume bool `json:"can_resume"`
	// LoadsPerMinute paces loading under the weight store's rate.
	LoadsPerMinute int `json:"loads_per_minute"`
	// AttemptRetention is how long the record of an unrepeatable request is kept.
	AttemptRetention time.Duration `json:"attempt_retention"`
}

// Team is one team of callers with every value resolved.
type Team struct {
	Name string `json:"name"`
	// KeyHashes are SHA-256 hashes, in hex, of the bearer keys that are the team's.
	KeyHashes []string `json:"key_hashes"`
	// Share is the team's weight in the fair queue.
	Share float64 `json:"share"`
	// Priority is handed to the engines, 0 (lowest) to 9.
	Priority int `json:"priority"`
	// Services lists the services the team may call; empty: all.
	Services []string `json:"services,omitempty"`
}

// Snapshot is the whole of the settings at one version, resolved. It is immutable: a request keeps the
// one it started with.
type Snapshot struct {
	// Version is the platform version of the tree.
	Version  uint64             `json:"version"`
	Services map[string]Service `json:"services"`
	Teams    map[string]Team    `json:"teams"`
	// OperatorKeyHashes are the hashes of the tokens that the admin address accepts.
	OperatorKeyHashes []string `json:"operator_key_hashes"`
	// AddressTTL is how long a caller may keep the answer of the directory.
	AddressTTL time.Duration `json:"address_ttl"`

	teamByKey      map[string]string
	serviceByModel map[string]string
}

// BuildIndex prepares the look-ups; whoever builds a Snapshot calls it once, before sharing it.
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

// TeamByKeyHash finds the team that holds a key with this hash.
func (s *Snapshot) TeamByKeyHash(hash string) (Team, bool) {
	name, ok := s.teamByKey[hash]
	if !ok {
		return Team{}, false
	}
	team, ok := s.Teams[name]
	return team, ok
}

// ServiceByModel finds the language service of a model.
func (s *Snapshot) ServiceByModel(model string) (Service, bool) {
	name, ok := s.serviceByModel[model]
	if !ok {
		return Service{}, false
	}
	service, ok := s.Services[name]
	return service, ok
}
