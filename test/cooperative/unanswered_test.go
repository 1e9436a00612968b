package cooperative

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/skylarkpond/skylarkpond/logline"
	"github.com/skylarkpond/skylarkpond/platform"
	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

var _ = Describe("Entries that are stopped under load", func() {
	// Guards against requests that a stopping process reads whole and closes without an answer.
	It("answer each request that they read, also when they are starved of processor time", func() {
		p := newPond(3, 4)
		p.awaitServing(1)
		stopped := p.entries[0]
		load := &keptLoad{entry: stopped}
		load.start(150)
		time.Sleep(time.Second)
		stopped.signal(syscall.SIGTERM)
		throttle(stopped, runTime)
		Eventually(stopped.ended(), generous).Should(BeClosed())
		load.callers.Wait()
		GinkgoWriter.Printf("ends of connections: %v\n", load.ends)
		Expect(load.ends[answered]).NotTo(BeZero())
		Expect(load.ends[closedUnanswered]).To(BeZero())
		Expect(load.ends[truncated]).To(BeZero())
	})

	// Guards against requests that end with the process although they could be answered, since it was suspended when it should have done so.
	It("answer what they can't finish, also when they were suspended until they should have exited", func() {
		p := newPond(1, 0)
		p.settings = []string{"POND_STOP_GRACE=1"}
		stopped := p.startEntry(1)
		Eventually(func() int { return stopped.send("/book/x", "first").status }, generous).Should(Equal(http.StatusOK))
		for _, desk := range p.desks {
			desk.SetFaults(replica.Faults{Unresponsive: true})
		}
		const requests = 200
		status := make(chan int, requests)
		for i := range requests {
			go func() { status <- stopped.send("/book/x", fmt.Sprint("suspended-", i)).status }()
		}
		time.Sleep(200 * time.Millisecond) // it is at a server
		stopped.signal(syscall.SIGTERM)
		time.Sleep(200 * time.Millisecond)
		stopped.signal(syscall.SIGSTOP)
		time.Sleep(800 * time.Millisecond)
		stopped.signal(syscall.SIGCONT)
		throttle(stopped, runTime/4)
		counts := map[int]int{}
		for range requests {
			counts[<-status]++
		}
		Expect(counts).NotTo(HaveKey(0))
		Expect(stopped.log.String()).NotTo(ContainSubstring(logline.RequestUnfinished))
		Eventually(stopped.ended(), generous).Should(BeClosed())
	})
})

const (
	runTime   = 20 * time.Millisecond
	pauseTime = 80 * time.Millisecond
)

// throttle lets a process run for a time between pauses, until it ends.
func throttle(e *gatewayProcess, run time.Duration) {
	process, ended := e.process(), e.ended()
	go func() {
		for {
			_ = process.Signal(syscall.SIGSTOP)
			time.Sleep(pauseTime)
			_ = process.Signal(syscall.SIGCONT)
			select {
			case <-ended:
				return
			case <-time.After(run):
			}
		}
	}()
}

// end is how a request ended for its caller.
type end string

const (
	answered end = "answered"
	// closedUnanswered: the connection was closed in order without an answer, after the process had read the whole request.
	closedUnanswered end = "closed without an answer"
	// unread: the connection was reset, or closed before the request reached it.
	unread    end = "unread"
	truncated end = "truncated"
)

// keptLoad is callers that send one request after the other to an entry, on kept connections.
type keptLoad struct {
	entry   *gatewayProcess
	callers sync.WaitGroup

	mu   sync.Mutex // guards ends; a leaf lock
	ends map[end]int
}

func (l *keptLoad) start(callers int) {
	l.ends = make(map[end]int)
	for i := range callers {
		l.callers.Go(func() {
			defer GinkgoRecover()
			for n := 0; ; {
				conn, err := net.DialTimeout("tcp", l.entry.callers, 5*time.Second)
				if err != nil {
					return // the entry takes no connections any more
				}
				n = l.useConnection(conn, fmt.Sprintf("kept-%d", i), n)
			}
		})
	}
}

// useConnection sends requests on a connection for as long as the entry keeps it, and returns the number of the next request.
func (l *keptLoad) useConnection(conn net.Conn, caller string, n int) int {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for ; ; n++ {
		_ = conn.SetDeadline(time.Now().Add(generous))
		request := fmt.Sprintf("POST /book/x HTTP/1.1\r\nHost: h.example\r\n%s: %s-%d\r\n%s: key\r\nContent-Length: 4\r\n\r\nbody",
			platform.HeaderRequestID, caller, n, platform.HeaderKey)
		if _, err := io.WriteString(conn, request); err != nil {
			l.note(unread)
			return n + 1
		}
		how, last := receive(conn, reader)
		l.note(how)
		if how != answered || last {
			return n + 1
		}
	}
}

func (l *keptLoad) note(how end) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends[how]++
}

// receive reads an answer, and reports whether it is the last one on its connection.
func receive(conn net.Conn, reader *bufio.Reader) (how end, last bool) {
	if _, err := reader.Peek(1); err != nil {
		if errors.Is(err, io.EOF) && closedInOrder(conn) {
			return closedUnanswered, true
		}
		return unread, true
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return truncated, true
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return truncated, true
	}
	return answered, response.Close
}

// resetDelay is above the time in which a reset arrives on the loopback network.
const resetDelay = 50 * time.Millisecond

// closedInOrder reports whether the peer, which has ended its side, has read all that was sent: otherwise a reset follows.
func closedInOrder(conn net.Conn) bool {
	time.Sleep(resetDelay)
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	var info *unix.TCPInfo
	controlErr := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	return controlErr == nil && err == nil && info.State == tcpCloseWait
}

// tcpCloseWait is the state of a connection whose peer has closed it in order.
const tcpCloseWait = 8
