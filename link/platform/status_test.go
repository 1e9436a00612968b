package platform_test

import (
	"context"
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	link "github.com/skylarkpond/skylarkpond/link/platform"
)

// A write that the platform refused must not be taken for one whose effect is unknown, nor the other way round.
var _ = DescribeTable("A status of the platform", func(status int, want error) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "3")
		w.WriteHeader(status)
	}))
	DeferCleanup(server.Close)
	_, err := link.NewClient(server.URL).Put(context.Background(), link.KindEntry, "a", 0, value("1"))
	Expect(err).To(MatchError(want))
},
	Entry("429 is a refusal of its rate limit", http.StatusTooManyRequests, link.ErrThrottled),
	Entry("503 is a refusal", http.StatusServiceUnavailable, link.ErrUnavailable),
	Entry("502 leaves the write unconfirmed", http.StatusBadGateway, link.ErrUnconfirmed),
)
