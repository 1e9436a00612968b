// Package cooperative holds the failure tests of entries on the cooperative's platform: real processes before stand-ins, which are killed,
// stopped and signalled while callers are served. What ran is judged by the stand-in servers.
package cooperative

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/skylarkpond/skylarkpond/platform/standin/objects"
	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

var _ = Describe("Entries on the cooperative's platform", func() {
	It("serve streams whole and run bookings once, and are all named to callers", func() {
		p := newPond(3, 7)
		p.awaitServing(2)
		for _, got := range streams(p.entries, 12, "calm") {
			Expect(got.whole()).To(BeTrue(), "%+v", got)
		}
		for i := range 9 {
			id := fmt.Sprint("booking-", i)
			Expect(p.entries[i%3].send("/book/x", id).status).To(Equal(http.StatusOK))
			Expect(p.world.RunCount(id)).To(Equal(1))
		}
		Eventually(p.entries[0].named, generous).Should(HaveLen(3))
		Expect(p.world.Violations()).To(BeEmpty())
	})

	// The entry in charge is killed while streams run, and a member of a group dies before another entry has taken over. Callers of the
	// other entries would wait in a group that stands still, which nobody is there to mend.
	It("go on and mend a group after the entry in charge was killed", func() {
		p := newPond(4, 7)
		p.awaitServing(2)
		leader, rest := p.leaderAndRest()
		results := make(chan []sent, 1)
		go func() { results <- streams(rest, 6, "killed") }()
		time.Sleep(200 * time.Millisecond)
		leader.signal(syscall.SIGKILL)
		for _, engine := range p.engines {
			if group := engine.Group(); group != nil && group.State == "ready" && group.Rank == 1 {
				engine.Crash()
				break
			}
		}
		for _, got := range <-results {
			Expect(got.status).To(BeElementOf(http.StatusOK, http.StatusServiceUnavailable, http.StatusBadGateway), "%+v", got)
		}
		p.entries = rest
		Eventually(p.leader, generous).ShouldNot(BeNil())
		p.awaitServing(2)
		Expect(p.world.Violations()).To(BeEmpty())
	})

	// An entry is stopped for an upgrade while callers read their answers from it.
	It("cut no stream when one of them is stopped, and no longer name it", func() {
		p := newPond(3, 7)
		p.awaitServing(2)
		Eventually(p.entries[1].named, generous).Should(HaveLen(3))
		stopped := p.entries[0]
		results := make(chan []sent, 1)
		go func() { results <- streams([]*gatewayProcess{stopped}, 5, "stopped") }()
		time.Sleep(200 * time.Millisecond)
		stopped.signal(syscall.SIGTERM)
		Eventually(stopped.isReady, generous).Should(BeFalse())
		for _, got := range <-results {
			Expect(got.whole()).To(BeTrue(), "%+v", got)
		}
		Eventually(stopped.ended(), generous).Should(BeClosed())
		Eventually(p.entries[1].named, generous).ShouldNot(ContainElement(stopped.callers))
	})

	// An entry is stopped while callers who hold its address keep coming. What it takes late does not end inside the grace, and the caller
	// gets a part of an answer, where another entry would have given the whole.
	It("take nothing so late that it would be cut when the grace is over", func() {
		p := newPond(2, 4)
		for _, engine := range p.engines {
			engine.SetStream(120, 100*time.Millisecond)
		}
		Eventually(p.openGroups, generous).Should(Equal(1))
		stopped := p.entries[0]
		Eventually(func() int { return stopped.send("/book/x", "probe").status }, generous).Should(Equal(http.StatusOK))
		stopped.signal(syscall.SIGTERM)
		results := make(chan sent, 100)
		var asked sync.WaitGroup
		for i := 0; ; i++ {
			if _, err := net.DialTimeout("tcp", stopped.callers, time.Second); err != nil {
				break // it takes nothing any more
			}
			asked.Go(func() { results <- stopped.send("/chat/x", fmt.Sprint("late-", i)) })
			time.Sleep(1200 * time.Millisecond)
		}
		asked.Wait()
		close(results)
		for got := range results {
			Expect(got.status == http.StatusOK && got.err != nil).To(BeFalse(), "%s was cut after %d bytes: %v", got.id, len(got.body), got.err)
		}
	})

	// An entry stands still for longer than callers may take to send a request, as a suspended VM does. A caller had connected before and
	// sends its request meanwhile. When the entry goes on, it would reset the connection with the request unread.
	It("answer what arrived while one of them stood still", func() {
		p := newPond(2, 4)
		p.awaitServing(1)
		frozen := p.entries[1]
		var conns []net.Conn
		for range 40 {
			conn, err := net.Dial("tcp", frozen.callers)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
			_, err = conn.Write([]byte("GET /nowhere/ HTTP/1.1\r\n")) // the entry has begun to read: what it waits for is timed
			Expect(err).NotTo(HaveOccurred())
			conns = append(conns, conn)
		}
		time.Sleep(300 * time.Millisecond)
		frozen.signal(syscall.SIGSTOP)
		for _, conn := range conns {
			_, err := conn.Write([]byte("Host: h.example\r\n\r\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		time.Sleep(stoodStill)
		frozen.signal(syscall.SIGCONT)
		for _, conn := range conns {
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.StatusCode).To(Equal(http.StatusNotFound))
		}
	})

	// A booking crashes each server that begins to run it, and its caller sends it again and again, to one entry after the other. All servers
	// would be gone after some seconds, with the bookings of everyone else.
	It("hold back a request that crashes servers, and serve the others", func() {
		p := newPond(3, 4)
		p.awaitServing(1)
		const poison = "poison"
		for i := range 6 {
			desk := p.world.Start(p.api, replica.Config{ID: fmt.Sprint("spare-desk-", i), Service: "desk", Zone: "z", Slots: 6})
			DeferCleanup(desk.Close)
			p.desks = append(p.desks, desk)
		}
		for _, desk := range p.desks {
			desk.SetFaults(replica.Faults{CrashOn: poison})
		}
		refused := 0
		Eventually(func() int {
			got := p.entries[refused%3].sendBody("/book/x", "poison", poison)
			if got.status == http.StatusServiceUnavailable && got.retry == "60.000" {
				refused++
			}
			return refused
		}, generous, "300ms").Should(Equal(6))
		Expect(p.world.RunCount("poison")).To(BeNumerically("<=", 5))
		for i := range 6 {
			Expect(p.entries[i%3].send("/book/x", fmt.Sprint("after-", i)).status).To(Equal(http.StatusOK))
		}
	})

	// A process gets the signal in its first milliseconds. If it does not handle the signal yet, it ends, and its callers wait until it is
	// started again.
	It("survive a signal to read the settings anew that comes while they read their arguments", func() {
		output, input, err := os.Pipe()
		Expect(err).NotTo(HaveOccurred())
		defer output.Close()
		size, err := unix.FcntlInt(input.Fd(), unix.F_SETPIPE_SZ, os.Getpagesize())
		Expect(err).NotTo(HaveOccurred())
		command := exec.Command(skylarkpond, "gateway", "--help")
		command.Args[0] = strings.Repeat("x", 2*size) // a part of the help, which the pipe can't hold: it waits there for its reader
		command.Stdout = input
		Expect(command.Start()).To(Succeed())
		Expect(input.Close()).To(Succeed())
		Eventually(func() (int, error) { return unix.IoctlGetInt(int(output.Fd()), unix.TIOCINQ) }, generous, "1ms").Should(BeNumerically(">", 0))
		Expect(command.Process.Signal(syscall.SIGHUP)).To(Succeed())
		_, err = io.Copy(io.Discard, output)
		Expect(err).NotTo(HaveOccurred())
		Expect(command.Wait()).To(Succeed())
	})

	It("keep working after a signal to read the settings anew", func() {
		p := newPond(2, 4)
		p.awaitServing(1)
		for _, e := range p.entries {
			e.signal(syscall.SIGHUP)
		}
		for _, got := range streams(p.entries, 4, "reload") {
			Expect(got.whole()).To(BeTrue(), "%+v", got)
		}
		for _, e := range p.entries {
			Expect(e.log.String()).To(ContainSubstring("reload"))
		}
	})

	// The platform is away for some seconds. Nothing that callers get hangs on it, and a configuration that was accepted right after its return
	// is in force everywhere soon.
	It("serve on while the platform is away, and take the next configuration when it is back", func() {
		p := newPond(3, 7)
		p.awaitServing(2)
		p.api.SetFaults(objects.Faults{Unresponsive: true})
		for round := range 3 {
			for _, got := range streams(p.entries, 6, fmt.Sprint("away", round)) {
				Expect(got.whole()).To(BeTrue(), "%+v", got)
			}
		}
		p.api.SetFaults(objects.Faults{})
		p.configure("/added/")
		for _, e := range p.entries {
			Eventually(func() int { return e.send("/added/x", "added-"+e.name).status }, generous).Should(Equal(http.StatusOK))
		}
		Expect(p.world.Violations()).To(BeEmpty())
	})
})
