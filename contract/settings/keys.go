package settings

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Key describes one key: its type, range and default, the levels that may set it, and where its resolved
// value goes. The table keys is the only place that knows them.
type Key struct {
	Name   string
	Kind   ValueKind
	Levels Level
	// Default holds where no node sets the key. Required keys have none.
	Default  Value
	Required bool
	// Min and Max bound integers and numbers, and durations in nanoseconds.
	Min, Max float64
	// form is what each text must match; formText says it in words.
	form     *regexp.Regexp
	formText string
	// Doc says what the key does, for operators.
	Doc string

	setService func(*Service, Value)
	setTeam    func(*Team, Value)
	setRoot    func(*Snapshot, Value)
}

const (
	inherited = RootLevel | PlaceLevel
	ofService = inherited | ServiceLevel
	ofTeam    = inherited | TeamLevel
)

var (
	hashForm  = regexp.MustCompile(`^[0-9a-f]{64}$`)
	pathForm  = regexp.MustCompile(`^/[!-~]{0,255}$`)
	modelForm = regexp.MustCompile(`^[!-~]{1,128}$`)
	kindForm  = regexp.MustCompile(`^(language|plain)$`)
)

const (
	hashText  = "SHA-256 hashes of 64 hex digits (pondctl hash-key prints one)"
	pathText  = "path prefixes that start with /"
	modelText = "1 to 128 printable characters without spaces"
	kindText  = "language or plain"
)

// Keys returns all keys in the order in which they are shown.
func Keys() []*Key { return keys }

// LookupKey finds a key.
func LookupKey(name string) (*Key, bool) {
	key, ok := keyByName[name]
	return key, ok
}

var keyByName = func() map[string]*Key {
	byName := make(map[string]*Key, len(keys))
	for _, key := range keys {
		byName[key.Name] = key
	}
	return byName
}()

