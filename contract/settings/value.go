package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// ValueKind is the data type of a value.
type ValueKind uint8

// The data types.
const (
	TextValue ValueKind = iota + 1
	IntegerValue
	NumberValue
	DurationValue
	BoolValue
	ListValue
)

// Value is a typed setting value. Kind determines which of the other fields holds it.
type Value struct {
	Kind     ValueKind
	Text     string
	Integer  int64
	Number   float64
	Duration time.Duration
	Bool     bool
	List     []string
}

// Values holds the values that a node itself sets, by key. Inherited values are not included.
type Values map[string]Value

// Equal reports whether v and other have the same kind and value. A nil list equals an empty one.
func (v Value) Equal(other Value) bool {
	return v.Kind == other.Kind && v.Text == other.Text && v.Integer == other.Integer &&
		v.Number == other.Number && v.Duration == other.Duration && v.Bool == other.Bool &&
		slices.Equal(v.List, other.List)
}

// Equal reports whether v and other set the same keys to equal values.
func (v Values) Equal(other Values) bool {
	if len(v) != len(other) {
		return false
	}
	for key, value := range v {
		if otherValue, ok := other[key]; !ok || !value.Equal(otherValue) {
			return false
		}
	}
	return true
}

// String formats the value as it is written in a declaration.
func (v Value) String() string {
	switch v.Kind {
	case IntegerValue:
		return strconv.FormatInt(v.Integer, 10)
	case NumberValue:
		return strconv.FormatFloat(v.Number, 'g', -1, 64)
	case DurationValue:
		return v.Duration.String()
	case BoolValue:
		return strconv.FormatBool(v.Bool)
	case ListValue:
		return "[" + strings.Join(v.List, ", ") + "]"
	}
	return v.Text
}

// Native returns the value as the Go string, number, bool or slice that YAML and JSON encode. Durations
// become strings.
func (v Value) Native() any {
	switch v.Kind {
	case IntegerValue:
		return v.Integer
	case NumberValue:
		return v.Number
	case BoolValue:
		return v.Bool
	case ListValue:
		return append([]string{}, v.List...) // never nil: a null would be read back as a missing value
	}
	return v.String()
}

// MarshalJSON encodes the value without its kind, which a reader derives from the key.
func (v Value) MarshalJSON() ([]byte, error) { return json.Marshal(v.Native()) }

// UnmarshalJSON decodes each value by the type of its key. It does not check at which levels the keys may
// be set.
func (v *Values) UnmarshalJSON(data []byte) error {
	var raw map[string]any
	if err := decodeStrict(data, &raw); err != nil {
		return err
	}
	values := make(Values, len(raw))
	var faults Faults
	for name, item := range raw {
		value, fault := parseValue(anyLevel, name, item)
		if fault != nil {
			faults = append(faults, *fault)
		}
		values[name] = value
	}
	*v = values
	return faults.err()
}

// decode converts raw, as returned by a YAML or JSON decoder, to a value of the key's type and checks its
// range. The fault has only Key, Problem and Expected set.
func (k *Key) decode(raw any) (Value, *Fault) {
	value, problem := k.convert(raw)
	if problem == "" {
		problem = k.rangeProblem(value)
	}
	if problem != "" {
		return Value{}, &Fault{Key: k.Name, Problem: problem, Expected: k.Constraint()}
	}
	return value, nil
}

// convert converts raw to the key's type without checking its range. The problem is empty on success.
func (k *Key) convert(raw any) (value Value, problem string) {
	value.Kind = k.Kind
	ok := false
	switch k.Kind {
	case TextValue:
		value.Text, ok = raw.(string)
	case IntegerValue:
		value.Integer, ok = toInteger(raw)
	case NumberValue:
		value.Number, ok = toNumber(raw)
	case BoolValue:
		value.Bool, ok = raw.(bool)
	case DurationValue:
		text, isText := raw.(string)
		duration, err := time.ParseDuration(text)
		value.Duration, ok = duration, isText && err == nil
	case ListValue:
		value.List, ok = toList(raw)
	}
	if !ok {
		return Value{}, "wrong type: " + describe(raw)
	}
	return value, ""
}

func toInteger(raw any) (int64, bool) {
	switch n := raw.(type) {
	case int:
		return int64(n), true
	case int64:
		return n, true
	case json.Number:
		integer, err := n.Int64()
		return integer, err == nil
	}
	return 0, false
}

func toNumber(raw any) (float64, bool) {
	switch n := raw.(type) {
	case int:
		return float64(n), true
	case int64:
		return float64(n), true
	case float64:
		return n, !math.IsNaN(n) && !math.IsInf(n, 0)
	case json.Number:
		number, err := n.Float64()
		return number, err == nil
	}
	return 0, false
}

func toList(raw any) ([]string, bool) {
	items, ok := raw.([]any)
	if !ok {
		return nil, false
	}
	list := make([]string, 0, len(items))
	for _, item := range items {
		text, ok := item.(string)
		if !ok {
			return nil, false
		}
		list = append(list, text)
	}
	return list, true
}

// maxDescriptionBytes bounds the text of a bad value that a fault quotes.
const maxDescriptionBytes = 80

// describe formats a decoded value with its type for a message, truncated to maxDescriptionBytes.
func describe(raw any) string {
	var text string
	switch r := raw.(type) {
	case nil:
		return "empty"
	case string:
		text = fmt.Sprintf("the text %q", r)
	case []any:
		text = fmt.Sprintf("the list %v", r)
	case map[string]any:
		return "a mapping"
	case bool:
		text = fmt.Sprintf("the flag %v", r)
	default:
		text = fmt.Sprintf("the number %v", r)
	}
	if len(text) > maxDescriptionBytes {
		text = strings.ToValidUTF8(text[:maxDescriptionBytes], "") + "..."
	}
	return text
}
