package contract

import (
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// Guards against giving two fields of a message the same CBOR key. Such fields are dropped without an error, so that
// a suspected request would run as an ordinary one, or an abandoned claim would block its key.
func TestMessagesSurviveEncoding(t *testing.T) {
	for _, message := range []any{&Dispatch{}, &Frame{}, &AttemptRecord{}, &Problem{}, &GroupLoad{}, &StoredAnswer{}} {
		fill(reflect.ValueOf(message).Elem())
		encoded, err := cbor.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		got := reflect.New(reflect.TypeOf(message).Elem())
		if err := cbor.Unmarshal(encoded, got.Interface()); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got.Interface(), message) {
			t.Errorf("%T: sent %+v, got %+v", message, message, got.Interface())
		}
	}
}

// fill sets every field to a non-zero value.
func fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i))
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0))
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		value := reflect.New(v.Type().Elem()).Elem()
		fill(value)
		v.SetMapIndex(reflect.ValueOf("Key").Convert(v.Type().Key()), value)
	case reflect.String:
		v.SetString("x")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(7)
	case reflect.Uint8, reflect.Uint64:
		v.SetUint(7)
	}
}
