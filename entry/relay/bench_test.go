package relay_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/skylarkpond/skylarkpond/backend"
	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/entry/callers"
	"github.com/skylarkpond/skylarkpond/entry/relay"
	"github.com/skylarkpond/skylarkpond/internal/lateread"
	"github.com/skylarkpond/skylarkpond/link/upstream"
	"github.com/skylarkpond/skylarkpond/platform"
	"github.com/skylarkpond/skylarkpond/policy/slowread"
)

// BenchmarkEvents forwards one stream with as many events as iterations, of 200 bytes each, so that the figures are those of an event.
func BenchmarkEvents(b *testing.B) {
	event := []byte("id: 1\ndata: " + strings.Repeat("x", 186) + "\n\n")
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		w.Header().Set(platform.HeaderRequestID, request.Header.Get(platform.HeaderRequestID))
		w.Header().Set(platform.HeaderSignature, "signed")
		for range b.N {
			_, _ = w.Write(event) // the caller counts what arrives
		}
	}))
	defer server.Close()
	table := route.NewTable(1, []route.Route{{
		Name: "chat", Host: "h.example", PathPrefix: "/", Kind: route.Streaming, Timeout: time.Hour, MaxAttempts: 1, Resumable: true,
		Targets: []route.Target{{Service: "s", Weight: 1}},
	}}, nil, nil, route.Limits{})
	watch := callers.New(callers.Deps{Bounds: slowread.ForMachine(1 << 30), Cut: func(callers.Cut) {}})
	gateway := httptest.NewUnstartedServer(relay.New(relay.Deps{
		Table: func() *route.Table { return table }, Pool: upstream.NewPool(), PeerPool: upstream.NewPool(), Suspects: &fakeSuspects{}, Limits: &fakeLimits{},
		Turns:   &inOrder{servers: []*backend.Server{{ID: "i-1", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 1}}},
		Retries: relay.NewRetries(relay.Allowance{Ratio: 1, Extra: 20}, 1), Pauses: noPauses{}, Isolation: &fakeIsolation{}, Callers: watch,
		Random: func() float64 { return 0.5 }, FirstRequest: func() {}, Report: func(relay.Report) {}, Rejected: func(relay.Rejection) {},
	}))
	gateway.Listener = watch.Listen(lateread.Listen(gateway.Listener))
	gateway.Config.ConnContext = callers.WithConn
	gateway.Start()
	defer gateway.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go watch.Run(ctx)
	request, err := http.NewRequest(http.MethodPost, gateway.URL+"/x", strings.NewReader("body"))
	if err != nil {
		b.Fatal(err)
	}
	request.Host = "h.example"
	request.Header.Set(platform.HeaderRequestID, "a1")
	b.ReportAllocs()
	b.ResetTimer()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	n, err := io.Copy(io.Discard, response.Body)
	if err != nil || n != int64(b.N*len(event)) {
		b.Fatalf("%d bytes: %v", n, err)
	}
}
