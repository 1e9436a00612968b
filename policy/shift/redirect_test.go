package shift

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = DescribeTable("The entry to ask for the home of a group", func(query HomeQuery, next string) {
	name, ok := query.Next()
	Expect(name).To(Equal(next))
	Expect(ok).To(Equal(next != ""))
},
	Entry("is the computed one first", HomeQuery{Computed: "a", Ranked: []string{"b", "a"}}, "a"),
	Entry("is the best live one if none can be computed", HomeQuery{Ranked: []string{"b", "a"}}, "b"),
	Entry("is the one that the refusal names", HomeQuery{Computed: "a", Named: "c", Ranked: []string{"b"}, Asked: []string{"a"}}, "c"),
	Entry("is the best one that was not asked", HomeQuery{Computed: "a", Named: "a", Ranked: []string{"a", "b"}, Asked: []string{"a"}}, "b"),
	Entry("is none if all were asked", HomeQuery{Computed: "a", Named: "b", Ranked: []string{"a", "b"}, Asked: []string{"a", "b"}}, ""),
	Entry("is none after MaxAsked", HomeQuery{Computed: "a", Named: "e", Ranked: []string{"f"}, Asked: []string{"a", "b", "c", "d"}}, ""),
)

var _ = DescribeTable("A front that a home does not know", func(joining bool, tried time.Duration, again bool) {
	pause, ok := AwaitIntroduction(joining, tried)
	Expect(ok).To(Equal(again))
	Expect(tried + pause).To(BeNumerically("<=", max(tried, MaxIntroduction)))
},
	Entry("tries again while it is joining", true, time.Duration(0), true),
	Entry("tries again until MaxIntroduction", true, MaxIntroduction-introductionPause, true),
	Entry("gives up after MaxIntroduction", true, MaxIntroduction, false),
	Entry("gives up if it is not joining", false, time.Duration(0), false),
)

var _ = DescribeTable("A front that no entry has served as the home", func(age time.Duration, noHomeKnown bool, waited time.Duration, again bool) {
	pause, ok := AwaitAgreement(age, noHomeKnown, waited)
	Expect(ok).To(Equal(again))
	Expect(waited + pause).To(BeNumerically("<=", max(waited, MaxAgreement)))
},
	Entry("asks again if its own view has just changed", 10*time.Millisecond, false, time.Duration(0), true),
	Entry("asks again if an entry that it asked knows no home", time.Hour, true, time.Duration(0), true),
	Entry("gives up if all views are settled", settledAge, false, time.Duration(0), false),
	Entry("gives up when it has waited for long", time.Duration(0), true, MaxAgreement, false),
)
