// Package engine is the client side of a backend server: the model engine on each VM, and the plain
// services beside them. The wire is HTTP/1.1 with JSON and server-sent events.
//
//	GET  /engine/v1/state                 State: the probe
//	POST /engine/v1/orders                Order -> State, 409 for a fencing number below one seen,
//	                                      412 for an order to another boot id
//	POST /engine/v1/cancel/{request}      cancels a request
//	POST /v1/chat/completions             a completion; the answer is a stream of Event
//	any  /{path}                          a call of a plain service
//
// A request carries the headers Request, Group, Epoch, Priority and, to resume, ResumeFrom.
package engine

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/vm"
)

// Headers of a request to a backend server.
const (
	HeaderRequest    = "Skylarkpond-Request"
	HeaderGroup      = "Skylarkpond-Group"
	HeaderEpoch      = "Skylarkpond-Epoch"
	HeaderPriority   = "Priority"
	HeaderResumeFrom = "Skylarkpond-Resume-From"
	HeaderService    = "Skylarkpond-Service"
	// HeaderRefused is set on an answer that says that the request was not run and will not be; its value is
	// the reason. It tells a plain service's own 409 or 503, which is an answer, from a refusal.
	HeaderRefused = "Skylarkpond-Refused"
)

// State is what a backend server says of itself when probed.
type State struct {
	VM     vm.Name   `json:"vm"`
	BootID vm.BootID `json:"boot_id"`
	// Group, Epoch and Fence are those of the last order it took; empty and 0 after a start.
	Group vm.GroupID `json:"group,omitempty"`
	Epoch uint64     `json:"epoch,omitempty"`
	Fence uint64     `json:"fence,omitempty"`
	// Service, Model and ModelVersion are what it has loaded or is loading.
	Service      string `json:"service,omitempty"`
	Model        string `json:"model,omitempty"`
	ModelVersion string `json:"model_version,omitempty"`
	// Ready says that loading is done.
	Ready bool `json:"ready"`
	// Leaving says that the VM was told it will be taken away.
	Leaving bool `json:"leaving,omitempty"`
	Load    Load `json:"load"`
}

// Load is an engine's report of its work. It lags by Age.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// CacheUsed is the used share of the KV cache, 0 to 1.
	CacheUsed float64 `json:"cache_used"`
	AgeMillis int64   `json:"age_ms"`
	// StepMicros is how long this VM's own share of a decoding step takes lately; 0: not known.
	StepMicros int64 `json:"step_us,omitempty"`
}

// OrderKind says what an order asks for.
type OrderKind string

// Orders.
const (
	// OrderLoad: join the group, load the model.
	OrderLoad OrderKind = "load"
	// OrderRelease: leave any group, unload.
	OrderRelease OrderKind = "release"
)

// Order is sent to every member of a group after the placement that names it was confirmed.
type Order struct {
	ID    string    `json:"id"`
	Kind  OrderKind `json:"kind"`
	Fence uint64    `json:"fence"`
	// BootID is the boot the order is meant for; an engine with another refuses it.
	BootID vm.BootID `json:"boot_id"`
	// DeadlineMillis is how long after its sending the order may still be carried out.
	DeadlineMillis int64      `json:"deadline_ms"`
	Group          vm.GroupID `json:"group,omitempty"`
	Epoch          uint64     `json:"epoch,omitempty"`
	Service        string     `json:"service,omitempty"`
	Model          string     `json:"model,omitempty"`
	ModelVersion   string     `json:"model_version,omitempty"`
	Rank           int        `json:"rank"`
	Members        []vm.Name  `json:"members,omitempty"`
}

// Event is one server-sent event of a completion. Seq starts at 0 and grows by one.
type Event struct {
	RequestID string `json:"id"`
	Seq       uint64 `json:"seq"`
	Text      string `json:"text,omitempty"`
	// Tokens counts the tokens of Text.
	Tokens int `json:"tokens,omitempty"`
	// Final marks the last event; without it the answer is not whole.
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

// Target says where and as what a request goes.
type Target struct {
	Address    string
	RequestID  string
	Group      vm.GroupID
	Epoch      uint64
	Priority   int
	ResumeFrom uint64
	Service    string
}

// Errors of a Client.
var (
	// ErrNotSent: no byte of the request can have reached the backend server (the connection failed).
	ErrNotSent = eris.New("backend server not reached")
	// ErrConnectionRefused: the VM answers, and nothing listens at the address: the process there is gone. It comes
	// with ErrNotSent.
	ErrConnectionRefused = eris.New("no process at the backend server's address")
	// ErrInterrupted: the request was or may have been sent, and the answer ended early.
	ErrInterrupted = eris.New("backend server broke off")
	// ErrRefused: the backend server answered that it will not run the request (503, 409, 429): not run.
	ErrRefused = eris.New("backend server refused")
	// ErrStaleFence: the order carries a fencing number below one that the engine has seen.
	ErrStaleFence = eris.New("order carries an old fencing number")
	// ErrBootMismatch: the engine was restarted since the order was meant for it.
	ErrBootMismatch = eris.New("backend server has another boot id")
)

// Stream is the answer to a completion.
type Stream interface {
	// Next returns the next event, io.EOF after the final one, or ErrInterrupted.
	Next() (Event, error)
	// Close cancels the request if it is not over.
	Close() error
}

// Client talks to backend servers. It is safe for concurrent use. A send is one send on the wire: it
// never replays a request by itself.
type Client interface {
	Probe(ctx context.Context, address string) (State, error)
	Order(ctx context.Context, address string, order Order) (State, error)
	Complete(ctx context.Context, send Target, body []byte) (Stream, error)
	// Call sends a call of a plain service and returns its answer; the caller closes the body.
	Call(ctx context.Context, send Target, method, path string, header http.Header, body io.Reader) (*http.Response, error)
	Cancel(ctx context.Context, address, requestID string) error
}

// ProbeTimeout bounds one probe. A healthy engine answers within a few milliseconds; one that takes
// longer than this counts as not answering.
const ProbeTimeout = 400 * time.Millisecond
