package test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/contract/admin"
	"github.com/skylarkpond/skylarkpond/domain"
	standinengine "github.com/skylarkpond/skylarkpond/internal/standin/engine"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/vm"
)

// groupStates are the states of a group in the order of its life. A scene has a fabric domain for each.
var groupStates = []vm.GroupState{vm.Forming, vm.Loading, vm.Serving, vm.Draining}

// Sizes of the worlds for faults at groups: each fabric domain has room for one group and a spare VM.
const (
	groupSize = 3
	groupVMs  = groupSize + 1
)

// groupsWorld has the given fabric domains. The plain service has its VMs in the first.
func groupsWorld(fabrics ...string) string {
	var lists [2][]string
	for i, name := range fabrics {
		plain := ""
		if i == 0 {
			plain = `,"Plain":[{"Service":"desk","VMs":2}]`
		}
		line := fmt.Sprintf(`{"Name":%q,"VMs":%d,"Accelerators":2%s}`, name, groupVMs, plain)
		lists[i%2] = append(lists[i%2], line)
	}
	return fmt.Sprintf(`{"FirstIP":"127.2.%%d.1","VMPort":9000,"Places":[{"Name":"local","FailureDomains":[
 {"Name":"local-a","FabricDomains":[%s]},{"Name":"local-b","FabricDomains":[%s]}]}]}`,
		strings.Join(lists[0], ","), strings.Join(lists[1], ","))
}

// soon lets drains, and requests that hang on a frozen group, be given up soon, so that a spec goes on.
const soon = "drain_timeout: 6s\nrequest_timeout: 5s\n"

// chatFiles declares the language service, with more keys of its own.
func chatFiles(replicas int, more string) map[string]string {
	return map[string]string{"places/local/services/chat.yaml": fmt.Sprintf(
		"kind: language\nmodel: chat-small\nmodel_version: v1\ngroup_size: %d\nreplicas: %d\nmax_concurrency: 8\n%s",
		groupSize, replicas, more)}
}

// ownedBy returns count names of fabric domains whose controller is the first of the entries, then the
// second when that one is gone, and so on. Ownership is computed from names, so a test may choose.
func ownedBy(count int, all []string, owners ...string) []string {
	var found []string
	for i := 0; len(found) < count; i++ {
		name := fmt.Sprintf("fab-%d", i)
		if slices.Equal(domain.Owners("controller/"+name, all, len(owners)), owners) {
			found = append(found, name)
		}
	}
	return found
}

// together runs all at once and waits for them.
func together(all ...func()) {
	var group sync.WaitGroup
	for _, f := range all {
		group.Go(func() {
			defer GinkgoRecover()
			f()
		})
	}
	group.Wait()
}

// scene is four fabric domains, in which a group is in each of the states at the same time.
type scene struct {
	c       *cluster
	fabrics map[vm.GroupState]string
	// groups are those that were in the states when the scene was set.
	groups map[vm.GroupState]vm.Group
}

// Times that let the states last long enough to meet there.
const (
	sceneLoading  = 4000 // milliseconds that the group which loads takes
	sceneTokenGap = 100  // milliseconds between tokens on the group which drains: it is at work meanwhile
)

// stage brings a group of the four fabric domains into each state.
func (c *cluster) stage(fabrics []string) *scene {
	GinkgoHelper()
	s := &scene{c: c, fabrics: make(map[vm.GroupState]string), groups: make(map[vm.GroupState]vm.Group)}
	for i, state := range groupStates {
		s.fabrics[state] = fabrics[i]
	}
	loading, gap := int64(sceneLoading), int64(sceneTokenGap)
	c.switchDomain(s.fabrics[vm.Loading], standinengine.Switches{LoadingMillis: &loading})
	c.switchDomain(s.fabrics[vm.Draining], standinengine.Switches{TokenGapMillis: &gap})
	c.switchVM(c.member(s.fabrics[vm.Loading], vm.Serving, 2), standinengine.Switches{Restart: true})
	s.await(vm.Loading)
	c.switchVM(c.member(s.fabrics[vm.Draining], vm.Serving, 2), standinengine.Switches{Leaving: &yes})
	s.await(vm.Draining)
	c.switchVM(c.member(s.fabrics[vm.Forming], vm.Serving, 2), standinengine.Switches{Restart: true})
	s.await(vm.Forming)
	s.await(vm.Serving)
	return s
}

