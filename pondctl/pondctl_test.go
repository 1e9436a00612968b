package pondctl_test

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/contract/admin"
	"github.com/skylarkpond/skylarkpond/contract/settings"
	"github.com/skylarkpond/skylarkpond/pondctl"
	"github.com/skylarkpond/skylarkpond/timeline"
)

const (
	chat = settings.Path("/places/local/services/chat")
	desk = settings.Path("/places/local/services/desk")
	team = settings.Path("/places/local/teams/dev")
)

var _ = Describe("pondctl", func() {
	It("applies a checkout, sends each change once, and undoes a change by applying the old state", func() {
		newTestEntry()
		dir := checkout()
		Expect(expectOK("apply", dir)).To(Equal("accepted at revision 1, version 10\n"))
		Expect(expectOK("apply", dir)).To(HavePrefix("unchanged"))
		edit(dir, chat, "replicas: 2", "replicas: 3")
		Expect(expectOK("diff", dir)).To(Equal("~ " + string(chat) + "\n    replicas: 2 -> 3\n"))
		Expect(expectOK("apply", dir)).To(Equal("accepted at revision 2, version 20\n"))
		edit(dir, chat, "replicas: 3", "replicas: 2")
		Expect(expectOK("apply", dir)).To(Equal("accepted at revision 3, version 30\n"))
		Expect(expectOK("history")).To(MatchRegexp(`(?s)REVISION.*\n3 .*chat\n2 .*chat\n1 .*and \d+ more|1 .*dev`))
	})

	// Two operators edit the same node, starting from the same checkout. The second one must be shown the first one's change
	// and must not undo it, neither by apply nor by a failed pull.
	It("reports a conflict without changing anything, and resolves it with --take", func() {
		newTestEntry()
		mine := checkout()
		expectOK("apply", mine)
		theirs := copyOf(mine)
		edit(theirs, chat, "replicas: 2", "replicas: 7")
		expectOK("apply", "--author", "ana", theirs)

		edit(mine, chat, "replicas: 2", "replicas: 5")
		code, out, _ := run("apply", mine)
		Expect(code).To(Equal(pondctl.ExitConflict))
		Expect(out).To(SatisfyAll(ContainSubstring("of ana"), ContainSubstring("replicas: theirs 7, ours 5")))
		code, out, _ = run("pull", mine)
		Expect(code).To(Equal(pondctl.ExitConflict))
		Expect(out).To(ContainSubstring("replicas: 7 -> 5"))
		Expect(read(mine, chat)).To(ContainSubstring("replicas: 5"))
		code, _, _ = run("apply", mine)
		Expect(code).To(Equal(pondctl.ExitConflict), "the failed pull must not have moved the base")

		kept := copyOf(mine)
		expectOK("pull", "--take", "theirs", mine)
		Expect(read(mine, chat)).To(SatisfyAll(ContainSubstring("replicas: 7"), ContainSubstring("# One replica spans 4 VMs.")))
		expectOK("pull", "--take", "ours", kept)
		Expect(expectOK("apply", kept)).To(HavePrefix("accepted"))
		Expect(expectOK("explain", string(chat))).To(MatchRegexp(`replicas +5 +` + string(chat)))
	})

	It("merges changes to different nodes, and pulls others' changes without losing local edits", func() {
		newTestEntry()
		mine := checkout()
		expectOK("apply", mine)
		theirs := copyOf(mine)
		edit(theirs, chat, "replicas: 2", "replicas: 7")
		Expect(os.Remove(filepath.Join(theirs, team.File()))).To(Succeed())
		expectOK("apply", theirs)

		edit(mine, desk, "replicas: 2", "replicas: 4")
		Expect(expectOK("diff", mine)).To(SatisfyAll(ContainSubstring("~ "+string(desk)), ContainSubstring("< "+string(chat)), ContainSubstring("< "+string(team))))
		Expect(expectOK("apply", mine)).To(HavePrefix("accepted"))
		edit(mine, desk, "replicas: 4", "replicas: 6")
		out := expectOK("pull", mine)
		Expect(out).To(SatisfyAll(ContainSubstring("written "+string(chat)), ContainSubstring("removed "+string(team)), ContainSubstring("kept    "+string(desk))))
		Expect(read(mine, chat)).To(ContainSubstring("replicas: 7"))
		Expect(read(mine, desk)).To(ContainSubstring("replicas: 6"))
		Expect(filepath.Join(mine, team.File())).NotTo(BeAnExistingFile())
		Expect(expectOK("apply", mine)).To(HavePrefix("accepted"))
	})

	// The entry accepts the change but its response is lost. The operator repeats the command from the same checkout and
	// must be told that the change is accepted; it must not be applied twice.
	It("recognizes an apply that is repeated after its response was lost", func() {
		r := newTestEntry()
		dir := checkout()
		expectOK("apply", dir)
		edit(dir, chat, "replicas: 2", "replicas: 3")
		r.onResponse(func(req *http.Request) bool { return req.URL.Path != admin.ApplyPath })
		code, _, progress := run("apply", dir)
		Expect(code).To(Equal(pondctl.ExitFailure))
		Expect(progress).To(ContainSubstring("running it again is safe"))
		r.onResponse(nil)
		late := copyOf(dir)
		Expect(expectOK("apply", dir)).To(Equal("already applied at revision 2\n"))
		Expect(expectOK("apply", dir)).To(HavePrefix("unchanged"))

		edit(dir, chat, "replicas: 3", "replicas: 9")
		expectOK("apply", dir)
		code, out, _ := run("apply", late)
		Expect(code).To(Equal(pondctl.ExitConflict), "its change is no longer what is in force")
		Expect(out).To(ContainSubstring("changed again since"))
		Expect(expectOK("explain", string(chat))).To(MatchRegexp(`replicas +9 `))
	})

	// The commit of a change holds the files and the lock file, so a revert restores both. The directory then looks like an
	// old checkout without edits. An apply that printed "unchanged" would let the operator believe that the revert is in
	// force.
	It("does not report a reverted checkout as unchanged, and restores its state with --exact", func() {
		newTestEntry()
		dir := checkout()
		expectOK("apply", dir)
		before := copyOf(dir)
		edit(dir, chat, "replicas: 2", "replicas: 3")
		Expect(os.Remove(filepath.Join(dir, team.File()))).To(Succeed())
		expectOK("apply", dir)

		code, out, progress := run("apply", "--wait", before)
		Expect(code).To(Equal(pondctl.ExitConflict))
		Expect(out).To(SatisfyAll(ContainSubstring("< "+string(chat)), ContainSubstring("< "+string(team))))
		Expect(progress).To(ContainSubstring("apply --exact"))
		Expect(expectOK("explain", string(chat))).To(MatchRegexp(`replicas +3 `))

		Expect(expectOK("diff", "--exact", before)).To(SatisfyAll(ContainSubstring("replicas: 3 -> 2"), ContainSubstring("+ "+string(team))))
		Expect(expectOK("apply", "--exact", before)).To(HavePrefix("accepted"))
		Expect(expectOK("explain", string(chat))).To(MatchRegexp(`replicas +2 `))
		Expect(expectOK("apply", before)).To(HavePrefix("unchanged"))
		Expect(expectOK("apply", "--exact", before)).To(HavePrefix("unchanged"))
		edit(before, chat, "replicas: 2", "replicas: 4")
		Expect(expectOK("apply", before)).To(HavePrefix("accepted"), "the lock file is up to date again")
	})

	// Somebody else changes the same node between the response to the apply and the reading of the new revisions. If that
	// revision were recorded as the base, the next apply would undo a change that this operator has not seen.
	It("does not record the revision of a change that it has not seen", func() {
		r := newTestEntry()
		dir := checkout()
		expectOK("apply", dir)
		edit(dir, chat, "replicas: 2", "replicas: 3")
		r.onResponse(func(req *http.Request) bool {
			if req.URL.Path == admin.ApplyPath {
				r.fake.changeReplicas(chat, 9)
			}
			return true
		})
		Expect(expectOK("apply", dir)).To(HavePrefix("accepted"))
		r.onResponse(nil)
		edit(dir, chat, "replicas: 3", "replicas: 4")
		code, out, _ := run("apply", dir)
		Expect(code).To(Equal(pondctl.ExitConflict))
		Expect(out).To(ContainSubstring("theirs 9, ours 4"))
	})

	It("waits until every live entry has the version, and names those that lag", func() {
		r := newTestEntry()
		dir := checkout()
		_, _, progress := run("apply", "--wait", dir)
		Expect(progress).To(SatisfyAll(
			ContainSubstring("in force on 1 of 2 live entries; waiting for e2 (version 0"),
			ContainSubstring("in force on 2 of 2 live entries")))
		r.fake.set(func() { r.fake.lagging = true })
		edit(dir, chat, "replicas: 2", "replicas: 3")
		code, out, progress := run("apply", "--wait", "--wait-for", "100ms", dir)
		Expect(code).To(Equal(pondctl.ExitNotInForce))
		Expect(out).To(HavePrefix("accepted"))
		Expect(progress).To(ContainSubstring("waiting for e2"))
		Expect(expectOK("status")).To(MatchRegexp(`e2 .*live +10 .*lags\n(.*\n)*e3 .*dead(.*\n)*desk .*loads are paced \(f1\)\n(.*\n)*fabric domain f2 is held up: the platform is out`))
	})

	DescribeTable("reports the outcome of a command by its exit code",
		func(want int, prepare func(r *testEntry, dir string), args ...string) {
			r := newTestEntry()
			dir := checkout()
			expectOK("apply", dir)
			prepare(r, dir)
			for i, word := range args {
				if word == "DIR" {
					args[i] = dir
				}
			}
			code, _, progress := run(args...)
			Expect(code).To(Equal(want), progress)
			Expect(progress).NotTo(BeEmpty())
		},
		Entry("faults", pondctl.ExitRefused, func(_ *testEntry, dir string) { edit(dir, chat, "replicas: 2", "replicas: x") }, "validate", "DIR"),
		Entry("faults, before anything is sent", pondctl.ExitRefused, func(_ *testEntry, dir string) { edit(dir, chat, "replicas: 2", "replicas: x") }, "apply", "DIR"),
		Entry("faults that only the entry checks", pondctl.ExitRefused, func(_ *testEntry, dir string) { edit(dir, settings.Root, "operator_key_hashes", "#") }, "apply", "DIR"),
		Entry("platform out", pondctl.ExitFailure, func(r *testEntry, dir string) {
			r.fake.set(func() { r.fake.down = true })
			edit(dir, chat, "replicas: 2", "replicas: 3")
		}, "apply", "DIR"),
		Entry("wrong token", pondctl.ExitFailure, func(*testEntry, string) {}, "--token", "x", "status"),
		Entry("no entry answers", pondctl.ExitFailure, func(r *testEntry, _ string) { r.onResponse(func(*http.Request) bool { return false }) }, "status"),
		Entry("no address", pondctl.ExitUsage, func(*testEntry, string) {}, "--entries", "", "status"),
		Entry("no command", pondctl.ExitUsage, func(*testEntry, string) {}),
		Entry("unknown flag", pondctl.ExitUsage, func(*testEntry, string) {}, "status", "--colour"),
		Entry("unknown side", pondctl.ExitUsage, func(*testEntry, string) {}, "pull", "--take", "mine", "DIR"),
		Entry("unknown node", pondctl.ExitFailure, func(*testEntry, string) {}, "explain", "/places/x"),
		Entry("not in quarantine", pondctl.ExitFailure, func(*testEntry, string) {}, "quarantine", "lift", "desk", "f2"),
	)

	It("tries the next entry if the first does not respond", func() {
		r := newTestEntry()
		Expect(expectOK("--entries", "127.0.0.1:1,"+r.address, "quarantine", "list")).To(ContainSubstring("f1"))
		code, _, progress := run("quarantine", "lift", "desk", "f1")
		Expect(code).To(Equal(pondctl.ExitOK))
		Expect(progress).To(ContainSubstring("may run again"))
	})

	It("prints JSON that decodes into the contract's types", func() {
		newTestEntry()
		dir := checkout()
		into := func(v any, args ...string) {
			GinkgoHelper()
			Expect(json.Unmarshal([]byte(expectOK(append(args, "--json")...)), v)).To(Succeed())
		}
		var applied admin.Applied
		into(&applied, "apply", dir)
		Expect(applied.Status).To(Equal(settings.Accepted))
		var explained admin.Explanation
		into(&explained, "explain", string(desk))
		Expect(explained.Values).To(ContainElement(SatisfyAll(HaveField("Key", "unrepeatable"), HaveField("Value.List", []string{"/bookings"}))))
		var status admin.Status
		into(&status, "status")
		Expect(status.Services).To(ContainElement(HaveField("Serving", 1)))
		var events admin.Timeline
		into(&events, "timeline", "--kind", "settings-in-force")
		Expect(events.Events[0].Kind).To(BeEquivalentTo("settings-in-force"))
		var hash struct{ Hash string }
		into(&hash, "hash-key")
		Expect(read(dir, team)).To(ContainSubstring(hash.Hash))
		var fresh struct{ Key, Hash string }
		into(&fresh, "hash-key", "--new")
		Expect(len(fresh.Key)).To(BeNumerically(">=", 26))
	})

	// The entries that wrote the files no longer run. One stopped in the middle of a line, and their clocks were 6 s apart.
	It("merges the files of stopped entries in causal order, and filters them by VM and time", func() {
		dir := GinkgoT().TempDir()
		write := func(name string, skew time.Duration) (*timeline.Recorder, string) {
			path := filepath.Join(dir, name)
			file, err := os.Create(path)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(file.Close)
			return timeline.NewRecorder(name, file, func() time.Time { return time.Now().Add(skew) }), path
		}
		fast, fastFile := write("fast", 3*time.Second)
		slow, slowFile := write("slow", -3*time.Second)
		fast.Record(timeline.Event{Kind: timeline.OrderSent, VM: "vm1", Detail: "cause"})
		fast.Record(timeline.Event{Kind: timeline.OrderSent, VM: "vm2"})
		slow.Observe(fast.Now())
		slow.Record(timeline.Event{Kind: timeline.OrderRefused, VM: "vm1", Detail: "effect"})
		text, err := os.ReadFile(slowFile)
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(slowFile, append(text, text[:20]...), 0o600)).To(Succeed())
		out := expectOK("timeline", "--file", slowFile, "--file", fastFile, "--vm", "vm1")
		Expect(strings.Count(out, "\n")).To(Equal(2))
		Expect(strings.Index(out, "cause")).To(BeNumerically("<", strings.Index(out, "effect")))
		Expect(expectOK("timeline", "--file", fastFile, "--until", "1m")).To(BeEmpty())
		Expect(expectOK("timeline", "--file", fastFile, "--limit", "1")).To(ContainSubstring("vm2"))
	})

	It("fills an empty directory by pull with valid declarations that equal the settings", func() {
		newTestEntry()
		expectOK("apply", checkout())
		fresh := GinkgoT().TempDir()
		expectOK("pull", fresh)
		expectOK("validate", fresh)
		Expect(expectOK("diff", fresh)).To(Equal("nothing to apply\n"))
	})
})
