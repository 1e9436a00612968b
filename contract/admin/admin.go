// Package admin holds the messages between pondctl and the admin address of an entry.
package admin

import (
	"github.com/skylarkpond/skylarkpond/contract/settings"
	"github.com/skylarkpond/skylarkpond/timeline"
	"github.com/skylarkpond/skylarkpond/vm"
)

// Paths on the admin address. Every call carries "Authorization: Bearer" with an operator's token.
const (
	Prefix         = "/admin/v1"
	SettingsPath   = Prefix + "/settings"
	ApplyPath      = Prefix + "/settings/apply"
	ExplainPath    = Prefix + "/settings/explain"
	HistoryPath    = Prefix + "/settings/history"
	StatusPath     = Prefix + "/status"
	TimelinePath   = Prefix + "/timeline"
	QuarantinePath = Prefix + "/quarantine"
	MetricsPath    = Prefix + "/metrics"
)

// MaxChangeBytes bounds the body of an apply request. The settings tree as a whole has to fit into the 1 MB that the
// platform accepts for a value.
const MaxChangeBytes = 1 << 20

// Settings is the response to GET SettingsPath.
type Settings struct {
	// Version is the platform version of the tree; 0 if there is no tree yet.
	Version uint64         `json:"version"`
	Tree    *settings.Tree `json:"tree"`
	// FromLocalCopy is set if the platform could not be reached. Tree is then the entry's own copy, which may be
	// outdated.
	FromLocalCopy bool `json:"copy,omitempty"`
}

// Applied is the response to an apply request: with status 200 if the settings contain the change, 409 for a
// conflict, and 422 for invalid settings.
type Applied struct {
	settings.Result
	// Version is a platform version that contains the change: an entry whose version in force is at least this one
	// works by it. It is 0 if the change was not accepted.
	Version uint64 `json:"version,omitempty"`
}

// Explanation is the response to GET ExplainPath?path=.
type Explanation struct {
	Path     settings.Path             `json:"path"`
	Version  uint64                    `json:"version"`
	Revision uint64                    `json:"revision"`
	Values   []settings.EffectiveValue `json:"values"`
}

// History is the response to GET HistoryPath, latest change first.
type History struct {
	Version  uint64                   `json:"version"`
	Revision uint64                   `json:"revision"`
	Changes  []settings.AppliedChange `json:"changes"`
}

// Status is the response to GET StatusPath: what one entry knows about all entries, groups and services.
type Status struct {
	// Reporter is the entry that was asked, and ReportedAt the time of its clock in Unix milliseconds.
	Reporter   string          `json:"reporter"`
	ReportedAt int64           `json:"at_ms"`
	Entries    []EntryStatus   `json:"entries"`
	Groups     []GroupStatus   `json:"groups"`
	Services   []ServiceStatus `json:"services"`
	// BlockedActions lists what the controllers intend to do but cannot do now, as they report it.
	BlockedActions []BlockedAction `json:"held,omitempty"`
}

// BlockedAction is something that the controller of a fabric domain intends to do but cannot do now.
type BlockedAction struct {
	FabricDomain string `json:"fabric_domain"`
	// Service is empty if the controller's work as a whole is blocked.
	Service string `json:"service,omitempty"`
	Reason  string `json:"reason"`
}

// EntryStatus is the status of one entry.
type EntryStatus struct {
	Name          string `json:"name"`
	Place         string `json:"place"`
	FailureDomain string `json:"failure_domain"`
	AdminAddress  string `json:"admin_address"`
	Incarnation   string `json:"incarnation,omitempty"`
	// Live is set if the reporter's membership counts the entry as live.
	Live    bool `json:"live"`
	Leaving bool `json:"leaving,omitempty"`
	// SettingsVersion is the settings version in force at the entry, and SettingsSince the time since when, by the
	// entry's clock in Unix milliseconds.
	SettingsVersion uint64 `json:"settings_version"`
	SettingsSince   int64  `json:"settings_since_ms,omitempty"`
	// Problem is why the reporter could not query the entry. The other fields may then be outdated.
	Problem string `json:"problem,omitempty"`
}

// GroupStatus is the status of one group.
type GroupStatus struct {
	vm.Group
	FabricDomain string `json:"fabric_domain"`
	Home         string `json:"home,omitempty"`
	// Whole is set if the home found every member of the group present; Problem says why not.
	Whole   bool   `json:"whole"`
	Problem string `json:"problem,omitempty"`
}

// ServiceStatus compares the groups of a service with the groups that its settings require.
type ServiceStatus struct {
	Name   string `json:"name"`
	Wanted int    `json:"wanted"`
	// Serving counts groups in state serving with all members present. UpToDate counts those of them that have the
	// required size and model version.
	Serving  int `json:"serving"`
	UpToDate int `json:"current"`
	// Changing counts groups that are being formed, loaded or drained.
	Changing int `json:"changing"`
	// Note says why no further action is taken now, and in which fabric domains.
	Note string `json:"note,omitempty"`
}

// TimelineQuery restricts a time line. Zero fields do not restrict it.
type TimelineQuery struct {
	timeline.Filter
	// Limit is the maximum number of events; only the latest are kept. 0 means DefaultTimelineLimit.
	Limit int
}

// Bounds of TimelineQuery.Limit.
const (
	DefaultTimelineLimit = 200
	MaxTimelineLimit     = 10_000
)

// Timeline is the response to GET TimelinePath, oldest event first.
type Timeline struct {
	Events []timeline.Event `json:"events"`
	// Missing names live entries that could not be queried.
	Missing []string `json:"missing,omitempty"`
}

// QuarantinedRequest is a request fingerprint that is no longer sent to any backend server.
type QuarantinedRequest struct {
	Service     string `json:"service"`
	Fingerprint string `json:"fingerprint"`
	// Since is in Unix milliseconds, by the clock of the entry that observed the crash.
	Since   int64  `json:"since_ms,omitempty"`
	Crashes int    `json:"crashes,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

// Quarantine is the response to GET QuarantinePath.
type Quarantine struct {
	Requests []QuarantinedRequest `json:"requests"`
}
