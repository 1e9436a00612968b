package platform

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Verb names what a call does. It is part of the names of the metrics.
type Verb string

// The verbs of a Store.
const (
	VerbGet    Verb = "get"
	VerbList   Verb = "list"
	VerbPut    Verb = "put"
	VerbDelete Verb = "delete"
	VerbWatch  Verb = "watch"
)

func (v Verb) writes() bool { return v == VerbPut || v == VerbDelete }

// Call is one call of a Store, before a Codec has put it into an HTTP message.
type Call struct {
	Verb Verb
	Kind Kind
	// Name is empty for a list and a watch.
	Name string
	// Version is the condition of a write, or the revision after which a watch begins.
	Version Version
	// After is the name after which the next page of a list begins; empty for the first one.
	After string
	// Wait bounds how long a watch waits; 0 leaves it to the platform.
	Wait time.Duration
	// Value is what a put writes.
	Value json.RawMessage
}

// Message is a call on the wire. Target is the path and query below the platform's address.
type Message struct {
	Method string
	Target string
	Body   []byte
}

// Page is a part of a list, or the events of a watch.
type Page struct {
	Changes
	// Next is the name to give as Call.After for the next page; empty after the last one.
	Next string
}

// Codec says how calls and answers of one platform look. It decides nothing: limits, timeouts, retries and
// the settling of lost answers are the Client's.
type Codec interface {
	// Encode returns the message of a call.
	Encode(call Call) (Message, error)
	// DecodeObject reads the answer to a get or a put.
	DecodeObject(call Call, body []byte) (Object, error)
	// DecodePage reads the answer to a list or a watch.
	DecodePage(call Call, body []byte) (Page, error)
}

// ownWire is that of the platform's stand-in in this repository.
type ownWire struct{}

// WriteResult is the answer of that wire to a write.
type WriteResult struct {
	Version Version `json:"version"`
}

// Encode implements Codec.
func (ownWire) Encode(call Call) (Message, error) {
	objects := "/v1/objects/" + url.PathEscape(string(call.Kind))
	object := objects + "/" + url.PathEscape(call.Name)
	switch call.Verb {
	case VerbList:
		return Message{Method: http.MethodGet, Target: objects}, nil
	case VerbPut:
		return Message{Method: http.MethodPut, Target: object + "?version=" + formatVersion(call.Version), Body: call.Value}, nil
	case VerbDelete:
		return Message{Method: http.MethodDelete, Target: object + "?version=" + formatVersion(call.Version)}, nil
	case VerbWatch:
		target := "/v1/watch/" + url.PathEscape(string(call.Kind)) + "?after=" + formatVersion(call.Version)
		return Message{Method: http.MethodGet, Target: target}, nil
	}
	return Message{Method: http.MethodGet, Target: object}, nil
}

// DecodeObject implements Codec.
func (ownWire) DecodeObject(call Call, body []byte) (Object, error) {
	if call.Verb == VerbPut {
		var written WriteResult
		err := json.Unmarshal(body, &written)
		return Object{Kind: call.Kind, Name: call.Name, Version: written.Version}, err
	}
	var object Object
	err := json.Unmarshal(body, &object)
	return object, err
}

// DecodePage implements Codec.
func (ownWire) DecodePage(_ Call, body []byte) (Page, error) {
	var page Page
	err := json.Unmarshal(body, &page.Changes)
	return page, err
}

func formatVersion(v Version) string { return strconv.FormatUint(uint64(v), 10) }
