package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/skylarkpond/skylarkpond/link/engine"
)

// DefaultMaxTokens is the length of an answer whose request names none.
const DefaultMaxTokens = 16

// Token returns the text of token seq of the answer to a request. It depends on the request and on its
// prompt, so that a test can tell an answer that was crossed with another.
func Token(requestID string, messages []engine.Message, seq uint64) string {
	var prompt strings.Builder
	for _, m := range messages {
		fmt.Fprintf(&prompt, "%q %q\n", m.Role, m.Content)
	}
	return fmt.Sprintf("%s-%d ", hash([]byte(requestID + "\n" + prompt.String()))[:8], seq)
}

// Answer returns the whole answer of a number of tokens.
func Answer(requestID string, messages []engine.Message, tokens int) string {
	var text strings.Builder
	for seq := range tokens {
		text.WriteString(Token(requestID, messages, uint64(seq)))
	}
	return text.String()
}

// completion is one run of a completion.
type completion struct {
	machine   *machine
	boot      *boot
	asked     asked
	order     engine.Order
	body      engine.Completion
	run       Run
	session   *sse.Session
	ctx       context.Context // ends when the caller leaves
	cancelled chan struct{}
	settings  settings // at the start of the run
	cut       bool
	mangle    bool
}

func (m *machine) complete(b *boot, body []byte, request *http.Request, response http.ResponseWriter) {
	var parsed engine.Completion
	if err := json.Unmarshal(body, &parsed); err != nil {
		(&refusal{http.StatusBadRequest, "malformed completion"}).write(response)
		return
	}
	if parsed.MaxTokens <= 0 {
		parsed.MaxTokens = DefaultMaxTokens
	}
	a := parseHeader(request.Header)
	order, refused := m.refuses(b, a)
	if refused == nil && m.host.weakest(order) == lost {
		refused = &refusal{http.StatusServiceUnavailable, "a member of the group is lost"}
	}
	if refused != nil {
		refused.write(response)
		return
	}
	w := b.batch.enter(a.priority)
	if w == nil {
		(&refusal{http.StatusTooManyRequests, "too many requests wait"}).write(response)
		return
	}
	defer b.batch.leave(w)
	c := &completion{
		machine: m, boot: b, asked: a, order: order, body: parsed,
		run: m.newRun(b, a, order, body), ctx: request.Context(),
	}
	c.cancelled = m.addCancel(b, a.requestID)
	defer m.dropCancel(b, a.requestID, c.cancelled)
	if !c.open(response, request) || !c.await(w.ready) {
		abort()
	}
	m.host.runs.add(c.run, Started)
	if m.crashes(body) {
		m.crash()
		abort()
	}
	c.stream()
}

// open sends the head of the answer, so that the caller knows that the request was taken.
func (c *completion) open(response http.ResponseWriter, request *http.Request) bool {
	session, err := sse.Upgrade(response, request)
	if err != nil {
		return false
	}
	c.session = session
	response.Header().Set("Content-Type", "text/event-stream")
	response.WriteHeader(http.StatusOK)
	return session.Flush() == nil
}

// await waits for a channel and returns false if the request ends before.
func (c *completion) await(ready <-chan struct{}) bool {
	select {
	case <-ready:
		return true
	case <-c.ctx.Done():
	case <-c.cancelled:
	case <-c.boot.dead:
	}
	return false
}

func (c *completion) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.ctx.Done():
	case <-c.cancelled:
	case <-c.boot.dead:
	}
	return false
}

// stream writes the events.
func (c *completion) stream() {
	c.settings = c.machine.draw()
	c.cut = c.settings.cut.Count != 0
	c.mangle = c.settings.mangle.Count != 0
	wait := c.machine.host.options.FirstToken
	for seq := c.asked.resumeFrom; seq < uint64(c.body.MaxTokens); seq++ {
		if !c.sleep(scale(wait, c.machine.host.slowest(c.order))) {
			c.end(Cancelled)
		}
		if !c.whole() || c.cut && seq-c.asked.resumeFrom >= c.settings.cut.After || !c.send(seq) {
			c.end(Broken)
		}
		wait = c.gap()
	}
	c.machine.host.runs.add(c.run, Finished)
}

// draw returns the switches, and counts down those that hold for a number of streams.
func (m *machine) draw() settings {
	m.mu.Lock()
	defer m.mu.Unlock()
	drawn := m.faults
	take(&m.faults.cut.Count)
	take(&m.faults.mangle.Count)
	return drawn
}

// end logs how the run ended early, and breaks the connection.
func (c *completion) end(phase Phase) {
	if alive(c.boot) {
		c.machine.host.runs.add(c.run, phase)
	}
	abort()
}

// stallStep is how often a stalled head looks for its members again.
const stallStep = 2 * time.Millisecond

// whole waits while the VM or a member of its group is paused, and returns false once one is lost.
func (c *completion) whole() bool {
	for {
		if !c.machine.gate(c.boot) {
			return false
		}
		switch c.machine.host.weakest(c.order) {
		case present:
			return true
		case lost:
			return false
		}
		if !c.sleep(stallStep) {
			return false
		}
	}
}

func (c *completion) gap() time.Duration {
	others := c.boot.batch.size() - 1
	return c.machine.settings().tokenGap + time.Duration(max(0, others))*c.machine.host.options.GapSlope
}

// send writes one event, spoiled if a switch says so.
func (c *completion) send(seq uint64) bool {
	event := engine.Event{
		RequestID: c.asked.requestID,
		Seq:       seq,
		Text:      Token(c.asked.requestID, c.body.Messages, seq),
		Tokens:    1,
	}
	if seq+1 == uint64(c.body.MaxTokens) {
		event.Final = true
		event.FinishReason = "stop"
	}
	if !c.mangle || seq != c.settings.mangle.Seq {
		return c.write(event)
	}
	switch c.settings.mangle.Kind {
	case MangleDrop:
		return true
	case MangleCross:
		event.RequestID = "another-" + event.RequestID
		event.Text = Token(event.RequestID, nil, seq)
	case MangleDuplicate:
		if !c.write(event) {
			return false
		}
	}
	return c.write(event)
}

func (c *completion) write(event engine.Event) bool {
	data, err := json.Marshal(event)
	if err != nil {
		return false
	}
	message := new(sse.Message)
	message.AppendData(string(data))
	return c.session.Send(message) == nil && c.session.Flush() == nil
}
