package engine

import (
	"net/http"
	"strings"
)

// unforwardedHeaders lists the headers of a caller's request that are not forwarded to backend servers.
//
// Idempotency-Key and X-Idempotency-Key must not reach net/http, which would consider the request safe to
// resend. Authorization holds the team's key, which the backend server must not see. The others apply to a
// single connection.
var unforwardedHeaders = []string{
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

// forwardedHeader returns a copy of header without the headers that must not be forwarded.
func forwardedHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	if forwarded == nil {
		forwarded = make(http.Header)
	}
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range unforwardedHeaders {
		forwarded.Del(name)
	}
	return forwarded
}
