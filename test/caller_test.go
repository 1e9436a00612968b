package test

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/examples"
	standinengine "github.com/skylarkpond/skylarkpond/internal/standin/engine"
	"github.com/skylarkpond/skylarkpond/link/engine"
)

// answer is what a caller got.
type answer struct {
	status    int
	outcome   contract.Outcome
	code      contract.Code
	retry     string
	requestID string
	body      string
	// whole says that a completion is complete by its form; text is what it carried.
	whole bool
	text  string
	err   error
}

// callTimeout is above every request timeout that the tests use: a caller that waits longer was not
// answered at all.
const callTimeout = 60 * time.Second

// patience is the Request-Timeout of bookings, in seconds: below callTimeout, and above what a queue behind
// a few slow calls expects to take.
const patience = "55"

// caller asks one entry. Each request has a connection of its own, as from many callers.
type caller struct{ entry *entryProcess }

func (c caller) send(method, path string, header map[string]string, body string) answer {
	request, err := http.NewRequest(method, c.entry.public+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+examples.DevTeamKey)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return read(response, string(text), err)
}

func read(response *http.Response, body string, err error) answer {
	got := answer{
		status: response.StatusCode, body: body, err: err,
		outcome:   contract.Outcome(response.Header.Get(contract.HeaderOutcome)),
		requestID: response.Header.Get(contract.HeaderRequestID),
		retry:     response.Header.Get(contract.HeaderRetryAfter),
	}
	if got.outcome == "" {
		got.outcome = contract.Outcome(response.Trailer.Get(contract.HeaderOutcome))
	}
	var problem contract.Problem
	if json.Unmarshal([]byte(body), &problem) == nil {
		got.code = problem.Code
	}
	return got
}

// stream asks for a completion as a stream.
func (c caller) stream(prompt string, tokens int) answer {
	return c.streamAs(examples.DevTeamKey, prompt, tokens)
}

// streamAs is stream with the key of another team.
func (c caller) streamAs(key, prompt string, tokens int) answer {
	return c.streamBody(key, completion(prompt, tokens, true))
}

// converse asks for the next message of a conversation.
func (c caller) converse(conversation []engine.Message, tokens int) answer {
	return c.streamBody(examples.DevTeamKey, conversationBody(conversation, tokens))
}

func conversationBody(conversation []engine.Message, tokens int) string {
	body, _ := json.Marshal(engine.Completion{Model: "chat-small", Stream: true, MaxTokens: tokens, Messages: conversation})
	return string(body)
}

func (c caller) streamBody(key, body string) answer {
	header := map[string]string{"Authorization": "Bearer " + key}
	got := c.send(http.MethodPost, "/v1/chat/completions", header, body)
	scanner := bufio.NewScanner(strings.NewReader(got.body))
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			got.whole = true
		default:
			got.text += chunkText(data)
		}
	}
	return got
}

func chunkText(data string) string {
	var chunk struct {
		Choices []struct {
			Delta struct{ Content string }
		}
	}
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].Delta.Content
}

// complete asks for a completion as a whole.
func (c caller) complete(prompt string, tokens int) answer {
	got := c.send(http.MethodPost, "/v1/chat/completions", nil, completion(prompt, tokens, false))
	var whole struct {
		Choices []struct {
			Message struct{ Content string }
		}
	}
	if json.Unmarshal([]byte(got.body), &whole) == nil && len(whole.Choices) > 0 {
		got.text = whole.Choices[0].Message.Content
		got.whole = got.status == http.StatusOK
	}
	return got
}

func messages(prompt string) []engine.Message {
	return []engine.Message{{Role: "user", Content: prompt}}
}

func completion(prompt string, tokens int, stream bool) string {
	body, _ := json.Marshal(engine.Completion{
		Model: "chat-small", Stream: stream, MaxTokens: tokens, Messages: messages(prompt),
	})
	return string(body)
}

// isWhole says whether the caller got the whole answer to its own prompt: the backend server's text
// depends on the request's id, the prompt and the place of each token.
func (a answer) isWhole(prompt string, tokens int) bool {
	return a.whole && a.text == standinengine.Answer(a.requestID, messages(prompt), tokens)
}

// book calls the path that may not be repeated. The body names the lot, so that the backend server's log
// tells by its hash how often the lot was booked.
func (c caller) book(lot string, attempt int) answer { return c.bookOn("desk", lot, attempt) }

func (c caller) bookOn(service, lot string, attempt int) answer {
	header := map[string]string{
		contract.HeaderIdempotencyKey: lot, contract.HeaderAttempt: fmt.Sprint(attempt),
		contract.HeaderRequestTimeout: patience,
	}
	return c.send(http.MethodPost, "/v1/services/"+service+"/bookings", header, booking(lot))
}

func booking(lot string) string { return `{"lot":"` + lot + `"}` }

// bodyHash is the hash under which the backend servers log a body.
func bodyHash(body string) string {
	sum := sha256.Sum256([]byte(body))
	return hex.EncodeToString(sum[:8])
}
