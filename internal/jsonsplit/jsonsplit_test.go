package jsonsplit_test

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"github.com/skylarkpond/skylarkpond/internal/jsonsplit"
)

func elements(text string) (found []string, err error) {
	err = jsonsplit.Elements([]byte(text), func(element []byte) { found = append(found, string(element)) })
	return found, err
}

func TestElements(t *testing.T) {
	for _, test := range []struct {
		text string
		want []string
		ok   bool
	}{
		{`[]`, nil, true},
		{" [ ] \n", nil, true},
		{`[1]`, []string{`1`}, true},
		{"[ 1 ,\t\"a\",null]", []string{`1`, `"a"`, `null`}, true},
		{`["]","\"]","\\",{"}":"{"}]`, []string{`"]"`, `"\"]"`, `"\\"`, `{"}":"{"}`}, true},
		{`[[[]],{"a":[{}]}]`, []string{`[[]]`, `{"a":[{}]}`}, true},
		{``, nil, false},
		{`{}`, nil, false},
		{`[`, nil, false},
		{`[1`, nil, false},
		{`[1,`, nil, false},
		{`[1,]`, nil, false},
		{`[,1]`, nil, false},
		{`[1 2]`, nil, false},
		{`["a]`, nil, false},
		{`["\`, nil, false},
		{`[[]`, nil, false},
		{`[]]`, nil, false},
		{`[1:2]`, nil, false},
		{`[1}`, nil, false},
	} {
		found, err := elements(test.text)
		if (err == nil) != test.ok || test.ok && !slices.Equal(found, test.want) {
			t.Errorf("%s: %q, %v", test.text, found, err)
		}
	}
}

func TestFields(t *testing.T) {
	for _, test := range []struct {
		text string
		want []string
		ok   bool
	}{
		{`{}`, nil, true},
		{` { "a" : 1 , "b":{"c":2}, "a":"}" } `, []string{`a=1`, `b={"c":2}`, `a="}"`}, true},
		{`{"\u0061\"":[]}`, []string{`a"=[]`}, true},
		{``, nil, false},
		{`[]`, nil, false},
		{`null`, nil, false},
		{`{`, nil, false},
		{`{"a"`, nil, false},
		{`{"a":`, nil, false},
		{`{"a":1`, nil, false},
		{`{"a":1,}`, nil, false},
		{`{a:1}`, nil, false},
		{`{"a" 1}`, nil, false},
		{`{"\x":1}`, nil, false},
		{`{} {}`, nil, false},
		{`{"a":}`, nil, false},
	} {
		var found []string
		err := jsonsplit.Fields([]byte(test.text), func(name string, value []byte) { found = append(found, name+"="+string(value)) })
		if (err == nil) != test.ok || test.ok && !slices.Equal(found, test.want) {
			t.Errorf("%s: %q, %v", test.text, found, err)
		}
	}
}

// A value nested deeper than encoding/json decodes must not hide the values beside it.
func TestDeepNesting(t *testing.T) {
	deep := strings.Repeat(`{"a":[`, 1<<20) + strings.Repeat(`]}`, 1<<20)
	found, err := elements("[1," + deep + ",2]")
	if err != nil || len(found) != 3 || found[2] != "2" {
		t.Errorf("%d elements, %v", len(found), err)
	}
}

// FuzzElements compares with encoding/json, whose lists must be split in the same way.
func FuzzElements(f *testing.F) {
	for _, text := range []string{`[]`, `[1,"a",null,{"b":[true]}]`, `["\"]",[[]]]`, `[1,]`, `[`} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		found, err := elements(text)
		var want []json.RawMessage
		if json.Unmarshal([]byte(text), &want) != nil || want == nil {
			return
		}
		if err != nil || !slices.EqualFunc(found, want, func(a string, b json.RawMessage) bool { return a == string(b) }) {
			t.Errorf("%q: %q, %v; want %q", text, found, err, want)
		}
	})
}
