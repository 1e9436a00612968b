package engine

import (
	"net/http"
	"strings"
)

// notForwarded are the headers of a caller's request that end at the front.
//
// Idempotency-Key must not reach net/http, which takes it as leave to send a request again. Authorization is
// the team's key and none of the backend server's business. The others concern one connection only.
var notForwarded = []string{
	"Idempotency-Key",
	"X-Idempotency-Key",
	"Authorization",
	"Connection",
	"Content-Length",
	"Expect",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// endToEnd returns a copy of the headers that a backend server should see.
func endToEnd(header http.Header) http.Header {
	kept := header.Clone()
	if kept == nil {
		kept = make(http.Header)
	}
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range notForwarded {
		kept.Del(name)
	}
	return kept
}
