package lint

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/skylarkpond/skylarkpond/contract/route"
)

// Action is what a change does to a value.
type Action string

// The actions.
const (
	Add    Action = "add"
	Modify Action = "change"
	Remove Action = "remove"
)

// Change is one difference between two configurations.
type Change struct {
	Action Action
	// Path leads to the value in the later configuration; in the earlier one if Action is Remove.
	Path string
	// Was and Now are the values; empty for whole routes, services and models, and for keys, which are secret.
	Was, Now string
}

// Compare returns what next changes in the configuration in force, with entries of lists matched by name. A version that is not higher is a finding:
// gateways never go back to one.
func Compare(inForce, next route.Config) ([]Change, []Finding) {
	var d comparison
	d.compare("", "", reflect.ValueOf(inForce), reflect.ValueOf(next))
	var c checker
	c.errorIf(next.Version <= inForce.Version, ".Version", "%d is not above %d, the version in force, which stays", next.Version, inForce.Version)
	return d.changes, c.findings
}

type comparison struct{ changes []Change }

func (d *comparison) add(action Action, path, was, now string) {
	d.changes = append(d.changes, Change{Action: action, Path: path, Was: was, Now: now})
}

func (d *comparison) compare(wasAt, nowAt string, was, now reflect.Value) {
	switch kind := was.Kind(); {
	case kind == reflect.Pointer && was.IsNil() && now.IsNil():
	case kind == reflect.Pointer && was.IsNil():
		d.add(Add, nowAt, "", format(nowAt, now.Elem()))
	case kind == reflect.Pointer && now.IsNil():
		d.add(Remove, wasAt, format(wasAt, was.Elem()), "")
	case kind == reflect.Pointer:
		d.compare(wasAt, nowAt, was.Elem(), now.Elem())
	case kind == reflect.Struct:
		for i := range was.NumField() {
			name := "." + was.Type().Field(i).Name
			d.compare(wasAt+name, nowAt+name, was.Field(i), now.Field(i))
		}
	case kind == reflect.Slice:
		d.compareLists(wasAt, nowAt, was, now)
	case !was.Equal(now):
		d.add(Modify, nowAt, format(wasAt, was), format(nowAt, now))
	}
}

func (d *comparison) compareLists(wasAt, nowAt string, was, now reflect.Value) {
	kept := make(map[string]int) // index in was
	for i := range was.Len() {
		kept[identify(was.Index(i))] = i
	}
	matched := make(map[int]bool)
	for i := range now.Len() {
		at := element(nowAt, i)
		if j, found := kept[identify(now.Index(i))]; found && !matched[j] {
			matched[j] = true
			d.compare(element(wasAt, j), at, was.Index(j), now.Index(i))
		} else {
			d.add(Add, at, "", format(at, now.Index(i)))
		}
	}
	for i := range was.Len() {
		if at := element(wasAt, i); !matched[i] {
			d.add(Remove, at, format(at, was.Index(i)), "")
		}
	}
}

func format(path string, value reflect.Value) string {
	switch shown := value.Interface().(type) {
	case route.Team:
		return fmt.Sprintf("%d keys", len(shown.Keys))
	case route.Target:
		return fmt.Sprintf("%q, weight %g", shown.Service, shown.Weight)
	case string:
		if strings.Contains(path, ".Keys[") {
			return ""
		}
		return fmt.Sprintf("%q", shown)
	}
	if value.Kind() == reflect.Struct {
		return ""
	}
	return fmt.Sprint(value.Interface())
}
