package ingress

import (
	"context"
	"net"
	"syscall"

	"github.com/rotisserie/eris"
)

// backlog is the number of connections that the kernel keeps for a process that does not accept them. Each may have a full receive buffer.
const backlog = 1024

// Listen listens at an address (IP:port) with a receive buffer of a size, in bytes, for each connection. It bounds what lies unread there; the kernel's
// own sizes grow to megabytes.
func Listen(address string, receiveBuffer int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// A system that can't set the size keeps its own.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "listening at "+address)
	}
	if raw, err := listener.(*net.TCPListener).SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), backlog) }) // or else the system's own bound holds
	}
	return listener, nil
}
