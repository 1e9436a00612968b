package test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/examples"
	standinengine "github.com/skylarkpond/skylarkpond/internal/standin/engine"
	"github.com/skylarkpond/skylarkpond/timeline"
)

// smallTeamKey is the bearer key of the second team.
const smallTeamKey = "small-team-key"

// placesOfChat is how many requests the two groups of loadFiles take at once.
const placesOfChat = 16

// loadFiles declares a second team, and a language service whose callers are not left to wait for longer than
// about three answers.
func loadFiles() map[string]string {
	sum := sha256.Sum256([]byte(smallTeamKey))
	return map[string]string{
		"places/local/teams/small.yaml": fmt.Sprintf("key_hashes: [%q]\nshare: 1\n", hex.EncodeToString(sum[:])),
		"places/local/services/chat.yaml": "kind: language\nmodel: chat-small\nmodel_version: v1\n" +
			"group_size: 4\nreplicas: 2\nmax_concurrency: 8\nqueue_timeout: 1s\n",
	}
}

var _ = Describe("Decisions under load", func() {
	// One team's batch job starts a hundred callers at once, ten times what the service can answer, while
	// another team asks now and then. Served in the order of arrival, the small team would be refused as often
	// as the large one, and all would be left to wait for a refusal that was certain when they came.
	//
	// Then one replica of two works at a fifth of its speed, and is not dead. If it were given every second
	// request, half of the callers would wait five times as long, while the healthy replica idles.
	It("answers the small team in a burst of the large one, refuses the rest at once, and spares a slow replica", func() {
		c := startClusterWith(3, devWorld, loadFiles())

		c.setTokenGap(20)
		burst := c.play(100, smallShare{callers: 6, requests: 8, pause: loadPause})
		burst.print("burst, large team", burst.large)
		burst.print("burst, small team", burst.small)
		burst.judgeRefusals()
		Expect(burst.small.answeredShare()).To(BeNumerically(">", 0.6))
		Expect(burst.small.answeredShare()).To(BeNumerically(">", 2*burst.large.answeredShare()))
		Expect(burst.large.answered).To(BeNumerically(">", burst.small.answered))
		Expect(burst.large.refused).To(BeNumerically(">", 2*burst.large.answered), "not a burst")

		slow := 5.0
		c.setTokenGap(10)
		c.switchDomain("local-b1", standinengine.Switches{Slow: &slow})
		before := c.firstChoices()
		after := c.play(0, smallShare{callers: 14, requests: 24})
		after.print("a slow replica of two", after.small)
		after.judgeRefusals()
		Expect(after.small.answeredShare()).To(BeNumerically(">", 0.9))
		chosen, slowChosen := c.firstChoicesSince(before, "local-b1")
		GinkgoWriter.Printf("the slow replica was chosen first for %d of %d requests\n", slowChosen, chosen)
		Expect(chosen).To(Equal(after.small.answered + after.small.refused))
		Expect(slowChosen).To(BeNumerically(">", 0))
		Expect(slowChosen).To(BeNumerically("<", chosen*36/100))
	})
})

// smallShare is what the small team sends: each of its callers so many requests, one after the other.
type smallShare struct {
	callers, requests int
	pause             time.Duration
}

// loadTokensEach is the length of each answer.
const loadTokensEach = 15

// loadPause is between two requests of one caller in a burst, who does not wait for Retry-After.
const loadPause = 100 * time.Millisecond

// played is what the callers of both teams were told.
type played struct {
	cluster  *cluster
	answered atomic.Int64
	stopping chan struct{}

	mu           sync.Mutex // guards what follows
	large, small tally
	problems     []string
	refusedIDs   []string
}

// tally counts what one team was told.
type tally struct {
	answered, refused int
	// atOnce are those refused while fewer requests were answered than there are places. No clock is asked:
	// a machine that is busy slows the answers and the refusals alike.
	atOnce int
}

func (t tally) answeredShare() float64 {
	return float64(t.answered) / float64(max(1, t.answered+t.refused))
}

