package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/platform/standin/operator"
)

const (
	// memoryMB is the memory limit of an entry's process, in MB.
	memoryMB = 206
	// usualClients is how many clients send a long request to an entry at once, burstClients how many in a burst (1.7 times as many).
	usualClients = 13
	burstClients = 22
	// A client sends partBytes every partPause, 16 Mbit/s.
	partBytes = 64 << 10
	partPause = 32 * time.Millisecond
	waves     = 3
	// restartDelay is how long after its end the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	// maxOwnEnds is how many ends of processes of their own on each of two machines are a fault.
	maxOwnEnds = 3
)

// longRequests sends entries long requests, each within the limit of the configuration. In bursts, 1.7 times as many come at once. The platform
// kills a process that exceeds its memory; that counts as an end of its own.
func longRequests(g *rig, logDir string, trouble bool) error {
	err := g.addServers(3, func(s *server, conn *net.TCPConn, q received) bool {
		time.Sleep(workTime)
		body := fmt.Sprintf("read %d bytes", q.bodyBytes)
		_, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", s.head(q), len(body), body)
		return err == nil
	})
	if err != nil {
		return err
	}
	err = g.deploy(logDir, 2, operator.Route{
		Name: "book", Host: hostName, PathPrefix: "/book/", Kind: operator.NonIdempotent, Service: serviceName, Timeout: 8000, LatencyTarget: 300, MaxAttempts: 1,
	})
	if err != nil {
		return err
	}
	clients := usualClients
	if trouble {
		clients = burstClients
	}
	ends := make(map[*entry]int)
	for wave := range waves {
		var both sync.WaitGroup
		var mu sync.Mutex // guards ends
		for _, e := range g.entries {
			both.Go(func() {
				if ended := g.wave(e, clients, wave); ended {
					mu.Lock()
					defer mu.Unlock()
					ends[e]++
				}
			})
		}
		both.Wait()
		for _, e := range g.entries {
			if err := await(e.name+" is ready", 15*time.Second, e.isReady); err != nil {
				return err
			}
		}
		time.Sleep(listTime)
	}
	machines := 0
	for _, e := range g.entries {
		g.record.line("the process of %s exceeded its memory %d times", e.name, ends[e])
		if ends[e] >= maxOwnEnds {
			machines++
		}
	}
	if machines >= 2 {
		g.record.violation("Fault: on %d of %d machines processes ended by themselves %d times (memory over the limit)", machines, len(g.entries), maxOwnEnds)
	}
	return nil
}

// wave sends long requests to an entry at once, and reports whether its process exceeded its memory.
func (g *rig) wave(e *entry, clients, number int) (ended bool) {
	body := strings.Repeat("b", maxBodyBytes)
	var all sync.WaitGroup
	var mu sync.Mutex // guards the counts
	whole, lost := 0, 0
	for i := range clients {
		all.Go(func() {
			q := request{method: "POST", path: "/book/1", id: fmt.Sprintf("%s-%d-%d", e.name, number, i), body: body, deadline: 8 * time.Second}
			got := sendInParts(e.callers, q)
			mu.Lock()
			defer mu.Unlock()
			if got.isSuccess() {
				whole++
			} else {
				lost++
			}
		})
	}
	done := make(chan struct{})
	go func() {
		all.Wait()
		close(done)
	}()
	ended = g.watchMemory(e, done)
	<-done
	g.record.line("%s: of %d requests of %d bytes, %d were answered with success and %d weren't", e.name, clients, maxBodyBytes, whole, lost)
	return ended
}

// watchMemory does what the platform does until done is closed: it kills the process of an entry if it exceeds its memory, and starts it again.
func (g *rig) watchMemory(e *entry, done <-chan struct{}) (ended bool) {
	most := 0
	for {
		select {
		case <-done:
			g.record.line("%s: memory at its peak %d MB", e.name, most)
			return ended
		case <-time.After(20 * time.Millisecond):
		}
		now := e.residentMB()
		most = max(most, now)
		if now <= memoryMB {
			continue
		}
		ended = true
		g.record.line("%s uses %d MB of %d MB: the platform kills its process", e.name, now, memoryMB)
		e.kill()
		time.Sleep(restartDelay)
		if err := e.start(); err != nil {
			g.record.line("%s does not start: %v", e.name, err)
		}
	}
}

// residentMB returns the resident memory of the entry's process, as the platform sees it; 0 if it can't be read.
func (e *entry) residentMB() int {
	process, _ := e.process()
	if process == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.Atoi(strings.Fields(rest)[0])
			if err != nil {
				return 0
			}
			return kb / 1024
		}
	}
	return 0
}

// sendInParts sends a request at the speed of a client's link.
func sendInParts(address string, q request) answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(q.deadline))
	for text := q.text(); len(text) > 0; time.Sleep(partPause) {
		n := min(len(text), partBytes)
		if _, err := io.WriteString(conn, text[:n]); err != nil {
			return answer{err: err}
		}
		text = text[n:]
	}
	return readAnswer(conn, q, func(int) {})
}
