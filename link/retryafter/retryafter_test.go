package retryafter

import (
	"strings"
	"testing"
	"time"
)

func TestDecode(t *testing.T) {
	for _, test := range []struct {
		name    string
		values  []string
		after   time.Duration
		invalid string
	}{
		{"absent", nil, 0, ""},
		{"whole seconds", []string{"3"}, 3 * time.Second, ""},
		{"a fraction", []string{" 0.4 "}, 400 * time.Millisecond, ""},
		{"zero", []string{"0"}, 0, ""},
		{"the longest of several", []string{"1", "6", "2"}, 6 * time.Second, ""},
		{"a readable one beside others", []string{"abc", "2.5"}, 2500 * time.Millisecond, `"abc"`},
		{"too long", []string{"1000000"}, Max, ""},
		{"out of range", []string{strings.Repeat("9", 400)}, Max, ""},
		{"negative", []string{"-3"}, 0, `"-3"`},
		{"not a number", []string{"NaN"}, 0, `"NaN"`},
		{"an exponent", []string{"1e400"}, 0, `"1e400"`},
		{"infinite", []string{"Inf"}, 0, `"Inf"`},
		{"empty", []string{""}, 0, `""`},
		{"a date", []string{"Fri, 31 Dec 1999 23:59:59 GMT"}, 0, `"Fri, 31 Dec 1999 23:59:59 GMT"`},
		{"a long text", []string{strings.Repeat("x", 1000)}, 0, `"` + strings.Repeat("x", maxQuoted) + `"`},
	} {
		t.Run(test.name, func(t *testing.T) {
			after, invalid := Decode(test.values)
			if after != test.after || invalid != test.invalid {
				t.Errorf("Decode(%q) = %v, %s; want %v, %s", test.values, after, invalid, test.after, test.invalid)
			}
		})
	}
}
