package descriptors_test

import (
	"context"
	"net"
	"testing"

	"github.com/skylarkpond/skylarkpond/internal/descriptors"
)

func TestCounter(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	var counter descriptors.Counter
	dial := counter.Wrap((&net.Dialer{}).DialContext)
	conn, err := dial(context.Background(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if counter.Open() != 1 {
		t.Errorf("%d open connections after one was dialed", counter.Open())
	}
	for range 2 {
		_ = conn.Close() // the second one fails
	}
	if _, err := dial(context.Background(), "tcp", "127.0.0.1:1"); err == nil {
		t.Error("connected to a port without a listener")
	}
	if counter.Open() != 0 {
		t.Errorf("%d open connections after all were closed", counter.Open())
	}
}

func TestLimit(t *testing.T) {
	if descriptors.Limit(300) != 300 {
		t.Error("the setting is not the limit")
	}
	if limit := descriptors.Limit(0); limit < 0 {
		t.Errorf("limit of the system: %d", limit)
	}
}
