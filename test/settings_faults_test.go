package test

import (
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/contract/settings"
	standinplatform "github.com/skylarkpond/skylarkpond/internal/standin/platform"
	"github.com/skylarkpond/skylarkpond/link/platform"
)

// theTree is what selects the calls of the platform that carry settings.
var theTree = standinplatform.Prefix{Kind: platform.KindSettings}

// operators are as many operators as entries, each with a fresh checkout and an entry of their own.
func (c *cluster) operators(entries ...*entryProcess) []*operator {
	GinkgoHelper()
	names := []string{"ana", "bob", "carl", "dora"}
	var found []*operator
	for i, each := range entries {
		found = append(found, c.operator(names[i], each))
	}
	return found
}

// race lets operators edit and apply at the same time.
func race(operators []*operator, node func(i int) settings.Path) []applyResult {
	GinkgoHelper()
	results := make([]applyResult, len(operators))
	for i, o := range operators {
		o.edit(node(i))
	}
	var running sync.WaitGroup
	for i, o := range operators {
		running.Go(func() { results[i] = o.apply(node(i)) })
	}
	running.Wait()
	return results
}

// inBackground applies what an operator has edited.
func (c *cluster) inBackground(o *operator, node settings.Path) <-chan applyResult {
	result := make(chan applyResult, 1)
	go func() { result <- o.apply(node) }()
	return result
}

// expectCode waits for the end of an apply.
func expectCode(result <-chan applyResult, code int) {
	GinkgoHelper()
	var t applyResult
	Eventually(result, generous).Should(Receive(&t))
	Expect(t.code).To(Equal(code), t.String())
}

// holdWrite holds writes of the tree.
func (c *cluster) holdWrite(hold standinplatform.Hold) {
	GinkgoHelper()
	hold.Prefix = theTree
	hold.Verb = standinplatform.VerbPut
	c.switchPlatform(standinplatform.Switches{Hold: &hold})
}

// waitHeld waits until a write of the tree is held.
func (c *cluster) waitHeld() {
	GinkgoHelper()
	Eventually(func() []standinplatform.HeldCall {
		return lines[standinplatform.HeldCall](c.platform + "/standin/held")
	}, generous, "20ms").ShouldNot(BeEmpty())
}

// treeWrites is how often the platform was asked to write the tree.
func (c *cluster) treeWrites() int {
	GinkgoHelper()
	return c.calls(platform.KindSettings, standinplatform.VerbPut)
}

// calls is how often the platform was asked.
func (c *cluster) calls(kind platform.Kind, verb standinplatform.Verb) int {
	GinkgoHelper()
	for _, counted := range lines[[]standinplatform.CallCount](c.platform + "/standin/calls")[0] {
		if counted.Kind == kind && counted.Verb == verb {
			return counted.Count
		}
	}
	return 0
}

// release ends all holds on the tree.
func (c *cluster) release() {
	GinkgoHelper()
	c.switchPlatform(standinplatform.Switches{Release: &theTree})
}