var keys = []*Key{
	rootKey(list("operator_key_hashes", RootLevel, hashForm, hashText,
		"hashes of the tokens that the admin address accepts"),
		func(s *Snapshot, v Value) { s.OperatorKeyHashes = v.List }),
	rootKey(duration("address_ttl", RootLevel, 5*time.Second, time.Second, time.Minute,
		"how long a caller may keep the directory's answer"),
		func(s *Snapshot, v Value) { s.AddressTTL = v.Duration }),

	serviceKey(required(text("kind", ServiceLevel, kindForm, kindText,
		"language: a model whose replicas are groups of VMs; plain: an HTTP service")),
		func(s *Service, v Value) { s.Kind = ServiceKind(v.Text) }),
	serviceKey(text("model", ServiceLevel, modelForm, modelText,
		"the name that callers use; language services only"),
		func(s *Service, v Value) { s.Model = v.Text }),
	serviceKey(text("model_version", ServiceLevel, modelForm, modelText,
		"what engines load; a change is rolled out group by group"),
		func(s *Service, v Value) { s.ModelVersion = v.Text }),
	serviceKey(integer("group_size", ofService, 1, 1, 64,
		"VMs of a replica, all of one fabric domain"),
		func(s *Service, v Value) { s.GroupSize = int(v.Integer) }),
	serviceKey(integer("replicas", ofService, 1, 0, 10_000,
		"replicas wanted"),
		func(s *Service, v Value) { s.Replicas = int(v.Integer) }),
	serviceKey(integer("spares", ofService, 0, 0, 1_000,
		"free VMs kept for replacing members"),
		func(s *Service, v Value) { s.Spares = int(v.Integer) }),
	serviceKey(number("downtime_weight", ofService, 1, 0, 1e6,
		"cost of a second of a missing replica"),
		func(s *Service, v Value) { s.DowntimeWeight = v.Number }),
	serviceKey(number("stranded_weight", ofService, 1, 0, 1e6,
		"cost of an accelerator-second outside any serving group"),
		func(s *Service, v Value) { s.StrandedWeight = v.Number }),
	serviceKey(duration("request_timeout", ofService, time.Minute, 10*time.Millisecond, time.Hour,
		"deadline of a request whose caller names none"),
		func(s *Service, v Value) { s.RequestTimeout = v.Duration }),
	serviceKey(duration("max_request_timeout", ofService, 10*time.Minute, 10*time.Millisecond, 24*time.Hour,
		"the longest deadline that a caller may name"),
		func(s *Service, v Value) { s.MaxRequestTimeout = v.Duration }),
	serviceKey(duration("queue_timeout", ofService, 5*time.Second, time.Millisecond, time.Hour,
		"the longest wait in a queue; a request that would wait longer is refused at once"),
		func(s *Service, v Value) { s.QueueTimeout = v.Duration }),
	serviceKey(duration("drain_timeout", ofService, 10*time.Minute, time.Second, 24*time.Hour,
		"how long a draining group waits for requests in progress"),
		func(s *Service, v Value) { s.DrainTimeout = v.Duration }),
	serviceKey(duration("first_token", ofService, 640*time.Millisecond, time.Millisecond, time.Minute,
		"objective for the first token; the concurrency limit adapts to it"),
		func(s *Service, v Value) { s.FirstTokenObjective = v.Duration }),
	serviceKey(duration("token_gap", ofService, 79*time.Millisecond, time.Millisecond, time.Minute,
		"objective for the time between tokens; the concurrency limit adapts to it"),
		func(s *Service, v Value) { s.TokenGapObjective = v.Duration }),
	serviceKey(integer("max_concurrency", ofService, 64, 1, 10_000,
		"cap on the requests at work on one group"),
		func(s *Service, v Value) { s.MaxConcurrency = int(v.Integer) }),
	serviceKey(integer("max_body_bytes", ofService, 1<<20, 1, 64<<20,
		"the largest request body"),
		func(s *Service, v Value) { s.MaxBodyBytes = v.Integer }),
	serviceKey(list("unrepeatable", ServiceLevel, pathForm, pathText,
		"paths whose calls may not be repeated, whatever their method"),
		func(s *Service, v Value) { s.Unrepeatable = v.List }),
	serviceKey(list("repeatable", ServiceLevel, pathForm, pathText,
		"paths whose calls may be repeated, whatever their method"),
		func(s *Service, v Value) { s.Repeatable = v.List }),
	serviceKey(flag("checks_fence", ofService,
		"the engines refuse an order with an old fencing number"),
		func(s *Service, v Value) { s.ChecksFence = v.Bool }),
	serviceKey(flag("can_resume", ofService,
		"the engines resume a stream at an offset"),
		func(s *Service, v Value) { s.CanResume = v.Bool }),
	serviceKey(integer("loads_per_minute", ofService, 60, 1, 100_000,
		"members loaded a minute, below the weight store's rate"),
		func(s *Service, v Value) { s.LoadsPerMinute = int(v.Integer) }),
	serviceKey(duration("attempt_retention", ofService, 24*time.Hour, time.Minute, 30*24*time.Hour,
		"how long the record of an unrepeatable request is kept"),
		func(s *Service, v Value) { s.AttemptRetention = v.Duration }),

	teamKey(required(list("key_hashes", TeamLevel, hashForm, hashText,
		"hashes of the team's bearer keys")),
		func(t *Team, v Value) { t.KeyHashes = v.List }),
	teamKey(number("share", ofTeam, 1, 0, 1_000,
		"weight in the fair queue; a team with 0 is served when no other waits"),
		func(t *Team, v Value) { t.Share = v.Number }),
	teamKey(integer("priority", ofTeam, 5, 0, 9,
		"handed to the engines, 0 lowest"),
		func(t *Team, v Value) { t.Priority = int(v.Integer) }),
	teamKey(list("services", ofTeam, nodeName, "names of services, each "+nodeNameForm,
		"the services that the team may call; empty: all"),
		func(t *Team, v Value) { t.Services = v.List }),
}

