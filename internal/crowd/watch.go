package crowd

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Usage is what a process holds.
type Usage struct {
	// Resident is its resident memory, Unread what lies unread at its sockets, in bytes.
	Resident, Unread int64
	// Descriptors is the number of its open descriptors.
	Descriptors int
}

// Memory returns what counts toward the memory of the process's machine, in bytes.
func (u Usage) Memory() int64 { return u.Resident + u.Unread }

// String returns the figures for reports.
func (u Usage) String() string {
	return fmt.Sprintf("%.1f MB resident, %.1f MB unread, %d descriptors", float64(u.Resident)/(1<<20), float64(u.Unread)/(1<<20), u.Descriptors)
}

// ErrNoProcess is returned for a process that has ended.
var ErrNoProcess = errors.New("the process has ended")

// Measure returns what a process holds whose sockets are at an IPv4 address. Sockets at the ports in others belong to other processes.
func Measure(pid int, ip string, others ...uint16) (Usage, error) {
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return Usage{}, ErrNoProcess
	}
	fields := strings.Fields(string(statm))
	if len(fields) < 2 || fields[1] == "0" {
		return Usage{}, ErrNoProcess
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return Usage{}, err
	}
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return Usage{}, ErrNoProcess
	}
	unread, err := unreadAt(ip, others)
	return Usage{Resident: pages * int64(os.Getpagesize()), Unread: unread, Descriptors: len(descriptors)}, err
}

// unreadAt returns the bytes that lie unread at the TCP connections of an IPv4 address.
func unreadAt(ip string, others []uint16) (int64, error) {
	address, err := netip.ParseAddr(ip)
	if err != nil {
		return 0, err
	}
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	own := address.As4()
	prefix := strings.ToUpper(hex.EncodeToString([]byte{own[3], own[2], own[1], own[0]})) + ":"
	var sum int64
	lines := bufio.NewScanner(bytes.NewReader(table))
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || !strings.HasPrefix(fields[1], prefix) || fields[3] == listening {
			continue // the queue of a listening socket counts connections
		}
		port, err := strconv.ParseUint(fields[1][len(prefix):], 16, 16)
		if err != nil {
			return 0, err
		}
		if slices.Contains(others, uint16(port)) {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		unread, err := strconv.ParseInt(queue, 16, 64)
		if err != nil {
			return 0, err
		}
		sum += unread
	}
	return sum, lines.Err()
}

// listening is the state of a listening socket in /proc/net/tcp.
const listening = "0A"

// Watch keeps the peaks of what a process holds until Stop is called.
type Watch struct {
	stop chan struct{}
	done chan struct{}

	mu   sync.Mutex // guards peak and err; a leaf lock
	peak Usage
	err  error
}

// watchInterval is the interval between two measurements.
const watchInterval = 20 * time.Millisecond

// NewWatch starts to measure a process as Measure does.
func NewWatch(pid int, ip string, others ...uint16) *Watch {
	w := &Watch{stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for {
			w.note(Measure(pid, ip, others...))
			select {
			case <-w.stop:
				return
			case <-time.After(watchInterval):
			}
		}
	}()
	return w
}

func (w *Watch) note(now Usage, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		if w.err == nil {
			w.err = err
		}
		return
	}
	if now.Memory() > w.peak.Memory() {
		w.peak.Resident, w.peak.Unread = now.Resident, now.Unread
	}
	w.peak.Descriptors = max(w.peak.Descriptors, now.Descriptors)
}

// Stop ends the watch. It returns the memory at its peak, the most descriptors, and the first error.
func (w *Watch) Stop() (Usage, error) {
	close(w.stop)
	<-w.done
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peak, w.err
}
