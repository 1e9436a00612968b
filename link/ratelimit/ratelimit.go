// Package ratelimit decodes the limits of requests that backend servers state in the headers of their responses.
package ratelimit

import (
	"regexp"
	"strconv"
	"strings"
)

const (
	// maxPerSecond is the largest limit that counts as valid, in requests a second, and maxQuoted the number of bytes of an invalid one that are
	// returned.
	maxPerSecond = 1e6
	maxQuoted    = 64
)

// decimal matches a decimal number without a sign or an exponent.
var decimal = regexp.MustCompile(`^[0-9]+(\.[0-9]+)?$`)

// Decode returns the lowest of the limits in the values of a header, in requests a second; nil if there is none. If one of them can't be read, it
// returns that one as well, quoted. A response with a limit that can't be read states nothing by it.
func Decode(values []string) (limit *float64, invalid string) {
	for _, text := range values {
		text = strings.TrimSpace(text)
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || !decimal.MatchString(text) || value > maxPerSecond {
			invalid = strconv.Quote(text[:min(len(text), maxQuoted)])
			continue
		}
		if limit == nil || value < *limit {
			limit = &value
		}
	}
	return limit, invalid
}