func text(name string, levels Level, form *regexp.Regexp, formText, doc string) *Key {
	return &Key{
		Name: name, Kind: TextValue, Levels: levels, form: form, formText: formText, Doc: doc,
		Default: Value{Kind: TextValue},
	}
}

func list(name string, levels Level, form *regexp.Regexp, formText, doc string) *Key {
	return &Key{
		Name: name, Kind: ListValue, Levels: levels, form: form, formText: formText, Doc: doc,
		Default: Value{Kind: ListValue},
	}
}

func integer(name string, levels Level, value, least, most int64, doc string) *Key {
	return &Key{
		Name: name, Kind: IntegerValue, Levels: levels, Min: float64(least), Max: float64(most), Doc: doc,
		Default: Value{Kind: IntegerValue, Integer: value},
	}
}

func number(name string, levels Level, value, least, most float64, doc string) *Key {
	return &Key{
		Name: name, Kind: NumberValue, Levels: levels, Min: least, Max: most, Doc: doc,
		Default: Value{Kind: NumberValue, Number: value},
	}
}

func duration(name string, levels Level, value, least, most time.Duration, doc string) *Key {
	return &Key{
		Name: name, Kind: DurationValue, Levels: levels, Min: float64(least), Max: float64(most), Doc: doc,
		Default: Value{Kind: DurationValue, Duration: value},
	}
}

func flag(name string, levels Level, doc string) *Key {
	return &Key{Name: name, Kind: BoolValue, Levels: levels, Doc: doc, Default: Value{Kind: BoolValue}}
}

func required(k *Key) *Key {
	k.Required = true
	return k
}

func serviceKey(k *Key, set func(*Service, Value)) *Key {
	k.setService = set
	return k
}

func teamKey(k *Key, set func(*Team, Value)) *Key {
	k.setTeam = set
	return k
}

func rootKey(k *Key, set func(*Snapshot, Value)) *Key {
	k.setRoot = set
	return k
}

// Constraint says in words what the key takes.
func (k *Key) Constraint() string {
	switch k.Kind {
	case IntegerValue:
		return fmt.Sprintf("a whole number from %.0f to %.0f", k.Min, k.Max)
	case NumberValue:
		return fmt.Sprintf("a number from %s to %s", formatFloat(k.Min), formatFloat(k.Max))
	case DurationValue:
		return fmt.Sprintf(`a duration such as "9s", from %s to %s`, time.Duration(k.Min), time.Duration(k.Max))
	case BoolValue:
		return "true or false"
	case ListValue:
		return "a list of " + k.formText
	}
	return "text in quotes: " + k.formText
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

// outside says why a value of the right type is out of range, or "".
func (k *Key) outside(v Value) string {
	switch k.Kind {
	case IntegerValue:
		return k.outOfRange(float64(v.Integer), v)
	case NumberValue:
		return k.outOfRange(v.Number, v)
	case DurationValue:
		return k.outOfRange(float64(v.Duration), v)
	case TextValue:
		if !k.form.MatchString(v.Text) {
			return fmt.Sprintf("%s has the wrong form", describe(v.Text))
		}
	case ListValue:
		return k.badItem(v.List)
	}
	return ""
}

func (k *Key) outOfRange(n float64, v Value) string {
	if n >= k.Min && n <= k.Max {
		return ""
	}
	return v.String() + " is out of range"
}

func (k *Key) badItem(items []string) string {
	for i, item := range items {
		if !k.form.MatchString(item) {
			return fmt.Sprintf("%s has the wrong form", describe(item))
		}
		if slices.Contains(items[:i], item) {
			return fmt.Sprintf("%s stands twice", describe(item))
		}
	}
	return ""
}

// keysOf names the keys that a level may set, for messages.
func keysOf(level Level) string {
	var names []string
	for _, key := range keys {
		if key.Levels&level != 0 {
			names = append(names, key.Name)
		}
	}
	return strings.Join(names, ", ")
}
