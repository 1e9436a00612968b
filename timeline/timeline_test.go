package timeline

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestTimeline(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "timeline")
}

// world simulates processes whose clocks differ from the true time.
type world struct {
	now       time.Time
	recorders []*Recorder
}

func newWorld(skews ...time.Duration) *world {
	w := &world{now: time.Unix(1_700_000_000, 0)}
	for i, skew := range skews {
		clock := func() time.Time { return w.now.Add(skew) }
		w.recorders = append(w.recorders, NewRecorder(fmt.Sprint("p", i), nil, clock))
	}
	return w
}

func (w *world) record(i int, detail string) {
	w.recorders[i].Record(Event{Kind: RequestSent, Detail: detail})
}

// message simulates a message between two processes, which carries the sender's timestamp.
func (w *world) message(from, to int, latency time.Duration) {
	at := w.recorders[from].Now()
	w.now = w.now.Add(latency)
	w.recorders[to].Observe(at)
}

func (w *world) merged() []string {
	var streams [][]Event
	for _, r := range w.recorders {
		streams = append(streams, r.Recent())
	}
	var details []string
	for _, e := range Merge(streams...) {
		details = append(details, e.Detail)
	}
	return details
}

var _ = Describe("the timeline", func() {
	// The clocks of two entries differ by seconds. Sorted by these clocks alone, the home would seem to
	// answer before the front dispatched.
	It("sorts an effect after its cause although clocks differ by seconds", func() {
		w := newWorld(5*time.Second, -5*time.Second, 0)
		w.record(0, "front dispatches")
		w.message(0, 1, time.Millisecond)
		w.record(1, "home queues")
		w.record(1, "home sends")
		w.message(1, 0, time.Millisecond)
		w.record(0, "front answers")
		Expect(w.merged()).To(Equal([]string{"front dispatches", "home queues", "home sends", "front answers"}))
	})

	// A controller writes a placement, and the home learns of it from the platform, which passes on no timestamp.
	It("sorts an effect after a cause that came through the platform, once the processes have exchanged a message", func() {
		w := newWorld(5*time.Second, -5*time.Second)
		w.message(0, 1, time.Millisecond)
		w.now = w.now.Add(3 * time.Second)
		w.record(0, "placement written")
		w.now = w.now.Add(5 * time.Millisecond)
		w.record(1, "group whole")
		Expect(w.merged()).To(Equal([]string{"placement written", "group whole"}))
	})

	It("sorts an effect after its cause although the local clock was set back in between", func() {
		w := newWorld(0, 0)
		w.record(0, "asks")
		w.message(0, 1, time.Millisecond)
		w.recorders[1].clock = func() time.Time { return w.now.Add(-30 * time.Second) }
		w.record(1, "answers")
		Expect(w.merged()).To(Equal([]string{"asks", "answers"}))
	})

	It("does not follow a clock that is wrong by more than a minute, nor one that was corrected", func() {
		w := newWorld(time.Hour, 0, 10*time.Second, 0)
		w.message(0, 1, 0)
		Expect(w.recorders[1].Now()).To(BeNumerically("<", w.now.Add(time.Second).UnixNano()))
		w.message(2, 1, 0)
		Expect(w.recorders[1].Now()).To(BeNumerically(">=", w.now.Add(10*time.Second).UnixNano()))
		w.now = w.now.Add(2 * clockOffsetLifetime)
		w.message(3, 1, 0)
		Expect(w.recorders[1].Now()).To(BeNumerically("<", w.now.Add(time.Second).UnixNano()))
	})

	It("keeps every cause before its effect in any sequence of messages", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			skews := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) time.Duration {
				return time.Duration(rapid.IntRange(-10_000, 10_000).Draw(t, "ms")) * time.Millisecond
			}), 2, 5).Draw(t, "skews")
			w := newWorld(skews...)
			process := rapid.IntRange(0, len(skews)-1)
			seen := make([]map[string]bool, len(skews)) // the events that each process may have learned of
			causes := map[string][]string{}
			for i := range seen {
				seen[i] = map[string]bool{}
			}
			for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
				w.now = w.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				at := process.Draw(t, "at")
				if rapid.Bool().Draw(t, "message") {
					to := process.Draw(t, "to")
					w.message(at, to, time.Duration(rapid.IntRange(0, 50).Draw(t, "latency"))*time.Millisecond)
					for detail := range seen[at] {
						seen[to][detail] = true
					}
					continue
				}
				detail := fmt.Sprint(step)
				w.record(at, detail)
				for cause := range seen[at] {
					causes[detail] = append(causes[detail], cause)
				}
				seen[at][detail] = true
			}
			place := map[string]int{}
			for i, detail := range w.merged() {
				place[detail] = i
			}
			for effect, all := range causes {
				for _, cause := range all {
					if place[cause] > place[effect] {
						t.Fatalf("%s sorts after %s, its effect", cause, effect)
					}
				}
			}
		})
	})

	It("filters by request, VM, group, entry, kind and time", func() {
		events := []Event{
			{Time: 10, Process: "e1", Kind: RequestAccepted, Request: "r1"},
			{Time: 20, Process: "e2", Kind: RequestSent, Request: "r1", Group: "g1", VM: "vm1"},
			{Time: 30, Process: "e2", Kind: OrderSent, Group: "g1", VM: "vm2"},
			{Time: 40, Process: "e1", Kind: PeerDead, Peer: "e3"},
		}
		for _, c := range []struct {
			filter Filter
			want   []int64
		}{
			{Filter{}, []int64{10, 20, 30, 40}},
			{Filter{Request: "r1"}, []int64{10, 20}},
			{Filter{VM: "vm2"}, []int64{30}},
			{Filter{Group: "g1"}, []int64{20, 30}},
			{Filter{Group: "g1", Request: "r1"}, []int64{20}},
			{Filter{Entry: "e2"}, []int64{20, 30}},
			{Filter{Entry: "e3"}, []int64{40}},
			{Filter{Kind: PeerDead}, []int64{40}},
			{Filter{Since: 20, Until: 40}, []int64{20, 30}},
			{Filter{Request: "none"}, nil},
		} {
			var got []int64
			for _, e := range Select(events, c.filter) {
				got = append(got, e.Time)
			}
			Expect(got).To(Equal(c.want), "%+v", c.filter)
		}
	})

	// A killed process may leave its last line incomplete; its file is merged with the events that other processes returned.
	It("reads files with torn lines and gives each event once", func() {
		var file bytes.Buffer
		recorder := NewRecorder("e1", &file, time.Now)
		for range 3 {
			recorder.Record(Event{Kind: EntryStarted})
		}
		text := file.String()
		events, torn, err := Read(strings.NewReader(text[:len(text)-10] + "\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(events).To(HaveLen(2))
		Expect(torn).To(Equal(1))
		Expect(Merge(events, recorder.Recent())).To(Equal(recorder.Recent()))
		_, _, err = Read(strings.NewReader(strings.Repeat("x", maxLine+1)))
		Expect(err).To(HaveOccurred())
	})

	It("keeps the latest events, oldest first", func() {
		r := NewRecorder("e1", nil, time.Now)
		for range RecentEvents + 5 {
			r.Record(Event{Kind: EntryStarted})
		}
		kept := r.Recent()
		Expect(kept).To(HaveLen(RecentEvents))
		Expect(kept[0].Seq).To(Equal(uint64(6)))
		line, err := json.Marshal(kept[0])
		Expect(err).NotTo(HaveOccurred())
		Expect(string(line)).NotTo(ContainSubstring("group"))
	})
})
