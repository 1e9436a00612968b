package contract_test

import (
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/contract"
)

func TestContract(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "contract")
}

// Two fields of a message get the same key, or one gets none, and its value silently stays behind: a home
// that never hears which claims are renounced calls requests unknown that did not run.
var _ = DescribeTable("every field of a message reaches the other side",
	func(message any) {
		sent := reflect.New(reflect.TypeOf(message))
		fill(sent.Elem())
		encoded, err := cbor.Marshal(sent.Interface())
		Expect(err).NotTo(HaveOccurred())
		got := reflect.New(reflect.TypeOf(message))
		Expect(cbor.Unmarshal(encoded, got.Interface())).To(Succeed())
		Expect(got.Interface()).To(Equal(sent.Interface()))
	},
	Entry("Dispatch", contract.Dispatch{}),
	Entry("Frame", contract.Frame{}),
)

// fill gives every field a value other than its zero.
func fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		v.SetString("x")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(7)
	case reflect.Uint8, reflect.Uint64:
		v.SetUint(7)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0))
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key)
		fill(value)
		v.SetMapIndex(key, value)
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i))
		}
	}
}
