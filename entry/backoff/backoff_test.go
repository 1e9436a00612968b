package backoff_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/entry/backoff"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	"github.com/skylarkpond/skylarkpond/link/upstream"
)

func TestBackoff(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "backoff")
}

var _ = Describe("Tracker", func() {
	server := &backend.Server{ID: "i-1", StartedAtMillis: 5}
	anew := &backend.Server{ID: "i-1", StartedAtMillis: 9}
	listing := func(s *backend.Server) *backend.Listing {
		return backend.NewListing(1, map[backend.ID]*backend.Server{s.ID: s})
	}
	var (
		tracker      *backoff.Tracker
		reports      []link.Pause
		began, ended []backoff.Pause
		invalid      []string
		withheld     int
	)
	BeforeEach(func() {
		reports, began, ended, invalid, withheld = nil, nil, nil, nil, 0
		tracker = backoff.New(backoff.Deps{
			SendToLeader: func(message link.Up) { reports = append(reports, *message.Pause) },
			Began:        func(pause backoff.Pause) { began = append(began, pause) },
			Ended:        func(pause backoff.Pause) { ended = append(ended, pause) },
			Withheld:     func(backend.ID) { withheld++ },
			Invalid:      func(_ backend.ID, text string) { invalid = append(invalid, text) },
		})
	})
	answered := func(by *backend.Server, pause time.Duration, invalid string) {
		tracker.Answered(upstream.EndpointOf(by), pause, invalid)
	}

	It("reports each pause to the leader, and says once that it has begun and once that it is over", func() {
		answered(server, 50*time.Millisecond, "")
		answered(server, 30*time.Millisecond, "")
		Expect(reports).To(HaveLen(2))
		Expect(reports[0]).To(Equal(link.Pause{Server: "i-1", Process: 5, Ms: 51}))
		Expect(began).To(HaveLen(1))
		Expect(tracker.Permit(server)).To(BeFalse())
		Expect(tracker.Permit(anew)).To(BeTrue())
		Expect(withheld).To(Equal(1))
		tracker.Sweep(listing(server))
		Expect(ended).To(BeEmpty())
		time.Sleep(60 * time.Millisecond)
		tracker.Sweep(listing(server))
		tracker.Sweep(listing(server))
		Expect(ended).To(Equal([]backoff.Pause{{Server: "i-1", For: 50 * time.Millisecond, Answers: 2}}))
	})

	It("takes a value that can't be read for no pause, and says so once a server", func() {
		answered(server, 0, `"abc"`)
		answered(server, 0, `"abc"`)
		Expect(invalid).To(HaveLen(1))
		Expect(tracker.Remaining(server)).To(BeZero())
		Expect(reports).To(BeEmpty())
	})

	// The server's next process would be left unused for as long as the one before had asked for.
	It("does not bind a later process of a server, and forgets the earlier one", func() {
		answered(server, time.Hour, "")
		Expect(tracker.Remaining(server)).To(BeNumerically(">", 0))
		Expect(tracker.Remaining(anew)).To(BeZero())
		tracker.Sweep(listing(anew))
		Expect(ended).To(HaveLen(1))
		Expect(tracker.Pauses()).To(BeEmpty())
	})

	// A success that was under way would lift the pause.
	It("keeps a pause when the server accepts a request meanwhile", func() {
		answered(server, time.Minute, "")
		tracker.Accepted(server)
		allowed, _ := tracker.Allows(server)
		Expect(allowed).To(BeFalse())
		Expect(tracker.Count()).To(Equal(1))
	})
})