// play lets callers of the large team ask without end until the small team's have sent all of theirs.
func (c *cluster) play(large int, small smallShare) *played {
	p := &played{cluster: c, stopping: make(chan struct{})}
	var largeTeam, smallTeam sync.WaitGroup
	for i := range large {
		largeTeam.Go(func() { p.untilStopped(fmt.Sprintf("large %d", i), c.entries[i%len(c.entries)]) })
	}
	for i := range small.callers {
		smallTeam.Go(func() {
			for n := range small.requests {
				p.ask(c.entries[i%len(c.entries)], smallTeamKey, fmt.Sprintf("small %d %d", i, n), &p.small)
				time.Sleep(small.pause)
			}
		})
	}
	smallTeam.Wait()
	close(p.stopping)
	largeTeam.Wait()
	return p
}

func (p *played) untilStopped(name string, e *entryProcess) {
	for n := 0; ; n++ {
		select {
		case <-p.stopping:
			return
		default:
		}
		p.ask(e, examples.DevTeamKey, fmt.Sprintf("%s %d", name, n), &p.large)
		time.Sleep(loadPause)
	}
}

func (p *played) ask(e *entryProcess, key, prompt string, t *tally) {
	before := p.answered.Load()
	got := caller{e}.streamAs(key, prompt, loadTokensEach)
	between := p.answered.Load() - before
	p.count(got, prompt, between, t)
}

// count takes in an answer before which, since its request was sent, so many others were answered.
func (p *played) count(got answer, prompt string, between int64, t *tally) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case got.isWhole(prompt, loadTokensEach):
		p.answered.Add(1)
		t.answered++
	case got.err == nil && got.outcome == contract.OutcomeNotRun && got.retry != "" && !got.whole:
		t.refused++
		p.refusedIDs = append(p.refusedIDs, got.requestID)
		if between < placesOfChat {
			t.atOnce++
		}
	default:
		p.problems = append(p.problems, fmt.Sprintf("%s: %v %s %s %s", prompt, got.err, got.outcome, got.code, got.body))
	}
}

func (p *played) print(what string, t tally) {
	GinkgoWriter.Printf("%s: %d answered, %d refused (%.0f%% answered), %d of the refused at once\n",
		what, t.answered, t.refused, 100*t.answeredShare(), t.atOnce)
}

// judgeRefusals checks that all that was not answered was refused, that no refused request ran, and that
// refusals came at once, but for those few whose turn was expected in time and did not come.
func (p *played) judgeRefusals() {
	GinkgoHelper()
	Expect(p.problems).To(BeEmpty())
	started := p.cluster.startsByRequest()
	for _, id := range p.refusedIDs {
		Expect(started[id]).To(BeZero(), id)
	}
	refused := p.large.refused + p.small.refused
	Expect(p.large.atOnce + p.small.atOnce).To(BeNumerically(">=", refused*8/10))
}

// setTokenGap sets the gap between tokens of all engines, in milliseconds: long enough that the machine's own
// speed matters little beside it.
func (c *cluster) setTokenGap(millis int64) {
	GinkgoHelper()
	for _, domain := range []string{"local-a1", "local-b1"} {
		c.switchDomain(domain, standinengine.Switches{TokenGapMillis: &millis})
	}
}

// firstChoices counts for each group the requests that a front chose it for before any other.
func (c *cluster) firstChoices() map[string]int {
	GinkgoHelper()
	choices := make(map[string]int)
	seen := make(map[string]bool)
	for _, e := range c.entries {
		for _, event := range c.events(e) {
			if event.Kind == timeline.RequestDispatched && !seen[event.Request] {
				seen[event.Request] = true
				choices[event.Group]++
			}
		}
	}
	return choices
}

// firstChoicesSince returns how many requests a first group was chosen for since before, and for how many
// it was one of the fabric domain.
func (c *cluster) firstChoicesSince(before map[string]int, fabric string) (all, there int) {
	GinkgoHelper()
	status, err := c.entries[0].status()
	Expect(err).NotTo(HaveOccurred())
	now := c.firstChoices()
	for _, group := range status.Groups {
		id := string(group.ID)
		all += now[id] - before[id]
		if group.FabricDomain == fabric {
			there += now[id] - before[id]
		}
	}
	return all, there
}

// events reads the time line of one entry. Its last line may not be written to the end yet.
func (c *cluster) events(e *entryProcess) []timeline.Event {
	GinkgoHelper()
	file, err := os.Open(filepath.Join(c.dir, e.name+".timeline"))
	Expect(err).NotTo(HaveOccurred())
	defer file.Close()
	var events []timeline.Event
	decoder := json.NewDecoder(file)
	for {
		var event timeline.Event
		if decoder.Decode(&event) != nil {
			return events
		}
		events = append(events, event)
	}
}
