package test

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"slices"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	standinengine "github.com/skylarkpond/skylarkpond/internal/standin/engine"
	standinplatform "github.com/skylarkpond/skylarkpond/internal/standin/platform"
	"github.com/skylarkpond/skylarkpond/timeline"
)

// logs is what was read so far of the logs that judges read, which only grow. What goes wrong when each look
// reads them whole: looks get slower as a cluster gets older, until a fault comes too late for the step that
// it was to meet.
type logs struct {
	runs    growing[standinengine.Run]
	history growing[standinplatform.Change]
	index   *trailIndex // of trail

	mu    sync.Mutex // guards files
	files map[string]*timelineFile
}

func (l *logs) timeline(path string) *timelineFile {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.files == nil {
		l.files = make(map[string]*timelineFile)
	}
	if l.files[path] == nil {
		l.files[path] = &timelineFile{path: path}
	}
	return l.files[path]
}

// growing is a log of which what was read stays as it is.
type growing[T any] struct {
	mu  sync.Mutex // guards all; held while reading, so that nothing is read twice
	all []T
}

// more adds what read returns behind what is known, and returns all behind the first from.
func (g *growing[T]) more(from int, read func(known int) []T) []T {
	GinkgoHelper()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.all = append(g.all, read(len(g.all))...)
	return slices.Clone(g.all[from:])
}

// timelineFile is the time line of one entry, over its lives.
type timelineFile struct {
	path string
	growing[timeline.Event]
	offset int64 // guarded by growing.mu
}

// events returns what the file holds behind the first from events. The last line may be half written, and is read at the next look; that
// of a killed entry stays cut, and the next life's first line is lost with it.
func (f *timelineFile) events(from int) []timeline.Event {
	GinkgoHelper()
	return f.more(from, func(int) []timeline.Event {
		file, err := os.Open(f.path)
		Expect(err).NotTo(HaveOccurred())
		defer file.Close()
		text, err := io.ReadAll(io.NewSectionReader(file, f.offset, 1<<40))
		Expect(err).NotTo(HaveOccurred())
		whole := text[:bytes.LastIndexByte(text, '\n')+1]
		f.offset += int64(len(whole))
		return decodeEvents(whole)
	})
}

func decodeEvents(text []byte) []timeline.Event {
	var events []timeline.Event
	for line := range bytes.Lines(text) {
		var event timeline.Event
		if json.Unmarshal(line, &event) == nil {
			events = append(events, event)
		}
	}
	return events
}
