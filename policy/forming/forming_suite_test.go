package forming_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestForming(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "forming")
}
