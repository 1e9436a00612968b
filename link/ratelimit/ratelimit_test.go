package ratelimit_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/link/ratelimit"
)

func TestRateLimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rate limits in headers")
}

var _ = Describe("Decode", func() {
	limit := func(value float64) *float64 { return &value }
	// A limit that can't be read must neither stop the process nor lift one that is in force.
	DescribeTable("reads decimal numbers alone", func(expected *float64, isInvalid bool, values ...string) {
		got, invalid := ratelimit.Decode(values)
		Expect(got).To(Equal(expected))
		Expect(invalid != "").To(Equal(isInvalid))
	},
		Entry("none", nil, false),
		Entry("a whole number", limit(2), false, "2"),
		Entry("a fraction, with spaces", limit(0.25), false, " 0.25 "),
		Entry("zero", limit(0), false, "0"),
		Entry("the lower of two", limit(1), false, "2", "1"),
		Entry("one of two that can be read", limit(2), true, "abc", "2"),
		Entry("empty", nil, true, ""),
		Entry("no number", nil, true, "abc"),
		Entry("negative", nil, true, "-1"),
		Entry("not a number", nil, true, "NaN"),
		Entry("infinite", nil, true, "Inf"),
		Entry("out of range", nil, true, "1e400"),
		Entry("an exponent", nil, true, "1e1"),
		Entry("hexadecimal", nil, true, "0x2"),
		Entry("two in one", nil, true, "2, 3"),
		Entry("in the millions", nil, true, "5000000"),
		Entry("very long", nil, true, strings.Repeat("9", 5000)),
	)
})
