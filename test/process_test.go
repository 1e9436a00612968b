package test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/skylarkpond/skylarkpond/contract/admin"
	"github.com/skylarkpond/skylarkpond/examples"
	"github.com/skylarkpond/skylarkpond/internal/loopback"
)

// process is a process that the test started, and ends by its id.
type process struct {
	cmd    *exec.Cmd
	done   chan struct{}
	frozen atomic.Bool
}

// entryProcess is an entry.
type entryProcess struct {
	*process
	name   string
	public string
	admin  string
	// toPlatform is the entry's way to the platform.
	toPlatform *loopback.Proxy
	// args are those of its process, started is when each of its processes was started.
	args    []string
	started []time.Time
}

func start(dir, name string, args ...string) *process {
	GinkgoHelper()
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	Expect(err).NotTo(HaveOccurred())
	cmd := exec.Command(skylarkpond, args...)
	cmd.Stdout = log
	cmd.Stderr = log
	Expect(cmd.Start()).To(Succeed())
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// freeze stops the process, and returns once all of its threads stand: on a busy machine they go on for some
// milliseconds after the signal was sent.
func (p *process) freeze() {
	GinkgoHelper()
	p.frozen.Store(true)
	p.signal(syscall.SIGSTOP)
	Eventually(p.stopped, generous, "1ms").Should(BeTrue())
}

// stopped reports whether no thread of the process runs. Whoever looks into /proc instead makes the kernel take up to
// six seconds to end the process later.
func (p *process) stopped() bool {
	var info unix.Siginfo
	err := unix.Waitid(unix.P_PID, p.cmd.Process.Pid, &info, unix.WSTOPPED|unix.WNOWAIT|unix.WNOHANG, nil)
	return err == nil && info.Signo != 0
}

func (p *process) wake() {
	p.signal(syscall.SIGCONT)
	p.frozen.Store(false)
}

// works says that the process is neither ended nor frozen.
func (p *process) works() bool {
	select {
	case <-p.done:
		return false
	default:
		return !p.frozen.Load()
	}
}

func (p *process) terminate() { p.signal(syscall.SIGTERM) }

// ip is the address from which the entry speaks.
func (e *entryProcess) ip() netip.Addr {
	address, err := netip.ParseAddrPort(e.public[len("http://"):])
	Expect(err).NotTo(HaveOccurred())
	return address.Addr()
}

// status asks the entry for all that it knows of the others.
func (e *entryProcess) status() (admin.Status, error) {
	var status admin.Status
	request, err := http.NewRequest(http.MethodGet, e.admin+admin.StatusPath, nil)
	if err != nil {
		return status, err
	}
	request.Header.Set("Authorization", "Bearer "+examples.DevOperatorKey)
	response, err := (&http.Client{Timeout: 10 * time.Second}).Do(request)
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return status, fmt.Errorf("status %d", response.StatusCode)
	}
	return status, json.NewDecoder(response.Body).Decode(&status)
}

// live returns the names of the entries that this one holds live.
func (e *entryProcess) live() ([]string, error) {
	status, err := e.status()
	var live []string
	for _, other := range status.Entries {
		if other.Live {
			live = append(live, other.Name)
		}
	}
	return live, err
}

// homeOf returns the homes of a service's groups, by group.
func (e *entryProcess) homesOf(service string) map[string]string {
	GinkgoHelper()
	status, err := e.status()
	Expect(err).NotTo(HaveOccurred())
	homes := make(map[string]string)
	for _, group := range status.Groups {
		if group.Service == service {
			homes[string(group.ID)] = group.Home
		}
	}
	return homes
}
