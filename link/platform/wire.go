package platform

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/internal/jsonsplit"
)

// Verb is the operation of a call. It is part of the metric names.
type Verb string

// Operations of a Store.
const (
	VerbGet    Verb = "get"
	VerbList   Verb = "list"
	VerbPut    Verb = "put"
	VerbDelete Verb = "delete"
	VerbWatch  Verb = "watch"
)

func (v Verb) writes() bool { return v == VerbPut || v == VerbDelete }

// Call is one Store operation before a Codec has encoded it as an HTTP request.
type Call struct {
	Verb Verb
	Kind Kind
	// Name is empty for lists and watches.
	Name string
	// Version is the precondition of a write, or the revision after which a watch starts.
	Version Version
	// After is the name after which the next page of a list starts. It is empty for the first page.
	After string
	// Stale allows a list to return data that is seconds old. The platform doesn't count such a call towards its rate limit.
	Stale bool
	// Wait limits how long a watch waits. 0 selects the platform's limit.
	Wait time.Duration
	// Value is the value to write in a put.
	Value json.RawMessage
}

// Message is an encoded call. Target is the path and query relative to the platform's base URL.
type Message struct {
	Method string
	Target string
	Body   []byte
}

// Page is one page of a list, or the events of a watch.
type Page struct {
	Changes
	// Next is the value of Call.After for the next page. It is empty on the last page.
	Next string
	// Nameless is why the first element can't be decoded that has not even a name that can be read; nil if there is none. It is not in Objects.
	Nameless error
}

// Add adds an object. Of an object without a name, only Invalid is kept.
func (p *Page) Add(object Object) {
	switch {
	case object.Name != "":
		p.Objects = append(p.Objects, object)
	case p.Nameless == nil:
		p.Nameless = object.Invalid
	}
}

// SetVersions sets the versions of objects whose own can't be read, which are 0 or above the page's revision, to the greatest that they can be: that of
// the page, or the one before the next change. Such an object then counts neither as older than the one that it replaces, nor as newer than the
// one that replaces it.
func (p *Page) SetVersions() {
	bound := p.Revision
	for i := len(p.Objects) - 1; i >= 0; i-- {
		object := &p.Objects[i]
		switch {
		case object.Version == 0 || p.Revision != 0 && object.Version > p.Revision:
			object.Version = bound
		case !p.Complete:
			bound = min(bound, object.Version-1)
		}
	}
}

// Codec encodes calls and decodes responses for one platform implementation. Rate limits, timeouts, retries
// and the resolution of lost responses are handled by the Client, not by the Codec.
type Codec interface {
	// Encode returns the request message of a call.
	Encode(call Call) (Message, error)
	// DecodeObject decodes the response to a get or a put.
	DecodeObject(call Call, body []byte) (Object, error)
	// DecodePage decodes the response to a list or a watch.
	DecodePage(call Call, body []byte) (Page, error)
}

// standinCodec is the codec of the platform stand-in in this repository.
type standinCodec struct{}

// WriteResult is the stand-in's response to a write.
type WriteResult struct {
	Version Version `json:"version"`
}

// Encode implements Codec.
func (standinCodec) Encode(call Call) (Message, error) {
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
func (standinCodec) DecodeObject(call Call, body []byte) (Object, error) {
	if call.Verb == VerbPut {
		var written WriteResult
		err := json.Unmarshal(body, &written)
		return Object{Kind: call.Kind, Name: call.Name, Version: written.Version}, err
	}
	var object Object
	err := json.Unmarshal(body, &object)
	return object, err
}

// DecodePage implements Codec. An object that can't be decoded costs itself alone.
func (standinCodec) DecodePage(call Call, body []byte) (Page, error) {
	var objects, revision, complete []byte
	err := jsonsplit.Fields(body, func(name string, value []byte) {
		switch name {
		case "objects":
			objects = value
		case "revision":
			revision = value
		case "complete":
			complete = value
		}
	})
	if err != nil {
		return Page{}, err
	}
	var page Page
	if revision != nil {
		err = json.Unmarshal(revision, &page.Revision)
	}
	if complete != nil && err == nil {
		err = json.Unmarshal(complete, &page.Complete)
	}
	if objects != nil && string(objects) != "null" && err == nil {
		page.Objects = []Object{}
		err = jsonsplit.Elements(objects, func(element []byte) { page.Add(decodeElement(call.Kind, element)) })
	}
	page.SetVersions()
	return page, err
}

var errNoName = eris.New("it has no name that can be read")

// decodeElement decodes an element of a page, which may be any JSON value.
func decodeElement(kind Kind, element []byte) Object {
	var object Object
	err := json.Unmarshal(element, &object)
	if err == nil && object.Name == "" {
		err = errNoName
	}
	if err == nil {
		return object
	}
	object = Object{Kind: kind, Invalid: err}
	_ = jsonsplit.Fields(element, func(name string, value []byte) {
		if name == "name" && value[0] == '"' {
			_ = json.Unmarshal(value, &object.Name)
		}
	})
	return object
}

func formatVersion(v Version) string { return strconv.FormatUint(uint64(v), 10) }
