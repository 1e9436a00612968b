package framing

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed means that a server has sent a head that no HTTP/1.1 response has. What follows it can't be told apart: it may be a body, another
// response, or neither.
var ErrMalformed = eris.New("malformed response")

const (
	// maxStatus is the greatest status code (RFC 9110, section 15).
	maxStatus = 599
	// headerLength is absent from interim responses, which have no body (RFC 9110, section 8.6). A body would be read as the next response.
	headerLength = "Content-Length"
	// maxInterim is how many interim responses may precede a response. A faulty server may send them without end, and net/http leaves the bound to
	// those who look at them.
	maxInterim = 5
)

// CheckInterim returns ErrMalformed unless the head is that of an interim response after which another one follows.
func CheckInterim(status int, header http.Header) error {
	switch {
	case status < http.StatusContinue || status >= http.StatusOK || status == http.StatusSwitchingProtocols:
		return eris.Wrapf(ErrMalformed, "status %03d", status)
	case header.Values(headerLength) != nil:
		return eris.Wrapf(ErrMalformed, "status %d with a length", status)
	}
	return checkNames(header)
}

// Check returns ErrMalformed unless the head is that of a final response. net/http takes any three digits for a status, and keeps a field whose name
// holds a blank under that name, where nothing finds it: "Transfer-Encoding : chunked" doesn't frame the body.
func Check(status int, header http.Header) error {
	if status < http.StatusOK || status > maxStatus {
		return eris.Wrapf(ErrMalformed, "status %03d", status)
	}
	return checkNames(header)
}

func checkNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return eris.Wrapf(ErrMalformed, "field name %q", name)
		}
	}
	return nil
}

// Checked returns a transport whose malformed responses, interim ones included, are errors.
func Checked(transport http.RoundTripper) http.RoundTripper { return checked{transport} }

type checked struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (c checked) RoundTrip(request *http.Request) (*http.Response, error) {
	interim := 0 // only the transport's reader uses it until RoundTrip returns
	trace := &httptrace.ClientTrace{Got1xxResponse: func(status int, header textproto.MIMEHeader) error {
		if interim++; interim > maxInterim {
			return eris.Wrapf(ErrMalformed, "over %d interim responses", maxInterim)
		}
		return CheckInterim(status, http.Header(header))
	}}
	response, err := c.next.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := Check(response.StatusCode, response.Header); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}