var (
	yes = true
	no  = false
)

// await waits until the domain of a state has a group in it.
func (s *scene) await(state vm.GroupState) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		group, ok := s.c.groupIn(s.fabrics[state], state)
		g.Expect(ok).To(BeTrue(), "%s: no group is %s", s.fabrics[state], state)
		s.groups[state] = group
	}, generous, "20ms").Should(Succeed())
}

// each does something for every state of the scene at once.
func (s *scene) each(do func(state vm.GroupState)) {
	var all []func()
	for _, state := range groupStates {
		all = append(all, func() { do(state) })
	}
	together(all...)
}

// member returns a VM of the group that was in the state.
func (s *scene) member(state vm.GroupState, rank int) string {
	return string(s.groups[state].Members[rank].VM)
}

// strike strikes the cell of a VM of rank in each state.
func (s *scene) strike(rank int, switches standinengine.Switches) {
	GinkgoHelper()
	for _, state := range groupStates {
		s.c.switchVM(s.member(state, rank), switches)
	}
}

// strikeAll strikes every VM of the scene's fabric domains.
func (s *scene) strikeAll(switches standinengine.Switches) {
	GinkgoHelper()
	for _, fabric := range s.fabrics {
		s.c.switchDomain(fabric, switches)
	}
}

// awaitReplaced waits until the VMs of rank are in no group, and the domains that have enough VMs left
// serve without them.
func (s *scene) awaitReplaced(rank int) {
	s.each(func(state vm.GroupState) {
		lost := vm.Name(s.member(state, rank))
		Eventually(func(g Gomega) {
			served := state == vm.Draining // there, a second VM is leaving, which leaves too few
			for _, group := range s.c.placement(s.fabrics[state]).Groups {
				for _, m := range group.Members {
					g.Expect(m.VM).NotTo(Equal(lost), "%s is %s with it", group.ID, group.State)
				}
				served = served || group.Service == chat && group.State == vm.Serving
			}
			g.Expect(served).To(BeTrue(), "nothing serves in %s", s.fabrics[state])
		}, generous, "100ms").Should(Succeed())
	})
}

// end takes the scene's own switches back and waits until every domain serves again.
func (s *scene) end() {
	GinkgoHelper()
	for _, fabric := range s.fabrics {
		loading, gap := int64(50), int64(2)
		s.c.switchDomain(fabric, standinengine.Switches{LoadingMillis: &loading, TokenGapMillis: &gap, Leaving: &no})
	}
	s.awaitServing()
}

// awaitServing waits until each domain of the scene has a group that its home calls whole.
func (s *scene) awaitServing() {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		status, err := s.c.observer().status()
		g.Expect(err).NotTo(HaveOccurred())
		for _, fabric := range s.fabrics {
			g.Expect(slices.ContainsFunc(status.Groups, func(group admin.GroupStatus) bool {
				return group.FabricDomain == fabric && group.Service == chat && group.State == vm.Serving && group.Whole
			})).To(BeTrue(), "%s does not serve: %+v", fabric, s.c.placement(fabric).Groups)
		}
	}, generous, "200ms").Should(Succeed())
}

const chat = "chat"

// observer is an entry that is neither killed nor frozen.
func (c *cluster) observer() *entryProcess {
	GinkgoHelper()
	working := c.working()
	Expect(working).NotTo(BeEmpty())
	return working[0]
}

// working returns the entries that are neither killed nor frozen.
func (c *cluster) working() []*entryProcess {
	return slices.DeleteFunc(slices.Clone(c.entries), func(e *entryProcess) bool { return !e.works() })
}

// entry returns the entry of a name.
func (c *cluster) entry(name string) *entryProcess {
	GinkgoHelper()
	i := slices.IndexFunc(c.entries, func(e *entryProcess) bool { return e.name == name })
	Expect(i).To(BeNumerically(">=", 0), "no entry %q", name)
	return c.entries[i]
}

