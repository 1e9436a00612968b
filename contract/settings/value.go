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

// ValueKind is the type of a value.
type ValueKind uint8

// The types.
const (
	TextValue ValueKind = iota + 1
	IntegerValue
	NumberValue
	DurationValue
	BoolValue
	ListValue
)

// Value is one typed value of a node. Kind says which field holds it.
type Value struct {
	Kind     ValueKind
	Text     string
	Integer  int64
	Number   float64
	Duration time.Duration
	Bool     bool
	List     []string
}

// Values are the values that a node sets itself, by key.
type Values map[string]Value

// Equal compares values by what they say; an empty list equals a missing one.
func (v Value) Equal(other Value) bool {
	return v.Kind == other.Kind && v.Text == other.Text && v.Integer == other.Integer &&
		v.Number == other.Number && v.Duration == other.Duration && v.Bool == other.Bool &&
		slices.Equal(v.List, other.List)
}

// Equal says whether both set the same keys to the same values.
func (v Values) Equal(other Values) bool {
	if len(v) != len(other) {
		return false
	}
	for key, value := range v {
		if theirs, ok := other[key]; !ok || !value.Equal(theirs) {
			return false
		}
	}
	return true
}

// String is the value as it would stand in a declaration.
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

// Native is the value as a Go string, number, bool or list, as YAML and JSON write it.
func (v Value) Native() any {
	switch v.Kind {
	case IntegerValue:
		return v.Integer
	case NumberValue:
		return v.Number
	case BoolValue:
		return v.Bool
	case ListValue:
		return append([]string{}, v.List...) // never nil: null would be read back as a missing value
	}
	return v.String()
}

// MarshalJSON writes the value plainly; its key tells the type to the reader.
func (v Value) MarshalJSON() ([]byte, error) { return json.Marshal(v.Native()) }

// UnmarshalJSON reads values by the types of their keys; at which level they may stand it doesn't check.
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

// decode reads raw, as a YAML or JSON decoder returns it, as a value of the key's type and range. The
// fault has Problem and Want set.
func (k *Key) decode(raw any) (Value, *Fault) {
	value, problem := k.typed(raw)
	if problem == "" {
		problem = k.outside(value)
	}
	if problem != "" {
		return Value{}, &Fault{Key: k.Name, Problem: problem, Expected: k.Constraint()}
	}
	return value, nil
}

func (k *Key) typed(raw any) (value Value, problem string) {
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
		whole, err := n.Int64()
		return whole, err == nil
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

const describedBytes = 80

// describe shows what was found, with its type, shortened.
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
	if len(text) > describedBytes {
		text = strings.ToValidUTF8(text[:describedBytes], "") + "..."
	}
	return text
}
