// Package retryafter decodes the Retry-After header of backend servers' responses.
package retryafter

import (
	"regexp"
	"strconv"
	"strings"
	"time"
)

const (
	// Max bounds what a header states: a server that asks for longer is replaced or restarted before.
	Max = 24 * time.Hour
	// maxQuoted is the number of bytes of an invalid value that are returned.
	maxQuoted = 64
)

// seconds matches a decimal number without a sign or an exponent. Dates are not accepted: the clocks of servers and entries differ.
var seconds = regexp.MustCompile(`^[0-9]+(\.[0-9]*)?$`)

// Decode returns the longest of the times in the values of a header, in which seconds may have a fractional part; 0 if there is none. If a value
// can't be read, it returns that one as well, quoted.
func Decode(values []string) (after time.Duration, invalid string) {
	for _, text := range values {
		text = strings.TrimSpace(text)
		if !seconds.MatchString(text) {
			invalid = strconv.Quote(text[:min(len(text), maxQuoted)])
			continue
		}
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || value > Max.Seconds() {
			value = Max.Seconds() // digits alone are out of range only if there are too many
		}
		after = max(after, time.Duration(value*float64(time.Second)))
	}
	return after, invalid
}
