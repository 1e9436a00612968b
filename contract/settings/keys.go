package settings

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Key describes one settings key: its type, range and default, the levels that may set it, and the field
// that receives its resolved value. The table keys is the single source of this information.
type Key struct {
	Name   string
	Kind   ValueKind
	Levels Level
	// Default applies where no node sets the key. It has no meaning for required keys.
	Default  Value
	Required bool
	// Min and Max are the inclusive bounds of integers and numbers, and of durations in nanoseconds.
	Min, Max float64
	// pattern is what a text, or each item of a list, must match; patternDescription describes it in messages.
	pattern            *regexp.Regexp
	patternDescription string
	// Doc describes the key to operators.
	Doc string

	setService func(*Service, Value)
	setTeam    func(*Team, Value)
	setRoot    func(*Snapshot, Value)
}

const (
	sharedLevels  = RootLevel | PlaceLevel
	serviceLevels = sharedLevels | ServiceLevel
	teamLevels    = sharedLevels | TeamLevel
)

var (
	hashPattern  = regexp.MustCompile(`^[0-9a-f]{64}$`)
	pathPattern  = regexp.MustCompile(`^/[!-~]{0,255}$`)
	modelPattern = regexp.MustCompile(`^[!-~]{1,128}$`)
	kindPattern  = regexp.MustCompile(`^(language|plain)$`)
)

const (
	hashDescription  = "SHA-256 hashes of 64 hex digits (pondctl hash-key prints one)"
	pathDescription  = "path prefixes that start with /"
	modelDescription = "1 to 128 printable characters without spaces"
	kindDescription  = "language or plain"
)

// Keys returns all keys in display order. The caller must not modify the slice.
func Keys() []*Key { return keys }

// LookupKey returns the key with the given name.
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
	rootKey(list("operator_key_hashes", RootLevel, hashPattern, hashDescription,
		"hashes of the tokens that the admin address accepts"),
		func(s *Snapshot, v Value) { s.OperatorKeyHashes = v.List }),
	rootKey(duration("address_ttl", RootLevel, 5*time.Second, time.Second, time.Minute,
		"how long a caller may keep the directory's answer"),
		func(s *Snapshot, v Value) { s.AddressTTL = v.Duration }),

	serviceKey(required(text("kind", ServiceLevel, kindPattern, kindDescription,
		"language: a model whose replicas are groups of VMs; plain: an HTTP service")),
		func(s *Service, v Value) { s.Kind = ServiceKind(v.Text) }),
	serviceKey(text("model", ServiceLevel, modelPattern, modelDescription,
		"the name that callers use; language services only"),
		func(s *Service, v Value) { s.Model = v.Text }),
	serviceKey(text("model_version", ServiceLevel, modelPattern, modelDescription,
		"what engines load; a change is rolled out group by group"),
		func(s *Service, v Value) { s.ModelVersion = v.Text }),
	serviceKey(integer("group_size", serviceLevels, 1, 1, 64,
		"VMs of a replica, all of one fabric domain"),
		func(s *Service, v Value) { s.GroupSize = int(v.Integer) }),
	serviceKey(integer("replicas", serviceLevels, 1, 0, 10_000,
		"replicas wanted"),
		func(s *Service, v Value) { s.Replicas = int(v.Integer) }),
	serviceKey(integer("spares", serviceLevels, 0, 0, 1_000,
		"free VMs kept for replacing members"),
		func(s *Service, v Value) { s.Spares = int(v.Integer) }),
	serviceKey(number("downtime_weight", serviceLevels, 1, 0, 1e6,
		"cost of a second of a missing replica"),
		func(s *Service, v Value) { s.DowntimeWeight = v.Number }),
	serviceKey(number("stranded_weight", serviceLevels, 1, 0, 1e6,
		"cost of an accelerator-second outside any serving group"),
		func(s *Service, v Value) { s.StrandedWeight = v.Number }),
	serviceKey(duration("request_timeout", serviceLevels, time.Minute, 10*time.Millisecond, time.Hour,
		"deadline of a request whose caller names none"),
		func(s *Service, v Value) { s.RequestTimeout = v.Duration }),
	serviceKey(duration("max_request_timeout", serviceLevels, 10*time.Minute, 10*time.Millisecond, 24*time.Hour,
		"the longest deadline that a caller may name"),
		func(s *Service, v Value) { s.MaxRequestTimeout = v.Duration }),
	serviceKey(duration("queue_timeout", serviceLevels, 5*time.Second, time.Millisecond, time.Hour,
		"the longest wait in a queue; a request that would wait longer is refused at once"),
		func(s *Service, v Value) { s.QueueTimeout = v.Duration }),
	serviceKey(duration("drain_timeout", serviceLevels, 10*time.Minute, time.Second, 24*time.Hour,
		"how long a draining group waits for requests in progress"),
		func(s *Service, v Value) { s.DrainTimeout = v.Duration }),
	serviceKey(duration("first_token", serviceLevels, 640*time.Millisecond, time.Millisecond, time.Minute,
		"objective for the first token; the concurrency limit adapts to it"),
		func(s *Service, v Value) { s.FirstTokenObjective = v.Duration }),
	serviceKey(duration("token_gap", serviceLevels, 79*time.Millisecond, time.Millisecond, time.Minute,
		"objective for the time between tokens; the concurrency limit adapts to it"),
		func(s *Service, v Value) { s.TokenGapObjective = v.Duration }),
	serviceKey(integer("max_concurrency", serviceLevels, 64, 1, 10_000,
		"cap on the requests at work on one group"),
		func(s *Service, v Value) { s.MaxConcurrency = int(v.Integer) }),
	serviceKey(integer("max_body_bytes", serviceLevels, 1<<20, 1, 64<<20,
		"the largest request body"),
		func(s *Service, v Value) { s.MaxBodyBytes = v.Integer }),
	serviceKey(list("unrepeatable", ServiceLevel, pathPattern, pathDescription,
		"paths whose calls may not be repeated, whatever their method"),
		func(s *Service, v Value) { s.Unrepeatable = v.List }),
	serviceKey(list("repeatable", ServiceLevel, pathPattern, pathDescription,
		"paths whose calls may be repeated, whatever their method"),
		func(s *Service, v Value) { s.Repeatable = v.List }),
	serviceKey(boolean("checks_fence", serviceLevels,
		"the engines refuse an order with an old fencing number"),
		func(s *Service, v Value) { s.ChecksFence = v.Bool }),
	serviceKey(boolean("can_resume", serviceLevels,
		"the engines resume a stream at an offset"),
		func(s *Service, v Value) { s.CanResume = v.Bool }),
	serviceKey(integer("loads_per_minute", serviceLevels, 60, 1, 100_000,
		"members loaded a minute, below the weight store's rate"),
		func(s *Service, v Value) { s.LoadsPerMinute = int(v.Integer) }),
	serviceKey(duration("attempt_retention", serviceLevels, 24*time.Hour, time.Minute, 30*24*time.Hour,
		"how long the record of an unrepeatable request is kept"),
		func(s *Service, v Value) { s.AttemptRetention = v.Duration }),

	teamKey(required(list("key_hashes", TeamLevel, hashPattern, hashDescription,
		"hashes of the team's bearer keys")),
		func(t *Team, v Value) { t.KeyHashes = v.List }),
	teamKey(number("share", teamLevels, 1, 0, 1_000,
		"weight in the fair queue; a team with 0 is served when no other waits"),
		func(t *Team, v Value) { t.Share = v.Number }),
	teamKey(integer("priority", teamLevels, 5, 0, 9,
		"handed to the engines, 0 lowest"),
		func(t *Team, v Value) { t.Priority = int(v.Integer) }),
	teamKey(list("services", teamLevels, nodeNamePattern, "names of services, each "+nodeNameDescription,
		"the services that the team may call; empty: all"),
		func(t *Team, v Value) { t.Services = v.List }),
}

