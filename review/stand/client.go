package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const hostName = "h.example"

// request is one attempt of a client.
type request struct {
	method, path, id, body string
	deadline               time.Duration
}

func (q request) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nSkylarkpond-Attempt-Id: %s\r\nSkylarkpond-Credential: key-one\r\nSkylarkpond-Deadline-Ms: %d\r\n",
		q.method, q.path, hostName, q.id, q.deadline.Milliseconds())
	if q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	return b.String()
}

// answer is what a client got. err is nil if the answer looks complete.
type answer struct {
	status    int
	signature string
	body      string
	err       error
}

func (a answer) String() string {
	switch {
	case a.status == 0:
		return fmt.Sprintf("no answer (%v)", a.err)
	case a.err != nil:
		return fmt.Sprintf("status %d, signature %q, %d bytes, visibly not complete (%v)", a.status, a.signature, len(a.body), a.err)
	}
	return fmt.Sprintf("status %d, signature %q, %d bytes, to all appearance complete", a.status, a.signature, len(a.body))
}

// isSuccess reports whether the client takes the answer for a complete success.
func (a answer) isSuccess() bool { return a.err == nil && a.status >= 200 && a.status < 300 }

// readAnswer reads the answer to a request. read is called with the number of bytes of the body after each part.
func readAnswer(conn net.Conn, q request, read func(n int)) answer {
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	got := answer{status: response.StatusCode, signature: response.Header.Get("Skylarkpond-Server-Signature")}
	var body strings.Builder
	buffer := make([]byte, 8<<10)
	for {
		n, err := response.Body.Read(buffer)
		body.Write(buffer[:n])
		read(body.Len())
		if err != nil {
			got.body = body.String()
			if err != io.EOF {
				got.err = err
			}
			return got
		}
	}
}

// send sends a request on a connection of its own and waits for the answer until the client's deadline.
func send(address string, q request) answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(q.deadline))
	if _, err := io.WriteString(conn, q.text()); err != nil {
		return answer{err: err}
	}
	return readAnswer(conn, q, func(int) {})
}
