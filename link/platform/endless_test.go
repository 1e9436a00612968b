package platform_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	link "github.com/skylarkpond/skylarkpond/link/platform"
)

// An answer of the platform was held whole until its end, whatever its size.
var _ = Describe("Responses that never end", func() {
	It("are given up, and leave a write unconfirmed", func() {
		var written atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			chunk := bytes.Repeat([]byte("x"), 1<<20)
			for range 256 {
				n, err := w.Write(chunk)
				written.Add(int64(n))
				if err != nil {
					return
				}
			}
		}))
		DeferCleanup(server.Close)
		client := link.NewClient(server.URL)
		_, err := client.List(context.Background(), link.KindEntry)
		Expect(err).To(MatchError(link.ErrUnavailable))
		_, err = client.Put(context.Background(), link.KindEntry, "a", 0, value("1"))
		Expect(err).To(MatchError(link.ErrUnconfirmed))
		Expect(written.Load()).To(BeNumerically("<", 64<<20))
	})
})
