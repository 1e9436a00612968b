// Package engine is the client of backend servers: the model engine on each VM, and plain services. The
// protocol is HTTP/1.1 with JSON and server-sent events.
//
//	GET  /engine/v1/state                 returns State; used as the probe
//	POST /engine/v1/orders                Order -> State; 409 for a fencing number below one already
//	                                      seen, 412 for an order addressed to another boot ID
//	POST /engine/v1/cancel/{request}      cancels a request
//	POST /v1/chat/completions             a completion; the response is a stream of Event
//	any  /{path}                          a call to a plain service
//
// A request carries the Request, Group, Epoch, Priority and Service headers and, when it resumes a stream,
// ResumeFrom.
package engine

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/vm"
)

// Headers of the protocol with backend servers.
const (
	HeaderRequest    = "Skylarkpond-Request"
	HeaderGroup      = "Skylarkpond-Group"
	HeaderEpoch      = "Skylarkpond-Epoch"
	HeaderPriority   = "Priority"
	HeaderResumeFrom = "Skylarkpond-Resume-From"
	HeaderService    = "Skylarkpond-Service"
	// HeaderRefused marks a response to a request that was not run and will not be run; its value is the reason.
	// It distinguishes a refusal from a plain service's own 409 or 503, which is a regular response.
	HeaderRefused = "Skylarkpond-Refused"
	// HeaderRateLimit is in responses of a server in need: the number of requests a second that it takes, a decimal number.
	HeaderRateLimit = "Skylarkpond-Rate-Limit"
)

// State is a backend server's response to a probe.
type State struct {
	VM     vm.Name   `json:"vm"`
	BootID vm.BootID `json:"boot_id"`
	// Group, Epoch and Fence are those of the last accepted order. They are zero after a start.
	Group vm.GroupID `json:"group,omitempty"`
	Epoch uint64     `json:"epoch,omitempty"`
	Fence uint64     `json:"fence,omitempty"`
	// Service, Model and ModelVersion identify what is loaded or loading.
	Service      string `json:"service,omitempty"`
	Model        string `json:"model,omitempty"`
	ModelVersion string `json:"model_version,omitempty"`
	// Ready means that loading is complete.
	Ready bool `json:"ready"`
	// Leaving means that the VM has been notified of its removal.
	Leaving bool `json:"leaving,omitempty"`
	Load    Load `json:"load"`
}

// Load is an engine's report of its current work. The report is AgeMillis old.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// CacheUsed is the used fraction of the KV cache, from 0 to 1.
	CacheUsed float64 `json:"cache_used"`
	AgeMillis int64   `json:"age_ms"`
	// StepMicros is the recent duration of this VM's share of a decoding step in microseconds; 0 if unknown.
	StepMicros int64 `json:"step_us,omitempty"`
}

// OrderKind is the action of an order.
type OrderKind string

// Order kinds.
const (
	// OrderLoad makes the server join the group and load the model.
	OrderLoad OrderKind = "load"
	// OrderRelease makes the server leave its group and unload the model.
	OrderRelease OrderKind = "release"
)

// Order is sent to every member of a group once the placement that defines the group is confirmed.
type Order struct {
	ID    string    `json:"id"`
	Kind  OrderKind `json:"kind"`
	Fence uint64    `json:"fence"`
	// BootID is the boot that the order is addressed to; an engine with another boot ID rejects it.
	BootID vm.BootID `json:"boot_id"`
	// DeadlineMillis is the time after sending within which the order may still be executed.
	DeadlineMillis int64      `json:"deadline_ms"`
	Group          vm.GroupID `json:"group,omitempty"`
	Epoch          uint64     `json:"epoch,omitempty"`
	Service        string     `json:"service,omitempty"`
	Model          string     `json:"model,omitempty"`
	ModelVersion   string     `json:"model_version,omitempty"`
	Rank           int        `json:"rank"`
	Members        []vm.Name  `json:"members,omitempty"`
}

// Event is one server-sent event of a completion. Seq starts at 0 and increases by one.
type Event struct {
	RequestID string `json:"id"`
	Seq       uint64 `json:"seq"`
	Text      string `json:"text,omitempty"`
	// Tokens is the number of tokens in Text.
	Tokens int `json:"tokens,omitempty"`
	// Final marks the last event. A stream without it is incomplete.
	Final        bool   `json:"final,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// Completion is the body of a completion request.
type Completion struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
}

// Message is one turn of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Target is where a request is sent, and what it carries.
type Target struct {
	Address    string
	RequestID  string
	Group      vm.GroupID
	Epoch      uint64
	Priority   int
	ResumeFrom uint64
	Service    string
	// RateLimit is called with what the header of the response states, before Complete or Call returns: the requests a second that the server
	// takes; nil for no limit. It is not called for a limit that can't be read. It may be nil.
	RateLimit func(perSecond *float64)
}

// Errors returned by a Client.
var (
	// ErrNotSent means that the connection failed and the backend server received no byte of the request.
	ErrNotSent = eris.New("backend server not reached")
	// ErrConnectionRefused means that the VM responds but nothing listens at the address: the process has
	// ended. It is returned together with ErrNotSent.
	ErrConnectionRefused = eris.New("no process at the backend server's address")
	// ErrInterrupted means that the request was or may have been sent, and the response ended early.
	ErrInterrupted = eris.New("backend server broke off")
	// ErrRefused means that the backend server declined to run the request (for example with 503, 409 or 429).
	// The request was not run.
	ErrRefused = eris.New("backend server refused")
	// ErrStaleFence means that the order carries a fencing number below one that the engine has already seen.
	ErrStaleFence = eris.New("order carries an old fencing number")
	// ErrBootMismatch means that the engine restarted after the boot that the order is addressed to.
	ErrBootMismatch = eris.New("backend server has another boot id")
)

// Stream is the response to a completion.
type Stream interface {
	// Next returns the next event, io.EOF after the final one, or ErrInterrupted.
	Next() (Event, error)
	// Close cancels the request unless it has ended.
	Close() error
}

// Client sends requests to backend servers. It is safe for concurrent use. It sends each request of Complete
// and Call once and never retries on its own.
type Client interface {
	Probe(ctx context.Context, address string) (State, error)
	Order(ctx context.Context, address string, order Order) (State, error)
	Complete(ctx context.Context, target Target, body []byte) (Stream, error)
	// Call sends a request to a plain service and returns its response. The caller closes the body.
	Call(ctx context.Context, target Target, method, path string, header http.Header, body io.Reader) (*http.Response, error)
	Cancel(ctx context.Context, address, requestID string) error
}

// ProbeTimeout limits one probe. A healthy engine responds within a few milliseconds; one that exceeds this
// limit is treated as unresponsive.
const ProbeTimeout = 400 * time.Millisecond
