package test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/contract/settings"
	standinplatform "github.com/skylarkpond/skylarkpond/internal/standin/platform"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/pondctl"
)

// The specs share one cluster, since none may leave it in another state than it found it: after each, all
// entries live, all links are whole, the platform answers, and the judge looks at all that was so far.
var _ = Describe("Settings that were accepted", Ordered, func() {
	var c *cluster
	var e []*entryProcess

	BeforeAll(func() {
		c = startCluster(5)
		e = c.entries
		for _, each := range e {
			c.waitLive(each, e...)
		}
	})

	AfterEach(func() {
		if !CurrentSpecReport().Failed() {
			c.judgeSettings()
		}
	})

	// Four operators change the same node at the same time, each through another entry. One change is in force
	// afterwards; whoever made another one must be told so, or would believe in a value that nobody works by.
	It("are those of one of the operators who race for a node, and the others are told", func() {
		operators := c.operators(e[0], e[1], e[2], e[3])
		results := race(operators, func(int) settings.Path { return chatNode })
		byCode := make(map[int]int)
		for _, t := range results {
			byCode[t.code]++
		}
		Expect(byCode).To(Equal(map[int]int{pondctl.ExitOK: 1, pondctl.ExitConflict: 3}))
	})

	It("are those of all operators who race on different nodes", func() {
		nodes := []settings.Path{rootNode, placeNode, chatNode, deskNode}
		operators := c.operators(e[0], e[1], e[2], e[3])
		for _, t := range race(operators, func(i int) settings.Path { return nodes[i] }) {
			expectAccepted(t)
		}
		trees := c.trees()
		for i, o := range operators {
			Expect(trees[len(trees)-1].sets(nodes[i], o.value(nodes[i]))).To(BeTrue(), "%s lost its change", o.name)
		}
	})

	// Somebody comes back from a holiday to a checkout of weeks ago. Applied as it is, it would put old values
	// back over those that others had accepted since.
	It("stay when somebody applies an old checkout, edited or not", func() {
		old := c.operator("old", e[1])
		older := old.colleague("older", e[2])
		t := c.operator("new", e[0]).change(chatNode)
		old.edit(chatNode)
		Expect(old.apply(chatNode).code).To(Equal(pondctl.ExitConflict))
		Expect(older.apply(chatNode).code).To(Equal(pondctl.ExitConflict))
		older.change(deskNode)
		trees := c.trees()
		Expect(trees[len(trees)-1].sets(chatNode, t.value)).To(BeTrue())
	})

	// The platform takes the write and its answer is lost; the entry has to find out by itself.
	It("are told as accepted when the answer of the write is lost", func() {
		c.switchPlatform(standinplatform.Switches{LoseAnswers: &standinplatform.LoseAnswers{Prefix: theTree, Count: 1}})
		t := c.operator("ana", e[0]).change(chatNode)
		Expect(t.applied.Status).To(Equal(settings.Accepted))
	})

	// The write takes effect, and the entry dies before it has the answer. The operator knows nothing and
	// applies again, and so does a colleague; meanwhile somebody changes the node anew. Taken for another
	// change, the repeated one would undo the new one, or be told as if it had never been accepted.
	It("are the same change when applied again, by anyone, after the entry died with the answer", func() {
		ana := c.operator("ana", e[4])
		ana.edit(chatNode)
		carl := ana.colleague("carl", e[2])
		c.holdWrite(standinplatform.Hold{After: true, Drop: true})
		first := c.inBackground(ana, chatNode)
		c.waitHeld()
		e[4].kill()
		expectCode(first, pondctl.ExitFailure)
		c.release()

		again := expectAccepted(ana.colleague("ana", e[0]).apply(chatNode))
		Expect(again.applied.Status).To(Equal(settings.AlreadyApplied))
		expectAccepted(ana.colleague("bob", e[1]).apply(chatNode))
		c.operator("dora", e[3]).change(chatNode)
		late := carl.apply(chatNode)
		Expect(late.code).To(Equal(pondctl.ExitConflict))
		Expect(late.applied.Status).To(Equal(settings.AlreadyApplied), late.String())
		Expect(late.applied.Superseded).To(ConsistOf(chatNode))
		c.restart(e[4])
		c.waitLive(e[0], e...)
	})

	// The entry dies before its write took effect, and pondctl goes on to the next entry by itself.
	It("are taken by another entry when the first one dies with its write under way", func() {
		ana := c.operator("ana", e[4], e[0])
		ana.edit(chatNode)
		c.holdWrite(standinplatform.Hold{Count: 1, Drop: true})
		result := c.inBackground(ana, chatNode)
		c.waitHeld()
		e[4].kill()
		c.release()
		expectCode(result, pondctl.ExitOK)
		c.restart(e[4])
		c.waitLive(e[0], e...)
	})

	// The answer of a write is lost, and before its entry has asked what became of it somebody changes the same
	// node again. The first operator must learn of both: that the change was accepted, and that it was replaced.
	It("are told as accepted and replaced when both happen before the answer", func() {
		ana := c.operator("ana", e[0])
		ana.edit(chatNode)
		c.holdWrite(standinplatform.Hold{After: true, Count: 1, Drop: true})
		first := c.inBackground(ana, chatNode)
		c.waitHeld()
		c.operator("bob", e[1]).change(chatNode)
		c.release()
		var t applyResult
		Eventually(first, generous).Should(Receive(&t))
		Expect(t.code).To(Equal(pondctl.ExitConflict), t.String())
		Expect(t.applied.Status).To(Equal(settings.Accepted), t.String())
		Expect(t.applied.Superseded).To(ConsistOf(chatNode))
	})

	// A write lies somewhere on the way and takes effect after others have changed the settings, when its entry
	// has asked anew or is about to. Taken then, it would bring back the tree that it was made from.
	DescribeTable("stay when an earlier write takes effect late",
		func(millis int64) {
			ana := c.operator("ana", e[0])
			ana.edit(chatNode)
			before := c.treeWrites()
			late := standinplatform.LateEffects{Prefix: theTree, Count: 1, DelayMillis: millis}
			c.switchPlatform(standinplatform.Switches{LateEffects: &late})
			first := c.inBackground(ana, chatNode)
			Eventually(c.treeWrites, generous, "5ms").Should(BeNumerically(">", before))
			c.operator("bob", e[1]).change(deskNode)
			expectCode(first, pondctl.ExitOK)
		},
		Entry("before the entry has stopped waiting for it", int64(300)),
		Entry("after the entry has sent the next one", int64(2500)),
	)

	// The entry that takes a change in is frozen with its write under way, as when its VM is moved. Another
	// operator changes the same node through another entry, before the old write takes effect or after. A late
	// write must not undo the newer change, and its operator must not be told that it was accepted; one that did
	// take effect must be told so, also if it was replaced meanwhile.
	DescribeTable("stay while an entry is frozen that wrote them or is about to write others",
		func(after bool, want settings.Status) {
			ana := c.operator("ana", e[4])
			ana.edit(chatNode)
			c.holdWrite(standinplatform.Hold{Count: 1, After: after})
			first := c.inBackground(ana, chatNode)
			c.waitHeld()
			e[4].freeze()
			newer := c.operator("bob", e[0]).change(chatNode)
			c.expectInForce(newer.applied.Version, e[:4]...)
			if after { // it hears of the newer change first, then has the answer for its own
				e[4].wake()
				c.expectInForce(newer.applied.Version, e[4])
			}
			c.release()
			e[4].wake()
			var t applyResult
			Eventually(first, generous).Should(Receive(&t))
			Expect(t.applied.Status).To(Equal(want), t.String())
			c.waitLive(e[0], e...)
		},
		Entry("frozen before its write took effect", false, settings.Conflicted),
		Entry("frozen after its write took effect", true, settings.Accepted),
	)

	// Connections to the platform break again and again, and each new watch repeats what was long before.
	It("come into force once, and stay, while watches drop and repeat old changes", func() {
		ana := c.operator("ana", e[0])
		for range 5 {
			repeats := 6
			c.switchPlatform(standinplatform.Switches{DropWatches: true, RepeatChanges: &repeats})
			c.expectInForce(ana.change(chatNode).applied.Version, e...)
		}
		c.switchPlatform(standinplatform.Switches{RepeatChanges: new(int)})
	})

	// The platform accepts a change and goes out before any other entry could ask it.
	It("come into force everywhere when the platform goes out right after", func() {
		c.switchPlatform(standinplatform.Switches{Hold: &standinplatform.Hold{Prefix: theTree, Verb: standinplatform.VerbWatch}})
		c.switchPlatform(standinplatform.Switches{Hold: &standinplatform.Hold{Prefix: theTree, Verb: standinplatform.VerbList}})
		c.switchPlatform(standinplatform.Switches{DropWatches: true})
		bob := c.operator("bob", e[1])
		bob.edit(chatNode)
		t := c.operator("ana", e[0]).change(chatNode)
		c.outage(standinplatform.OutageDrop)
		c.expectInForce(t.applied.Version, e...)
		Expect(bob.apply(chatNode).code).To(Equal(pondctl.ExitFailure))
		code, _, progress := bob.run("pull", bob.dir)
		Expect(code).To(Equal(pondctl.ExitFailure))
		Expect(progress).To(ContainSubstring("own copy may be old"))
		c.outage(standinplatform.OutageNone)
		c.release()
	})

	It("are accepted and come into force while the platform is slow", func() {
		slow := int64(500)
		ana := c.operator("ana", e[0])
		ana.edit(chatNode)
		c.switchPlatform(standinplatform.Switches{DelayMillis: &slow})
		c.expectInForce(expectAccepted(ana.apply(chatNode)).applied.Version, e...)
		c.switchPlatform(standinplatform.Switches{DelayMillis: new(int64)})
	})

	It("come into force at entries that are cut off from the platform, not from each other", func() {
		for _, each := range e[1:] {
			cutOff(each.toPlatform, true)
		}
		t := c.operator("ana", e[0]).change(chatNode)
		c.expectInForce(t.applied.Version, e...)
		for _, each := range e[1:] {
			cutOff(each.toPlatform, false)
		}
	})

	// Two entries are cut off from all others, and reach the platform. An operator changes settings on either
	// side of the cut, and each side has to work by both changes before the cut is mended. Then one of them loses the
	// platform too, and has to catch up once it hears the others again.
	It("come into force at entries that are cut off from each other, not from the platform", func() {
		c.isolate(e[3], true)
		c.isolate(e[4], true)
		c.waitLive(e[3], e[3])
		c.waitLive(e[4], e[4])
		c.operator("ana", e[0]).change(chatNode)
		t := c.operator("bob", e[4]).change(chatNode)
		c.expectInForce(t.applied.Version, e...)

		cutOff(e[3].toPlatform, true)
		t = c.operator("ana", e[0]).change(chatNode)
		c.expectInForce(t.applied.Version, e[:3]...)
		c.isolate(e[3], false)
		c.isolate(e[4], false)
		c.expectInForce(t.applied.Version, e[3]) // from the others alone
		cutOff(e[3].toPlatform, false)
		c.waitLive(e[0], e...)
	})

	// One entry is killed and one frozen while two changes are made. The one starts anew and the other wakes
	// with what it knew before; neither may work by the old version once it has had the new one, and both
	// must come to the newest.
	It("come into force at entries that were dead or frozen meanwhile", func() {
		ana := c.operator("ana", e[0])
		e[3].kill()
		e[4].freeze()
		ana.change(chatNode)
		c.restart(e[3])
		t := ana.change(chatNode)
		c.expectInForce(t.applied.Version, e[:4]...)
		e[4].wake()
		c.expectInForce(t.applied.Version, e[4])
		c.waitLive(e[0], e...)
		Expect(caller{e[4]}.send(http.MethodGet, "/v1/entries", nil, "").status).To(Equal(http.StatusOK))
	})

	// The others can't learn of an entry that starts while they are cut off from the platform, and don't answer it. It must not take itself for
	// the only one and serve by the old tree that it has read.
	It("stay when an entry reads an old tree and starts while the others can't learn of it", func() {
		trees := c.trees()
		t := c.operator("ana", e[0]).change(chatNode)
		c.expectInForce(t.applied.Version, e...)
		e[4].kill()
		for _, other := range e[:4] {
			cutOff(other.toPlatform, true)
		}
		stale := standinplatform.StaleReads{Prefix: theTree, Revision: platform.Version(trees[len(trees)-1].version), Count: -1}
		c.switchPlatform(standinplatform.Switches{StaleReads: &stale})
		loads := c.calls(platform.KindQuarantine, standinplatform.VerbList)
		c.restart(e[4])
		Eventually(func() int { return c.calls(platform.KindQuarantine, standinplatform.VerbList) }, generous, "10ms").
			Should(BeNumerically(">", loads), "it has read all")
		cutOff(e[4].toPlatform, true)
		time.Sleep(5 * time.Second)
		for _, other := range e[:4] {
			cutOff(other.toPlatform, false)
		}
		c.expectInForce(t.applied.Version, e[4])
		cutOff(e[4].toPlatform, false)
		c.switchPlatform(standinplatform.Switches{StaleReads: &standinplatform.StaleReads{}})
		c.waitLive(e[0], e...)
	})

	// An entry starts while the platform is out, and when it is back, what answers is a replica that lags: it
	// gives a tree from before a change that all others work by. The entry must not serve by it, nor may
	// an operator's change be built upon it.
	It("stay when an entry starts during an outage and then reads an old tree", func() {
		trees := c.trees()
		ana, bob := c.operator("ana", e[0]), c.operator("bob", e[1])
		t := ana.change(chatNode)
		c.expectInForce(t.applied.Version, e...)
		c.outage(standinplatform.OutageRefuse)
		e[4].kill()
		asked := c.calls(platform.KindEntry, standinplatform.VerbGet)
		c.restart(e[4])
		Eventually(func() int { return c.calls(platform.KindEntry, standinplatform.VerbGet) }, generous, "50ms").
			Should(BeNumerically(">", asked+1), "the start waits for the platform")
		stale := standinplatform.StaleReads{Prefix: theTree, Revision: platform.Version(trees[len(trees)-1].version), Count: -1}
		c.switchPlatform(standinplatform.Switches{StaleReads: &stale})
		c.outage(standinplatform.OutageNone)
		c.expectInForce(t.applied.Version, e[4])

		bob.edit(deskNode)
		refused := bob.apply(deskNode)
		Expect(refused.code).To(Equal(pondctl.ExitFailure))
		Expect(refused.progress).To(ContainSubstring("older tree"))
		c.switchPlatform(standinplatform.Switches{StaleReads: &standinplatform.StaleReads{}})
		c.waitLive(e[0], e...)
	})
})
