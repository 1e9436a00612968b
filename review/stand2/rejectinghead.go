package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/internal/loopback"
	"github.com/skylarkpond/skylarkpond/platform"
	"github.com/skylarkpond/skylarkpond/platform/standin/operator"
	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

const (
	// groupSize is the size of a group, modelServers the number of model servers: two groups and one spare.
	groupSize, modelServers = 3, 7
	// registrationLapses is how long after its last heartbeat a registration is removed: three heartbeats of 1.2 s.
	registrationLapses = 3600 * time.Millisecond
	// cutTime is how long the head is cut off, rejectTime how long it rejects rejectedShare of what it is asked, from the lapse on.
	cutTime, rejectTime = 10 * time.Second, 6 * time.Second
	rejectedShare       = 0.46
	// rounds is how often that happens, with calmTime between.
	rounds   = 6
	calmTime = 4 * time.Second
)

// modelServices adds a service whose servers form groups.
func (r *rig) modelServices() (proxies map[string]*loopback.Proxy) {
	proxies = make(map[string]*loopback.Proxy)
	for i := range modelServers {
		id := fmt.Sprint("vm-", i)
		r.servers = append(r.servers, r.world.Start(r.api, replica.Config{
			ID: id, Service: "chat", Zone: "z0", Domain: "d", Slots: 8, Engine: true, Staged: []string{"large"},
			JoinTime: 200 * time.Millisecond, OpenTime: 300 * time.Millisecond, ReportLag: 200 * time.Millisecond,
			Events: 20, EventInterval: 25 * time.Millisecond,
			ProxyAddress: func(address string) string {
				proxy, err := loopback.NewProxy("127.0.0.1:0", address)
				must(err)
				proxies[id] = proxy
				return proxy.Address()
			},
		}))
	}
	config := r.config(2)
	config.Routes = append(config.Routes, operator.Route{
		Name: "chat", Host: "h.example", PathPrefix: "/chat/", Kind: operator.Streaming, Service: "chat", Timeout: 5000, LatencyTarget: 200,
		EventGapTarget: 200, MaxAttempts: 2, Resumable: true,
	})
	config.Services = append(config.Services, operator.Service{Name: "chat", Engine: &operator.Engine{
		Slots: 8, LoadsPerSecond: 4, LoadsAtOnce: 6, OpenTime: 300, ReportLag: 200,
		Models: []operator.Model{{Name: "large", Size: groupSize, DemandShare: 1, TimeFactor: 1, LoadTime: 1, WarmLoadTime: 0.2}},
	}})
	operator.Write(r.api, config)
	return proxies
}

// rejectingHead judges TWO: no replica takes a join of another group while the head of its group is open.
func rejectingHead(r *rig, trouble bool) (broken bool) {
	proxies := r.modelServices()
	defer func() {
		for _, proxy := range proxies {
			_ = proxy.Close()
		}
	}()
	for range 3 {
		r.start(true)
	}
	await(20*time.Second, "all entries are ready, and each names three", func() bool { return r.allNamed(3) })
	stop := r.streamAllTheTime()
	defer stop()
	for round := range rounds {
		await(30*time.Second, "two groups are open", func() bool { return len(r.openHeads()) == 2 })
		time.Sleep(calmTime)
		if trouble {
			r.cutHead(proxies, round+1)
		} else {
			time.Sleep(cutTime)
		}
		for _, violation := range r.world.Violations() {
			r.note("violation: %s", violation)
		}
		if len(r.world.Violations()) > 0 {
			return true
		}
	}
	return false
}

// cutHead cuts a head off from the store and from the leader alone, and lets it reject a part of what others ask it. It ends both before it returns.
func (r *rig) cutHead(proxies map[string]*loopback.Proxy, round int) {
	heads, leader := r.openHeads(), r.leader()
	if len(heads) == 0 || leader == nil {
		return
	}
	head := heads[0]
	leaderIP, _, err := net.SplitHostPort(leader.callers)
	must(err)
	began := time.Now()
	r.note("round %d: %s, head of an open group, is cut off from the store and from %s, the leader; the other entries reach it", round, head.ID(), leader.name)
	proxies[head.ID()].SetSourceFaults(leaderIP, loopback.Faults{StallAll: true})
	head.SetFaults(replica.Faults{Unregistered: true})
	time.Sleep(registrationLapses)
	if os.Getenv("REJECT") != "0" {
		head.Shed(&replica.Shedding{Ask: []string{"0"}, Control: true, From: func(string) bool { return rand.Float64() < rejectedShare }})
		r.note("round %d: its registration lapses; it rejects %v of what it is asked with 503", round, rejectedShare)
	}
	r.api.Delete("servers", head.ID())
	time.Sleep(rejectTime)
	r.note("round %d: the group of %s is %s; it has rejected %d", round, head.ID(), describeGroup(head), head.TurnedAway())
	head.Shed(nil)
	time.Sleep(time.Until(began.Add(cutTime)))
	proxies[head.ID()].ClearSourceFaults(leaderIP)
	head.SetFaults(replica.Faults{})
	r.note("round %d: both end", round)
}

func describeGroup(server *replica.Server) string {
	group := server.Group()
	if group == nil {
		return "none"
	}
	return group.Name + " " + group.State
}

// openHeads returns the heads of the open groups.
func (r *rig) openHeads() (heads []*replica.Server) {
	for _, server := range r.servers {
		if group := server.Group(); group != nil && group.Rank == 0 && group.State == "open" {
			heads = append(heads, server)
		}
	}
	return heads
}

// leader returns the entry that holds the lease.
func (r *rig) leader() *entry {
	lease, ok := r.api.Get("leases", "grouping")
	var holder struct{ Entry string }
	if !ok || json.Unmarshal(lease, &holder) != nil {
		return nil
	}
	for _, e := range r.running() {
		if e.name == holder.Entry {
			return e
		}
	}
	return nil
}

// streamAllTheTime lets callers send streams to all entries until the function that is returned is called.
func (r *rig) streamAllTheTime() (stop func()) {
	stopped := make(chan struct{})
	var sending sync.WaitGroup
	entries := r.running()
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range senders {
		sending.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stopped:
					return
				case <-time.After(100 * time.Millisecond):
				}
				id := fmt.Sprintf("chat-%d-%d", i, n)
				status, err := sendStream(client, entries[i%len(entries)].callers, id)
				r.note("stream %s to %s: status %d %v", id, entries[i%len(entries)].name, status, err)
			}
		})
	}
	var once sync.Once
	return func() {
		once.Do(func() {
			close(stopped)
			sending.Wait()
		})
	}
}

func sendStream(client *http.Client, address, id string) (status int, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/chat/x", strings.NewReader("prompt"))
	must(err)
	request.Host = "h.example"
	request.Header.Set(platform.HeaderRequestID, id)
	request.Header.Set(platform.HeaderKey, tenantKey)
	request.Header.Set(platform.HeaderModel, "large")
	request.Header.Set(platform.HeaderTokens, "100,100")
	request.Header.Set(platform.HeaderDeadline, "5000")
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	var buffer [4 << 10]byte
	for err == nil {
		_, err = response.Body.Read(buffer[:])
	}
	if err.Error() == "EOF" {
		err = nil
	}
	return response.StatusCode, err
}
