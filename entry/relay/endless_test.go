package relay_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/platform"
	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

// fewBytes is above what the buffers of two sockets and of an answer that is given up take.
const fewBytes = 16 << 20

var _ = Describe("Answers that never end", func() {
	// The head was read until the deadline, so that no other server was tried and memory grew all the while.
	DescribeTable("are given up at once, and another server is tried", func(path string, part replica.Endless) {
		config := replica.Config{Slots: 8}
		if strings.HasPrefix(path, "/chat/") {
			config.Events, config.EventInterval = 3, time.Millisecond
		}
		r := newHarness(config, 2)
		r.servers[0].SetFaults(replica.Faults{Endless: part})
		began := time.Now()
		response, err := http.DefaultClient.Do(r.request(http.MethodPost, path, "a1"))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK), "%s", body)
		Expect(response.Header.Get(platform.HeaderSignature)).To(Equal("signed.i-1"))
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		Expect(r.servers[0].EndlessBytes()).To(BeNumerically("<", fewBytes))
	},
		Entry("a status line", "/look/x", replica.EndlessStatus),
		Entry("a field", "/look/x", replica.EndlessField),
		Entry("a head", "/look/x", replica.EndlessHead),
		Entry("the answer of another request", "/look/x", replica.EndlessOther),
		Entry("interim answers", "/look/x", replica.EndlessInterim),
		Entry("the head of a stream", "/chat/x", replica.EndlessHead),
	)

	// An event that breaks off is sent by another server, so all of it was held in memory.
	It("are resumed at another server after an event that is too large", func() {
		r := newHarness(replica.Config{Slots: 8, Events: 3, EventInterval: time.Millisecond}, 2)
		r.servers[0].SetFaults(replica.Faults{Endless: replica.EndlessEvent})
		response, err := http.DefaultClient.Do(r.request(http.MethodPost, "/chat/x", "a1"))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal(replica.Event(1, "a1") + replica.Event(2, "a1") + replica.Event(3, "a1")))
		Expect(r.servers[0].EndlessBytes()).To(BeNumerically("<", fewBytes))
	})

	// A caller that reads nothing must not make the entry hold what the server sends. One that reads all of it took what came until the deadline for a
	// complete answer where that ends with its connection.
	DescribeTable("are read no faster than their callers read them, and don't look complete", func(part replica.Endless, idle time.Duration) {
		r := newHarness(replica.Config{Slots: 8}, 1)
		r.servers[0].SetFaults(replica.Faults{Endless: part})
		response, err := http.DefaultClient.Do(r.request(http.MethodPost, "/book/x", "a1"))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		time.Sleep(idle)
		Expect(r.servers[0].EndlessBytes()).To(BeNumerically("<", fewBytes))
		_, err = io.Copy(io.Discard, response.Body)
		Expect(err).To(HaveOccurred())
	},
		Entry("in chunks", replica.EndlessBody, 500*time.Millisecond),
		Entry("that end with their connection", replica.EndlessEvent, 500*time.Millisecond),
		Entry("in chunks, to a caller that reads nothing until the deadline", replica.EndlessBody, 2500*time.Millisecond),
		Entry("that end with their connection, to a caller that reads nothing until the deadline", replica.EndlessEvent, 2500*time.Millisecond),
	)
})

var _ = Describe("Large answers", func() {
	const size = 6 << 20
	content := bytes.Repeat([]byte("0123456789abcde\n"), size/16)

	// What bounds an endless answer must not cut a sound one.
	DescribeTable("reach their callers whole, while they are still being sent", func(frame func(http.Header)) {
		r := newHarness(replica.Config{Slots: 8}, 1)
		proceed := make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			w.Header().Set(platform.HeaderRequestID, request.Header.Get(platform.HeaderRequestID))
			w.Header().Set(platform.HeaderSignature, "signed")
			frame(w.Header())
			_, _ = w.Write(content[:size/2])
			_ = http.NewResponseController(w).Flush()
			<-proceed
			_, _ = w.Write(content[size/2:])
		}))
		DeferCleanup(server.Close)
		r.turns.servers = []*backend.Server{{ID: "i-9", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 8}}
		response, err := http.DefaultClient.Do(r.request(http.MethodPost, "/book/x", "a1"))
		close(proceed)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(body, content)).To(BeTrue(), "%d bytes", len(body))
		Eventually(func() int {
			r.mu.Lock()
			defer r.mu.Unlock()
			return len(r.reports)
		}).Should(Equal(1))
		Expect(r.reports[0].Outcome).To(BeEquivalentTo("served"))
	},
		Entry("with a length", func(h http.Header) { h.Set("Content-Length", fmt.Sprint(size)) }),
		Entry("in chunks", func(http.Header) {}),
		Entry("that end with their connection", func(h http.Header) { h.Set("Transfer-Encoding", "identity") }),
	)

	// A part of an answer must not be taken for all of it.
	It("that break off don't look complete", func() {
		r := newHarness(replica.Config{Slots: 8}, 1)
		var requests atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			requests.Add(1)
			w.Header().Set(platform.HeaderRequestID, request.Header.Get(platform.HeaderRequestID))
			w.Header().Set(platform.HeaderSignature, "signed")
			_, _ = w.Write(content[:size/2])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}))
		DeferCleanup(server.Close)
		r.turns.servers = []*backend.Server{{ID: "i-9", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 8}}
		response, err := http.DefaultClient.Do(r.request(http.MethodPost, "/look/x", "a1"))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
		Expect(err).To(HaveOccurred())
		Expect(requests.Load()).To(BeEquivalentTo(1))
	})

	It("end at the server when their caller leaves", func() {
		r := newHarness(replica.Config{Slots: 8}, 1)
		r.servers[0].SetFaults(replica.Faults{Endless: replica.EndlessBody})
		ctx, cancel := context.WithCancel(context.Background())
		response, err := http.DefaultClient.Do(r.request(http.MethodPost, "/book/x", "a1").WithContext(ctx))
		Expect(err).NotTo(HaveOccurred())
		cancel()
		_ = response.Body.Close()
		Eventually(func() int {
			r.mu.Lock()
			defer r.mu.Unlock()
			return len(r.reports)
		}, time.Second).Should(Equal(1))
	})
})
