package pondctl_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/platform/standin/operator"
	"github.com/skylarkpond/skylarkpond/pondctl"
)

var _ = Describe("pondctl check-config", func() {
	// A pipeline that sends configurations decides by the exit code. A wrong one would send what entries can't serve.
	It("reports errors, warnings and changes, and tells them apart by its exit code", func() {
		dir := GinkgoT().TempDir()
		write := func(name string, version int, change func(*operator.Config)) string {
			config := operator.Config{
				Version: version, Limits: operator.Limits{BodyBytes: 1 << 20},
				Routes:   []operator.Route{{Name: "book", Host: "h", PathPrefix: "/", Kind: operator.NonIdempotent, Service: "desk", Timeout: 900}},
				Services: []operator.Service{{Name: "desk"}}, Teams: []operator.Team{{Name: "one", Keys: []string{"secret-1", "secret-2"}}},
			}
			change(&config)
			text, err := json.MarshalIndent(config, "", " ")
			Expect(err).NotTo(HaveOccurred())
			path := filepath.Join(dir, name)
			Expect(os.WriteFile(path, text, 0o600)).To(Succeed())
			return path
		}
		old := write("old.json", 3, func(*operator.Config) {})
		next := write("next.json", 4, func(c *operator.Config) { c.Routes[0].Timeout, c.Teams[0].Keys = 800, []string{"secret-2"} })
		wrong := write("wrong.json", 3, func(c *operator.Config) { c.Routes[0].Service = "dsk" })
		broken := filepath.Join(dir, "broken.json")
		Expect(os.WriteFile(broken, []byte("{\n\"a\":}"), 0o600)).To(Succeed())

		out := expectOK("check-config", "--against", old, next)
		Expect(out).To(MatchRegexp(`(?m)next.json:\d+: warning: .* is 0 or not set: entries use a limit of their own$`))
		Expect(out).To(MatchRegexp(`(?m)next.json:\d+: ~ routes\["book"\]\.\w+: 900ms -> 800ms$`))
		text, err := os.ReadFile(old)
		Expect(err).NotTo(HaveOccurred())
		line := 1 + strings.Count(string(text[:bytes.Index(text, []byte("secret-1"))]), "\n")
		Expect(out).To(MatchRegexp(`(?m)old.json:%d: - tenants\["one"\]\.\w+\[0\]$`, line))
		Expect(out).To(SatisfyAll(ContainSubstring("\n0 errors, 1 warnings\n"), ContainSubstring("not judged: "), Not(ContainSubstring("secret"))))
		code, _, _ := run("check-config", "--strict", next)
		Expect(code).To(Equal(pondctl.ExitWarnings))
		code, out, _ = run("check-config", "--against", old, "--json", wrong)
		Expect(code).To(Equal(pondctl.ExitRefused))
		var result struct {
			Errors   int
			Findings []struct{ Severity, Problem string }
		}
		Expect(json.Unmarshal([]byte(out), &result)).To(Succeed())
		Expect(result.Errors).To(Equal(2))
		Expect(result.Findings).To(ContainElements(HaveField("Problem", `there is no service "dsk"`), HaveField("Problem", ContainSubstring("the version in force"))))
		code, _, progress := run("check-config", broken)
		Expect(code).To(Equal(pondctl.ExitUnusable))
		Expect(progress).To(ContainSubstring("broken.json:2: not JSON"))
		for _, against := range []string{broken, filepath.Join(dir, "none.json")} {
			code, _, _ = run("check-config", "--against", against, next)
			Expect(code).To(Equal(pondctl.ExitUnusable))
		}
	})
})