// homes returns the entries that are home to the groups of the scene.
func (s *scene) homes() []*entryProcess {
	GinkgoHelper()
	var found []*entryProcess
	for _, state := range groupStates {
		if home := s.homeOf(state); !slices.Contains(found, home) {
			found = append(found, home)
		}
	}
	return found
}

// homeOf returns the entry that is home to the group that was in the state. Like the entries, it works
// that out: those that were asked may not have heard of the group yet.
func (s *scene) homeOf(state vm.GroupState) *entryProcess {
	GinkgoHelper()
	return s.c.entry(domain.Owner("home/"+string(s.groups[state].ID), entryNames(s.c.working())))
}

// status returns what an entry says of the group that was in the state.
func (s *scene) status(g Gomega, state vm.GroupState) admin.GroupStatus {
	status, err := s.c.observer().status()
	g.Expect(err).NotTo(HaveOccurred())
	i := slices.IndexFunc(status.Groups, func(group admin.GroupStatus) bool { return group.ID == s.groups[state].ID })
	if i < 0 {
		return admin.GroupStatus{}
	}
	return status.Groups[i]
}

// awaitNotWhole waits until the home of the group that was in the state says that it is not whole.
func (s *scene) awaitNotWhole(state vm.GroupState) {
	GinkgoHelper()
	Eventually(func(g Gomega) { g.Expect(s.status(g, state).Whole).To(BeFalse()) }, generous, "200ms").Should(Succeed())
}

// awaitHomedElsewhere waits until entries that work are home to all groups of the scene's domains.
func (s *scene) awaitHomedElsewhere(struck []*entryProcess) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		status, err := s.c.observer().status()
		g.Expect(err).NotTo(HaveOccurred())
		for _, group := range status.Groups {
			g.Expect(entryNames(struck)).NotTo(ContainElement(group.Home), string(group.ID))
		}
	}, generous, "200ms").Should(Succeed())
}

// epochs returns the epoch of each domain of the scene.
func (s *scene) epochs() map[string]uint64 {
	GinkgoHelper()
	epochs := make(map[string]uint64)
	for _, fabric := range s.fabrics {
		epochs[fabric] = s.c.placement(fabric).Epoch
	}
	return epochs
}

// awaitHeld waits until an entry holds some fabric domains: while entries start or come back, another may
// hold one for some seconds.
func (c *cluster) awaitHeld(fabrics []string, owner *entryProcess) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		for _, fabric := range fabrics {
			g.Expect(c.placement(fabric).Controller).To(Equal(owner.name), fabric)
		}
	}, generous, "100ms").Should(Succeed())
}

// awaitTaken waits until another controller has taken each domain and written what it decided.
func (s *scene) awaitTaken(before map[string]uint64) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		for fabric, epoch := range before {
			g.Expect(s.c.placement(fabric).Epoch).To(BeNumerically(">", epoch), fabric)
		}
	}, generous, "100ms").Should(Succeed())
}

// placement reads the placement of a fabric domain from the platform itself.
func (c *cluster) placement(fabric string) vm.Placement {
	GinkgoHelper()
	response, err := http.Get(c.platform + "/v1/objects/placement/" + fabric)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	var object platform.Object
	Expect(json.NewDecoder(response.Body).Decode(&object)).To(Succeed())
	return placementOf(object)
}

func placementOf(object platform.Object) vm.Placement {
	GinkgoHelper()
	var placement vm.Placement
	Expect(json.Unmarshal(object.Value, &placement)).To(Succeed())
	return placement
}

// groupIn returns the language service's group in a state.
func (c *cluster) groupIn(fabric string, state vm.GroupState) (vm.Group, bool) {
	GinkgoHelper()
	groups := c.placement(fabric).Groups
	i := slices.IndexFunc(groups, func(g vm.Group) bool { return g.Service == chat && g.State == state })
	if i < 0 {
		return vm.Group{}, false
	}
	return groups[i], true
}

// member returns a member of the group of a fabric domain that is in a state.
func (c *cluster) member(fabric string, state vm.GroupState, rank int) string {
	GinkgoHelper()
	group, ok := c.groupIn(fabric, state)
	Expect(ok).To(BeTrue(), "%s: no group is %s", fabric, state)
	return string(group.Members[rank].VM)
}
