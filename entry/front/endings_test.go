package front

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/outcome"
	"github.com/skylarkpond/skylarkpond/link/framing"
)

// respond lets a writer deliver frames and end the response, and returns what the caller receives.
func respond(q *request, frames []contract.Frame, a outcome.Action) (status int, body string, err error) {
	GinkgoHelper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		caller := newCallerConn(context.Background(), r, w, nil, time.Second)
		caller.request = q
		written := newWriter(q, caller)
		for _, f := range frames {
			_, _ = written.deliver(f)
		}
		written.finish(a)
		caller.end()
	}))
	defer server.Close()
	response, err := http.Get(server.URL)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// Guards against a part of an answer that looks complete: an answer that ends with its connection breaks off by a panic, as it does when the process
// is killed.
var _ = It("An answer that ends with its connection is reset unless it is whole", func() {
	for _, whole := range []bool{true, false} {
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			caller := newCallerConn(context.Background(), r, w, nil, time.Second)
			caller.request = &request{plain: &contract.PlainCall{}}
			written := newWriter(caller.request, caller)
			_, _ = written.deliver(contract.Frame{Kind: contract.FrameHead, Status: http.StatusOK, EndsWithConnection: true})
			_, _ = written.deliver(contract.Frame{Kind: contract.FrameChunk, Data: make([]byte, plainBufferSize+1)})
			if !whole {
				panic(http.ErrAbortHandler)
			}
			written.finish(outcome.Action{Outcome: contract.OutcomeAnswered})
			caller.end()
		}))
		server.Config.ConnContext = framing.WithConn
		server.Start()
		response, err := http.Get(server.URL)
		Expect(err).NotTo(HaveOccurred())
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		server.Close()
		if whole {
			Expect(err).NotTo(HaveOccurred())
			Expect(text).To(HaveLen(plainBufferSize + 1))
			continue
		}
		Expect(err).To(HaveOccurred())
	}
})

// Guards against a success that no backend server gave: an empty 200 for a response in which nothing was written, or a part of an answer that looks
// complete.
var _ = Describe("The end of a response", func() {
	plain := []contract.Frame{
		{Kind: contract.FrameHead, Status: http.StatusCreated},
		{Kind: contract.FrameChunk, Data: make([]byte, plainBufferSize+1)},
	}
	event := []contract.Frame{{Kind: contract.FrameEvent, Text: "w0"}}
	kinds := []struct {
		name    string
		request request
		frames  []contract.Frame
		stored  *contract.StoredAnswer
	}{
		{"plain", request{plain: &contract.PlainCall{}}, plain, &contract.StoredAnswer{Status: http.StatusOK, Body: []byte("stored")}},
		{"stream", request{stream: true}, event, &contract.StoredAnswer{Body: []byte(`{"final":true}`)}},
		{"buffered", request{}, event, &contract.StoredAnswer{Body: []byte(`{"final":true}`)}},
	}
	problem := &contract.Problem{Status: http.StatusBadGateway, Code: contract.CodeInternal}
	const (
		complete = "complete answer"
		failure  = "problem"
		aborted  = "aborted connection"
	)
	for _, kind := range kinds {
		// A stream that has begun reports the problem in its last event.
		afterPart := map[string]string{"plain": aborted, "stream": failure, "buffered": failure}[kind.name]
		DescribeTable("of a "+kind.name+" answer",
			func(delivered bool, a outcome.Action, want string) {
				var frames []contract.Frame
				if delivered {
					frames = kind.frames
				}
				q := kind.request
				status, body, err := respond(&q, frames, a)
				switch {
				case err != nil:
					Expect(want).To(Equal(aborted), err.Error())
				case status >= http.StatusBadRequest || kind.name == "stream" && !strings.HasSuffix(body, "data: [DONE]\n\n"):
					Expect(want).To(Equal(failure), body)
				default:
					Expect(want).To(Equal(complete), body)
					Expect(body).NotTo(BeEmpty())
				}
			},
			Entry("delivered", true, outcome.Action{Outcome: contract.OutcomeAnswered}, complete),
			Entry("said to be delivered", false, outcome.Action{Outcome: contract.OutcomeAnswered}, aborted),
			Entry("stored", false, outcome.Action{Outcome: contract.OutcomeAnswered, StoredAnswer: kind.stored}, complete),
			Entry("not run", false, outcome.Action{Outcome: contract.OutcomeNotRun, Problem: problem}, failure),
			Entry("in progress", false, outcome.Action{Outcome: contract.OutcomeInProgress, Problem: problem}, failure),
			Entry("unknown", false, outcome.Action{Outcome: contract.OutcomeUnknown, Problem: problem}, failure),
			Entry("unknown after a part", true, outcome.Action{Outcome: contract.OutcomeUnknown, Problem: problem}, afterPart),
		)
	}
})