func text(name string, levels Level, pattern *regexp.Regexp, patternDescription, doc string) *Key {
	return &Key{
		Name: name, Kind: TextValue, Levels: levels, pattern: pattern, patternDescription: patternDescription, Doc: doc,
		Default: Value{Kind: TextValue},
	}
}

func list(name string, levels Level, pattern *regexp.Regexp, patternDescription, doc string) *Key {
	return &Key{
		Name: name, Kind: ListValue, Levels: levels, pattern: pattern, patternDescription: patternDescription, Doc: doc,
		Default: Value{Kind: ListValue},
	}
}

func integer(name string, levels Level, defaultValue, minimum, maximum int64, doc string) *Key {
	return &Key{
		Name: name, Kind: IntegerValue, Levels: levels, Min: float64(minimum), Max: float64(maximum), Doc: doc,
		Default: Value{Kind: IntegerValue, Integer: defaultValue},
	}
}

func number(name string, levels Level, defaultValue, minimum, maximum float64, doc string) *Key {
	return &Key{
		Name: name, Kind: NumberValue, Levels: levels, Min: minimum, Max: maximum, Doc: doc,
		Default: Value{Kind: NumberValue, Number: defaultValue},
	}
}

func duration(name string, levels Level, defaultValue, minimum, maximum time.Duration, doc string) *Key {
	return &Key{
		Name: name, Kind: DurationValue, Levels: levels, Min: float64(minimum), Max: float64(maximum), Doc: doc,
		Default: Value{Kind: DurationValue, Duration: defaultValue},
	}
}

func boolean(name string, levels Level, doc string) *Key {
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

// Constraint describes the values that the key accepts.
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
		return "a list of " + k.patternDescription
	}
	return "text in quotes: " + k.patternDescription
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

// rangeProblem describes why a value of the right type is out of range or malformed. It returns "" if the
// value is valid.
func (k *Key) rangeProblem(v Value) string {
	switch k.Kind {
	case IntegerValue:
		return k.boundsProblem(float64(v.Integer), v)
	case NumberValue:
		return k.boundsProblem(v.Number, v)
	case DurationValue:
		return k.boundsProblem(float64(v.Duration), v)
	case TextValue:
		if !k.pattern.MatchString(v.Text) {
			return fmt.Sprintf("%s has the wrong form", describe(v.Text))
		}
	case ListValue:
		return k.listProblem(v.List)
	}
	return ""
}

func (k *Key) boundsProblem(n float64, v Value) string {
	if n >= k.Min && n <= k.Max {
		return ""
	}
	return v.String() + " is out of range"
}

func (k *Key) listProblem(items []string) string {
	for i, item := range items {
		if !k.pattern.MatchString(item) {
			return fmt.Sprintf("%s has the wrong form", describe(item))
		}
		if slices.Contains(items[:i], item) {
			return fmt.Sprintf("%s stands twice", describe(item))
		}
	}
	return ""
}

// keyNamesAt returns the names of the keys that may be set at a level, separated by commas, for messages.
func keyNamesAt(level Level) string {
	var names []string
	for _, key := range keys {
		if key.Levels&level != 0 {
			names = append(names, key.Name)
		}
	}
	return strings.Join(names, ", ")
}
