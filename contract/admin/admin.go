// Package admin holds the messages between pondctl and an entry's admin address.
package admin

import (
	"github.com/skylarkpond/skylarkpond/contract/settings"
	"github.com/skylarkpond/skylarkpond/timeline"
	"github.com/skylarkpond/skylarkpond/vm"
)

// Paths of the admin address. Every call carries "Authorization: Bearer" with an operator's token.
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

// MaxChangeBytes bounds the body of an apply; a tree as a whole has to fit the platform's megabyte.
const MaxChangeBytes = 1 << 20

// Settings answers GET SettingsPath.
type Settings struct {
	// Version is the platform version of the tree; 0: there is none yet.
	Version uint64         `json:"version"`
	Tree    *settings.Tree `json:"tree"`
	// FromLocalCopy says that the platform could not be asked and this is the entry's own copy, which may be old.
	FromLocalCopy bool `json:"copy,omitempty"`
}

// Applied answers an apply: 200 if the settings have the change, 409 for a conflict, 422 for faults.
type Applied struct {
	settings.Result
	// Version is a platform version that has the change: an entry whose version in force is at least this
	// one works by it. 0 if the change was not taken.
	Version uint64 `json:"version,omitempty"`
}

// Explanation answers GET ExplainPath?path=.
type Explanation struct {
	Path     settings.Path             `json:"path"`
	Version  uint64                    `json:"version"`
	Revision uint64                    `json:"revision"`
	Values   []settings.EffectiveValue `json:"values"`
}

// History answers GET HistoryPath, latest change first.
type History struct {
	Version  uint64                   `json:"version"`
	Revision uint64                   `json:"revision"`
	Changes  []settings.AppliedChange `json:"changes"`
}

// Status answers GET StatusPath: what one entry knows of all.
type Status struct {
	// Reporter is the entry that was asked, At its clock in Unix milliseconds.
	Reporter   string          `json:"reporter"`
	ReportedAt int64           `json:"at_ms"`
	Entries    []EntryStatus   `json:"entries"`
	Groups     []GroupStatus   `json:"groups"`
	Services   []ServiceStatus `json:"services"`
	// BlockedActions is what controllers want and can't do now, as they say themselves.
	BlockedActions []BlockedAction `json:"held,omitempty"`
}

// BlockedAction is something that the controller of a fabric domain wants and can't do.
type BlockedAction struct {
	FabricDomain string `json:"fabric_domain"`
	// Service is empty where the controller's work as a whole is held up.
	Service string `json:"service,omitempty"`
	Reason  string `json:"reason"`
}

// EntryStatus is one entry.
type EntryStatus struct {
	Name          string `json:"name"`
	Place         string `json:"place"`
	FailureDomain string `json:"failure_domain"`
	AdminAddress  string `json:"admin_address"`
	Incarnation   string `json:"incarnation,omitempty"`
	// Live says that the reporter's membership counts it as live.
	Live    bool `json:"live"`
	Leaving bool `json:"leaving,omitempty"`
	// SettingsVersion is the version in force there, SettingsSince since when, by that entry's clock in
	// Unix milliseconds.
	SettingsVersion uint64 `json:"settings_version"`
	SettingsSince   int64  `json:"settings_since_ms,omitempty"`
	// Problem says why the reporter could not ask it; what stands beside it may then be old.
	Problem string `json:"problem,omitempty"`
}

// GroupStatus is one group.
type GroupStatus struct {
	vm.Group
	FabricDomain string `json:"fabric_domain"`
	Home         string `json:"home,omitempty"`
	// Whole says that the home found every member present; Problem why not.
	Whole   bool   `json:"whole"`
	Problem string `json:"problem,omitempty"`
}

// ServiceStatus says how far the groups of a service are from what its settings want.
type ServiceStatus struct {
	Name   string `json:"name"`
	Wanted int    `json:"wanted"`
	// Serving counts whole groups in state serving; Current those among them that have the size and
	// model version wanted.
	Serving  int `json:"serving"`
	UpToDate int `json:"current"`
	// Changing counts groups that form, load or drain.
	Changing int `json:"changing"`
	// Note says why more is not done now, and in which fabric domains.
	Note string `json:"note,omitempty"`
}

// TimelineQuery narrows a time line; zero fields don't.
type TimelineQuery struct {
	timeline.Filter
	// Limit keeps only the latest events; 0: DefaultTimelineLimit.
	Limit int
}

// Bounds of TimelineQuery.Limit.
const (
	DefaultTimelineLimit = 200
	MaxTimelineLimit     = 10_000
)

// Timeline answers GET TimelinePath, oldest event first.
type Timeline struct {
	Events []timeline.Event `json:"events"`
	// Missing names live entries that could not be asked.
	Missing []string `json:"missing,omitempty"`
}

// QuarantinedRequest is one fingerprint that no backend server is given any more.
type QuarantinedRequest struct {
	Service     string `json:"service"`
	Fingerprint string `json:"fingerprint"`
	// Since is in Unix milliseconds, by the clock of the entry that saw the crash.
	Since   int64  `json:"since_ms,omitempty"`
	Crashes int    `json:"crashes,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

// Quarantine answers GET QuarantinePath.
type Quarantine struct {
	Requests []QuarantinedRequest `json:"requests"`
}
