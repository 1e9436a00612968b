// Package lint checks the operators' configuration before it is sent: for what entries can't serve as it is written, for what is without effect,
// and for values that contradict each other. It also lists what one version changes in another.
package lint

import (
	"fmt"
	"reflect"
	"time"

	"github.com/skylarkpond/skylarkpond/contract/route"
)

// Severity says how bad a finding is.
type Severity string

// The severities.
const (
	// Error is for what entries reject, or would not serve as it is written.
	Error Severity = "error"
	// Warning is for what is without effect, and for values that contradict each other.
	Warning Severity = "warning"
)

// Finding is one problem of a configuration. Path leads to the value in a route.Config by the Go names of fields, such as .Routes[0].Timeout.
type Finding struct {
	Severity Severity
	Path     string
	Problem  string
}

// NotJudged lists what no check of a configuration can tell.
func NotJudged() []string {
	return []string{
		"whether services have servers, and fabric domains enough VMs for a group of each model",
		"whether the servers bear the demand",
		"whether servers take the slots, connections and cold rates that are stated here",
	}
}

// Check returns the problems of a configuration.
func Check(config route.Config) []Finding {
	c := &checker{config: config}
	c.checkValues("", reflect.ValueOf(config))
	c.checkRoutes()
	c.checkServices()
	c.checkTeams()
	limits := config.Limits
	c.warnIf(limits.BodyBytes == 0, ".Limits.BodyBytes", "is 0 or not set: entries use a limit of their own")
	c.warnIf(limits.HeaderBytes == 0, ".Limits.HeaderBytes", "is 0 or not set: entries use a limit of their own")
	c.warnIf(limits.IdleTimeout > 0 && limits.IdleTimeout < limits.HeaderTimeout, ".Limits.IdleTimeout",
		"%s is below the header time-out of %s", limits.IdleTimeout, limits.HeaderTimeout)
	return c.findings
}

type checker struct {
	config   route.Config
	findings []Finding
}

func (c *checker) errorIf(found bool, path, format string, args ...any) {
	if found {
		c.findings = append(c.findings, Finding{Severity: Error, Path: path, Problem: fmt.Sprintf(format, args...)})
	}
}

func (c *checker) warnIf(found bool, path, format string, args ...any) {
	if found {
		c.findings = append(c.findings, Finding{Severity: Warning, Path: path, Problem: fmt.Sprintf(format, args...)})
	}
}

// maxTime is above all times that a configuration has a use for. Longer ones are mistakes of the unit.
const maxTime = 24 * time.Hour

// checkValues checks the range of each number in v, and the names in each list.
func (c *checker) checkValues(path string, v reflect.Value) {
	duration, isDuration := v.Interface().(time.Duration)
	c.errorIf(isDuration && (duration < 0 || duration > maxTime), path, "is out of range: want 0 to %s", maxTime)
	c.errorIf(!isDuration && v.CanInt() && v.Int() < 0 || v.CanFloat() && v.Float() < 0, path, "is negative")
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			c.checkValues(path, v.Elem())
		}
	case reflect.Struct:
		for i := range v.NumField() {
			c.checkValues(path+"."+v.Type().Field(i).Name, v.Field(i))
		}
	case reflect.Slice:
		seen := make(map[string]bool)
		for i := range v.Len() {
			at, id := element(path, i), identify(v.Index(i))
			c.checkValues(at, v.Index(i))
			if v.Index(i).Kind() == reflect.Struct { // checkTeams checks keys
				_, target := v.Index(i).Interface().(route.Target)
				c.errorIf(id == "", at, "has no name, or names no service")
				c.errorIf(!target && id != "" && seen[id], at, "the name %q stands twice", id)
				c.warnIf(target && id != "" && seen[id], at, "service %q stands twice: its weights add up", id)
			}
			seen[id] = true
		}
	}
}

func element(path string, index int) string { return fmt.Sprintf("%s[%d]", path, index) }

// identify returns what identifies an element within its list. If it is a key it is secret.
func identify(element reflect.Value) string {
	switch value := element.Interface().(type) {
	case string:
		return value
	case route.Target:
		return value.Service
	}
	return element.FieldByName("Name").String()
}
