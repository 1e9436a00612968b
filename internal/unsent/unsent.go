// Package unsent limits how many bytes the kernel takes for a TCP connection whose other side reads slowly.
package unsent

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// Bytes is how many bytes the kernel takes beyond what is on the way. By its own rules it takes up to some megabytes, which are held for a side that
// does not read, and hide for seconds that one reads.
const Bytes = 32 << 10

// Limit applies Bytes to a connection. Where the kernel does not know the option, it decides itself how much it takes.
func Limit(raw syscall.RawConn) {
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, Bytes)
	})
}
