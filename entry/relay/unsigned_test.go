package relay_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/platform"
	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

// A faulty server's bytes may look like a success, and were passed on as one.
var _ = DescribeTable("Relay does not take an answer without a signature for a success", func(path string, echo bool, status int) {
	r := newHarness(replica.Config{Slots: 8}, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if echo {
			w.Header().Set(platform.HeaderRequestID, request.Header.Get(platform.HeaderRequestID))
		}
		_, _ = io.WriteString(w, "not an answer")
	}))
	DeferCleanup(server.Close)
	faulty := &backend.Server{ID: "i-9", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 8}
	r.turns.servers = append([]*backend.Server{faulty}, r.turns.servers...)
	response, err := http.DefaultClient.Do(r.request(http.MethodPost, path, "a1"))
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	Expect(response.StatusCode).To(Equal(status))
	if status == http.StatusOK {
		Expect(response.Header.Get(platform.HeaderSignature)).To(Equal("signed.i-0"))
	}
},
	Entry("repeats a request that may be repeated", "/look/x", true, http.StatusOK),
	Entry("repeats one whose answer names no request either", "/look/x", false, http.StatusOK),
	Entry("says of another one that it may have run", "/book/x", true, http.StatusBadGateway),
)
