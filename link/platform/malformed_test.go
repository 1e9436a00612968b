package platform_test

import (
	"context"
	"encoding/json"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkpond/skylarkpond/internal/standin/malformed"
	link "github.com/skylarkpond/skylarkpond/link/platform"
)

// Guards against writes that count as done, and objects that count as read, because of bytes that are no answer of the platform.
var _ = Describe("An answer of the platform with a malformed head", func() {
	for _, c := range malformed.Cases() {
		It("is an error, "+c.String(), func() {
			object := `{"kind":"entry","name":"a","version":3,"value":{}}`
			server, err := malformed.Start(c, func(*http.Request) string { return "Content-Type: application/json\r\n" }, object)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(server.Close)
			client := link.NewClient("http://" + server.Address())
			_, err = client.Get(context.Background(), link.KindEntry, "a")
			Expect(err).To(MatchError(link.ErrUnavailable))
			_, err = client.Put(context.Background(), link.KindEntry, "a", 2, json.RawMessage(`{}`))
			Expect(err).To(MatchError(link.ErrUnconfirmed))
			Expect(client.Delete(context.Background(), link.KindEntry, "a", 3)).To(MatchError(link.ErrUnconfirmed))
		})
	}
})
