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

// DefaultMaxTokens is the length of the answer to a request that sets no max_tokens.
const DefaultMaxTokens = 16

// Token returns the text of token seq of the answer to a request. The text depends on the request ID and
// the prompt, so that a test can detect that answers of two requests were mixed up.
func Token(requestID string, messages []engine.Message, seq uint64) string {
	var prompt strings.Builder
	for _, m := range messages {
		fmt.Fprintf(&prompt, "%q %q\n", m.Role, m.Content)
	}
	return fmt.Sprintf("%s-%d ", hash([]byte(requestID + "\n" + prompt.String()))[:8], seq)
}

// Answer returns the complete text of an answer that has the given number of tokens.
func Answer(requestID string, messages []engine.Message, tokens int) string {
	var text strings.Builder
	for seq := range tokens {
		text.WriteString(Token(requestID, messages, uint64(seq)))
	}
	return text.String()
}

// completion is one execution of a chat completion request.
type completion struct {
	machine   *machine
	boot      *boot
	headers   requestHeaders
	order     engine.Order
	body      engine.Completion
	run       Run
	session   *sse.Session
	ctx       context.Context // done when the client disconnects
	cancelled chan struct{}
	settings  settings // as of the start of streaming
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
	order, refused := m.checkRequest(b, a)
	if refused == nil && m.host.worstPresence(order) == lostMember {
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
		machine: m, boot: b, headers: a, order: order, body: parsed,
		run: m.newRun(b, a, order, body), ctx: request.Context(),
	}
	c.cancelled = m.addCancel(b, a.requestID)
	defer m.dropCancel(b, a.requestID, c.cancelled)
	if !c.open(response, request) || !c.await(w.ready) {
		abort()
	}
	m.host.runs.add(c.run, Started)
	if m.containsCrashMarker(body) {
		m.crash()
		abort()
	}
	c.stream()
}

// open sends the response headers, which tell the client that the request was accepted.
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

// await waits until ready closes. It returns false if the client disconnects, the request is cancelled or
// the VM stops first.
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

// stream sends the events of the answer, one per token.
func (c *completion) stream() {
	c.settings = c.machine.consumeStreamFaults()
	c.cut = c.settings.cut.Count != 0
	c.mangle = c.settings.mangle.Count != 0
	wait := c.machine.host.options.FirstToken
	for seq := c.headers.resumeFrom; seq < uint64(c.body.MaxTokens); seq++ {
		if !c.sleep(scale(wait, c.machine.host.maxSlowFactor(c.order))) {
			c.end(Cancelled)
		}
		if !c.awaitMembers() || c.cut && seq-c.headers.resumeFrom >= c.settings.cut.After || !c.send(seq) {
			c.end(Broken)
		}
		wait = c.tokenGap()
	}
	c.machine.host.runs.add(c.run, Finished)
}

// consumeStreamFaults returns the current settings and decrements the counters of the faults that apply to
// a limited number of streams.
func (m *machine) consumeStreamFaults() settings {
	m.mu.Lock()
	defer m.mu.Unlock()
	drawn := m.faults
	consume(&m.faults.cut.Count)
	consume(&m.faults.mangle.Count)
	return drawn
}

// end logs the phase in which the run ended early, unless the VM has stopped, and aborts the connection.
func (c *completion) end(phase Phase) {
	if alive(c.boot) {
		c.machine.host.runs.add(c.run, phase)
	}
	abort()
}

// stallPollInterval is how often the head of a stalled group checks the state of its members.
const stallPollInterval = 2 * time.Millisecond

// awaitMembers waits while the VM or a member of its group is frozen. It returns false if a member is lost
// or the request ends.
func (c *completion) awaitMembers() bool {
	for {
		if !c.machine.awaitThaw(c.boot) {
			return false
		}
		switch c.machine.host.worstPresence(c.order) {
		case presentMember:
			return true
		case lostMember:
			return false
		}
		if !c.sleep(stallPollInterval) {
			return false
		}
	}
}

func (c *completion) tokenGap() time.Duration {
	others := c.boot.batch.runningCount() - 1
	return c.machine.settings().tokenGap + time.Duration(max(0, others))*c.machine.host.options.GapSlope
}

// send writes one event, altered or left out if a Mangle fault applies to it.
func (c *completion) send(seq uint64) bool {
	event := engine.Event{
		RequestID: c.headers.requestID,
		Seq:       seq,
		Text:      Token(c.headers.requestID, c.body.Messages, seq),
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
