// Package test holds the failure tests over separate processes: real entries, a stand-in platform and
// stand-in backend servers, which are killed, frozen, cut off and stopped while callers are served. What
// ran is judged by the backend servers' own logs and by the platform's history, never by what the entries
// say of themselves.
package test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

// The paths of the binaries, which the suite builds.
var skylarkpond, pondctlBinary string

func TestFailures(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Failures over separate processes")
}

var _ = BeforeSuite(func() {
	var err error
	skylarkpond, err = gexec.Build("github.com/skylarkpond/skylarkpond/cmd/skylarkpond")
	Expect(err).NotTo(HaveOccurred())
	pondctlBinary, err = gexec.Build("github.com/skylarkpond/skylarkpond/cmd/pondctl")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gexec.CleanupBuildArtifacts)
})
