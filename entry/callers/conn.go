package callers

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/skylarkpond/skylarkpond/policy/slowread"
)

// tcpConn is what the HTTP server and package framing use of a TCP connection.
type tcpConn interface {
	net.Conn
	CloseWrite() error
	SetLinger(seconds int) error
	SyscallConn() (syscall.RawConn, error)
}

// conn is the connection of a caller.
type conn struct {
	tcpConn
	raw   syscall.RawConn
	watch *Watch
	// writes counts the beginnings and ends of writes: it is odd while one is pending.
	writes atomic.Uint64
	// queued is what the kernel holds for the pending write, as of the last sweep; it is part of the watch's sum.
	queued atomic.Int64
	// account is that of the request in progress, or of the last one.
	account atomic.Pointer[Account]
	// reason is why the connection was cut; nil if it was not.
	reason atomic.Pointer[slowread.Reason]

	// progress is used by the sweep only.
	progress slowread.Progress
}

// minBlocked is the shortest write that counts as having waited for the caller; shorter ones wait for the processor.
const minBlocked = 10 * time.Millisecond

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	began := time.Now()
	c.writes.Add(1)
	n, err := c.tcpConn.Write(p)
	c.writes.Add(1)
	c.discount()
	if took := time.Since(began); took >= minBlocked {
		if account := c.account.Load(); account != nil {
			account.blocked.Add(int64(took))
		}
	}
	return n, err
}

// count includes a number of bytes in the watch's sum until the pending write ends.
func (c *conn) count(bytes int64) {
	c.watch.queued.Add(bytes - c.queued.Swap(bytes))
	if c.writes.Load()%2 == 0 {
		c.discount() // the write has ended meanwhile
	}
}

// discount takes out of the watch's sum what is included for this connection.
func (c *conn) discount() {
	if c.queued.Load() != 0 {
		c.watch.queued.Add(-c.queued.Swap(0))
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.watch.remove(c)
	return c.tcpConn.Close()
}

// cut closes the connection with a reset: an orderly close could pass for the end of an answer, and the kernel would keep what the caller does not
// read.
func (c *conn) cut(reason slowread.Reason) {
	c.reason.Store(&reason)
	_ = c.SetLinger(0) // fails only if the connection is closed
	_ = c.Close()
}

// sendState is what the kernel tells of the bytes that were written to a connection.
type sendState struct {
	// windowEnd is up to where the caller's machine accepts them: what it has acknowledged and its receive window. queued are those that the kernel
	// still holds.
	windowEnd uint64
	queued    int64
}

// sendState returns false if the connection is closed.
func (c *conn) sendState() (state sendState, ok bool) {
	err := c.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		queued, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		state, ok = sendState{windowEnd: info.Bytes_acked + uint64(info.Snd_wnd), queued: int64(queued)}, err == nil
	})
	return state, ok && err == nil
}
