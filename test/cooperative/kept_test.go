package cooperative

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/skylarkpond/skylarkpond/platform"
)

// end is how a request ended for its caller.
type end string

const (
	answered end = "answered"
	// closedUnanswered: the connection was closed in order without an answer, after the process had read the whole request.
	closedUnanswered end = "closed without an answer"
	// unread: the connection was reset, or closed before the request reached it.
	unread    end = "unread"
	truncated end = "truncated"
	// wrong: a success that is not the request's own whole answer, or the rejection of a proper request.
	wrong end = "wrong"
)

const (
	bookPath = "/book/x"
	chatPath = "/chat/x"
)

// manner is how a caller uses its connections.
type manner struct {
	path string
	// pause is the longest time before a request, the first one on a connection included.
	pause time.Duration
	// inside is the longest time between the two segments in which a request is sent; 0 sends it in one.
	inside time.Duration
	// patience is the longest time that a request says to have; 0 for none.
	patience time.Duration
}

// allManners are those of callers that differ.
var allManners = []manner{
	{path: bookPath},
	{path: bookPath, pause: 100 * time.Millisecond},
	{path: bookPath, inside: 300 * time.Millisecond},
	{path: chatPath},
	{path: bookPath, pause: 3 * time.Second},
}

// keptRequest is a request that was not answered as it should be.
type keptRequest struct {
	id          string
	end         end
	detail      string
	sent, ended time.Time
}

// keptLoad is callers that send one request after the other to an entry, on kept connections, until finish is called.
type keptLoad struct {
	entry *gatewayProcess
	// name begins the ids of the requests.
	name string
	// manners are those of the callers in turn; nil is the first of allManners.
	manners []manner
	seed    uint64

	done    chan struct{}
	callers sync.WaitGroup

	mu   sync.Mutex // guards what follows; a leaf lock
	ends map[end]int
	// failed are the requests that ended otherwise than answered or unread.
	failed []keptRequest
	// refused are the requests that were told not to have run; bookings are those that may run once.
	refused, bookings []string
}

func (l *keptLoad) start(callers int) {
	l.ends, l.done = make(map[end]int), make(chan struct{})
	if l.manners == nil {
		l.manners = allManners[:1]
	}
	for i := range callers {
		l.callers.Go(func() {
			caller := &keptCaller{
				load: l, manner: l.manners[i%len(l.manners)], name: fmt.Sprintf("kept-%s%s-%d", l.name, l.entry.name, i), random: rand.New(rand.NewPCG(l.seed, uint64(i))),
			}
			for !l.over() {
				conn, err := net.DialTimeout("tcp", l.entry.callers, 5*time.Second)
				if err != nil {
					time.Sleep(redialPause)
					continue // the entry takes no connections now
				}
				caller.use(conn)
			}
		})
	}
}

// redialPause is the time until a caller that could not connect tries again.
const redialPause = 10 * time.Millisecond

func (l *keptLoad) over() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// finish returns when the callers have got their last answers.
func (l *keptLoad) finish() {
	close(l.done)
	l.callers.Wait()
}

// keptCaller is one caller. One goroutine uses it.
type keptCaller struct {
	load   *keptLoad
	manner manner
	name   string
	random *rand.Rand
	// count is the number of requests that it has sent.
	count int
}

// wait pauses for up to a time.
func (c *keptCaller) wait(longest time.Duration) {
	if longest > 0 {
		time.Sleep(time.Duration(c.random.Int64N(int64(longest))))
	}
}

// use sends requests on a connection for as long as the entry keeps it.
func (c *keptCaller) use(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for !c.load.over() {
		c.wait(c.manner.pause)
		_ = conn.SetDeadline(time.Now().Add(generous))
		id := fmt.Sprint(c.name, "-", c.count)
		c.count++
		if !c.send(conn, id) {
			c.load.note(c.manner.path, keptRequest{id: id, end: unread}, 0)
			return
		}
		sent := time.Now()
		got := receive(conn, reader)
		got.judge(c.manner.path, id)
		c.load.note(c.manner.path, keptRequest{id: id, end: got.end, detail: fmt.Sprintf("%d %.80q", got.status, got.body), sent: sent, ended: time.Now()}, got.status)
		if got.end != answered || got.last {
			return
		}
	}
}

// send reports whether a request could be sent whole.
func (c *keptCaller) send(conn net.Conn, id string) bool {
	model := ""
	if c.manner.path == chatPath {
		model = fmt.Sprintf("%s: large\r\n%s: 100,100\r\n", platform.HeaderModel, platform.HeaderTokens)
	}
	deadline := ""
	if c.manner.patience > 0 {
		deadline = fmt.Sprintf("%s: %d\r\n", platform.HeaderDeadline, 500+c.random.Int64N(c.manner.patience.Milliseconds()))
	}
	request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: key\r\n%s%sContent-Length: 4\r\n\r\nbody",
		c.manner.path, platform.HeaderRequestID, id, platform.HeaderKey, model, deadline)
	if c.manner.inside > 0 {
		first := 1 + c.random.IntN(len(request)-1)
		if _, err := io.WriteString(conn, request[:first]); err != nil {
			return false
		}
		c.wait(c.manner.inside)
		request = request[first:]
	}
	_, err := io.WriteString(conn, request)
	return err == nil
}

func (l *keptLoad) note(path string, request keptRequest, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends[request.end]++
	if request.end != answered && request.end != unread {
		l.failed = append(l.failed, request)
	}
	if status == http.StatusServiceUnavailable && request.end == answered {
		l.refused = append(l.refused, request.id)
	}
	if path == bookPath {
		l.bookings = append(l.bookings, request.id)
	}
}

// received is what came back for a request on a kept connection.
type received struct {
	end    end
	status int
	body   string
	// last is set if the answer is the last one on its connection.
	last bool
}

// receive reads an answer.
func receive(conn net.Conn, reader *bufio.Reader) received {
	if _, err := reader.Peek(1); err != nil {
		if errors.Is(err, io.EOF) && closedInOrder(conn) {
			return received{end: closedUnanswered}
		}
		return received{end: unread}
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return received{end: truncated}
	}
	got := received{end: answered, status: response.StatusCode, last: response.Close}
	got.body, err = readAnswer(response.Body)
	if err != nil {
		got.end = truncated
	}
	return got
}

// judge tells answers that are wrong from others.
func (r *received) judge(path, id string) {
	whole := "answer to " + id
	if path == chatPath {
		whole = wholeStream(id)
	}
	switch {
	case r.end != answered:
	case r.status/100 == 2 && r.body != whole, r.status == http.StatusBadRequest, r.status == http.StatusUnauthorized, r.status == http.StatusNotFound:
		r.end = wrong
	}
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

// expectAnswered checks that every request which the entry has read was answered, and that what it was told is true.
func (l *keptLoad) expectAnswered(p *pond) {
	GinkgoHelper()
	l.mu.Lock()
	defer l.mu.Unlock()
	GinkgoWriter.Printf("%s: ends of requests: %v\n", l.entry.name, l.ends)
	Expect(l.ends[answered]).NotTo(BeZero())
	Expect(l.failed).To(BeEmpty())
	for _, id := range l.refused {
		Expect(p.world.RunCount(id)).To(BeZero(), "%s was told not to have run", id)
	}
	for _, id := range l.bookings {
		Expect(p.world.RunCount(id)).To(BeNumerically("<=", 1), id)
	}
	Expect(p.world.Violations()).To(BeEmpty())
}
