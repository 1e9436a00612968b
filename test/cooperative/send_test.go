package cooperative

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/skylarkpond/skylarkpond/platform"
)

// sent is what a caller got.
type sent struct {
	id     string
	status int
	body   string
	retry  string
	err    error
}

func (e *gatewayProcess) send(path, id string) sent { return e.sendBody(path, id, "body") }

func (e *gatewayProcess) sendBody(path, id, body string) sent {
	return e.sendOver(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, path, id, body)
}

func (e *gatewayProcess) sendOver(client *http.Client, path, id, body string) sent {
	return e.sendPrompt(client, path, id, body)
}

// sendPrompt sends a request whose prompt consists of parts.
func (e *gatewayProcess) sendPrompt(client *http.Client, path, id, body string, parts ...string) sent {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callers+path, strings.NewReader(body))
	if err != nil {
		return sent{id: id, err: err}
	}
	request.Host = "h.example"
	request.Header.Set(platform.HeaderRequestID, id)
	request.Header.Set(platform.HeaderKey, "key")
	if len(parts) > 0 {
		request.Header.Set(platform.HeaderPromptParts, strings.Join(parts, ":100,")+":100")
	}
	if strings.HasPrefix(path, "/chat/") {
		request.Header.Set(platform.HeaderModel, "large")
		request.Header.Set(platform.HeaderTokens, "100,100")
	}
	response, err := client.Do(request)
	if err != nil {
		return sent{id: id, err: err}
	}
	defer response.Body.Close()
	answer, err := readAnswer(response.Body)
	return sent{id: id, status: response.StatusCode, body: answer, retry: response.Header.Get("Retry-After"), err: err}
}

// keptBytes is more than any sound answer has.
const keptBytes = 1 << 20

// readAnswer reads an answer to its end. Of one that is longer than keptBytes it keeps the beginning: servers send without end.
func readAnswer(body io.Reader) (string, error) {
	answer, err := io.ReadAll(io.LimitReader(body, keptBytes))
	if err != nil || len(answer) < keptBytes {
		return string(answer), err
	}
	_, err = io.Copy(io.Discard, body)
	return string(answer) + " and more", err
}
