package platform_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	link "github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/platform"
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

	// Guards against a process that is killed for its memory: each page is bounded, and a list had any number of them.
	DescribeTable("are given up if they are lists whose pages have no end", func(objects int) {
		var pages atomic.Int64
		text := strings.Repeat("x", 1000)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if pages.Add(1) > 1000 {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			var entries []string
			for range objects {
				entries = append(entries, fmt.Sprintf(`{"metadata":{"name":"%s-%d","revision":1},"spec":"%s"}`, text[:100], rand.Int64(), text))
			}
			fmt.Fprintf(w, `{"entries":[%s],"hasMore":true,"asOf":1}`, strings.Join(entries, ","))
		}))
		DeferCleanup(server.Close)
		client := link.NewClient(server.URL, link.WithCodec(platform.ObjectCodec{}))
		listed, err := client.List(context.Background(), link.KindEntry)
		Expect(err).To(MatchError(link.ErrIncomplete))
		Expect(listed.Objects).To(BeEmpty())
		Expect(pages.Load()).To(BeNumerically("<", 1000))
	}, Entry("large ones", 900), Entry("smaller ones", 50))
})
