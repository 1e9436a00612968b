package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// weakMemoryMB is the memory limit of an entry's process on the smallest machines, in MB.
	weakMemoryMB = 136
	// growths is how often the configuration grows by growthRoutes routes.
	growths, growthRoutes = 3, 1400
	// A storm lasts for stormTime, with a change each stormGap. The next one comes after stormPause.
	stormTime  = 4 * time.Second
	stormGap   = 330 * time.Millisecond
	stormPause = time.Second
	// stormsTime is how long storms come one after the other at most.
	stormsTime = 95 * time.Second
	// keptClients is how many clients use each entry, each over one connection. maxLost is how many of their requests may be lost at a machine.
	keptClients, maxLost = 8, 3
	// lookTime is how long a server works on a request.
	lookTime = 200 * time.Millisecond
	// maxValueBytes is the largest object that the store takes.
	maxValueBytes = 1 << 20
)

// wireRoute is a route as the operator writes it.
type wireRoute struct {
	Name            string `json:"name"`
	Hostname        string `json:"hostname"`
	PathPrefix      string `json:"pathPrefix"`
	RouteType       string `json:"routeType"`
	TimeoutMs       int    `json:"timeoutMs"`
	TargetLatencyMs int    `json:"targetLatencyMs"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	MaxAttempts     int    `json:"maxAttempts"`
	Public          bool   `json:"public"`
	Sticky          bool   `json:"sticky"`
	Resumable       bool   `json:"resumable"`
	GapTargetMs     int    `json:"gapTargetMs"`
}

// writeVersion writes a version of the configuration with a number of routes, and returns its size. Versions differ in a time-out.
func (g *rig) writeVersion(version, routes int) (size int, err error) {
	list := make([]wireRoute, 0, routes)
	for i := range routes {
		list = append(list, wireRoute{
			Name: fmt.Sprintf("r-%07d", i), Hostname: hostName, PathPrefix: fmt.Sprintf("/p%06d/", i), RouteType: "idempotent", TimeoutMs: 1200,
			TargetLatencyMs: 150, Priority: 2, Service: serviceName, MaxAttempts: 2,
		})
	}
	list[0].PathPrefix, list[0].TimeoutMs = "/look/", 1200+version%2
	spec := map[string]any{
		"version": version, "routes": list,
		"services": []map[string]any{{"name": serviceName, "healthPath": "/healthz", "maxConns": 953, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": "one", "apiKeys": []string{"key-one"}}},
	}
	body, err := json.Marshal(spec)
	if err != nil {
		return 0, err
	}
	if len(body) >= maxValueBytes {
		return 0, fmt.Errorf("the store takes no object of %d bytes", len(body))
	}
	g.api.Write("config", "main", json.RawMessage(body))
	return len(body), nil
}

// manyVersions lets the configuration grow, and change in storms. The platform kills a process that exceeds its memory; the process ends by itself then,
// and its machine counts as running for every rule.
func manyVersions(g *rig, logDir string, trouble bool) error {
	err := g.addServers(2, func(s *server, conn *net.TCPConn, q received) bool {
		g.running.Store(q.id, s.id)
		time.Sleep(lookTime)
		_, err := io.WriteString(conn, s.head(q)+"Content-Length: 5\r\n\r\nfound")
		return err == nil
	})
	if err != nil {
		return err
	}
	g.settings = []string{fmt.Sprintf("POND_MEMORY_MB=%d", weakMemoryMB), "POND_CORES=0.134", "POND_LINK_MBPS=14", "POND_RETRY_EXTRA=512"}
	version, routes := 1, 2
	if _, err := g.writeVersion(version, routes); err != nil {
		return err
	}
	if err := g.startEntries(logDir, 2); err != nil {
		return err
	}
	for range growths {
		version++
		routes += growthRoutes
		size, err := g.writeVersion(version, routes)
		if err != nil {
			return err
		}
		g.record.line("the configuration grows to %d routes, %d bytes (version %d)", routes, size, version)
		time.Sleep(time.Second)
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	exceeded := make(chan *entry, len(g.entries))
	for _, e := range g.entries {
		all.Go(func() {
			if g.awaitExcess(e, weakMemoryMB, stop) {
				exceeded <- e
			}
		})
		for i := range keptClients {
			all.Go(func() { g.useConnection(e, i, stop) })
		}
	}
	for end := time.Now().Add(stormsTime); time.Now().Before(end) && len(exceeded) == 0; {
		for stormEnd := time.Now().Add(stormTime); time.Now().Before(stormEnd); time.Sleep(stormGap) {
			if !trouble {
				continue
			}
			version++
			if _, err := g.writeVersion(version, routes); err != nil {
				return err
			}
		}
		g.record.line("version %d is the newest", version)
		time.Sleep(stormPause)
	}
	close(stop)
	all.Wait()
	for _, e := range g.entries {
		g.record.line("%s lost %d requests that it had passed on; answered with success: %d", e.name, e.lost.Load(), e.served.Load())
		if e.lost.Load() > maxLost {
			g.record.violation("LOST: %s closed %d kept connections without an answer to a request that it had passed on to a sound replica", e.name, e.lost.Load())
		}
	}
	return nil
}

// awaitExcess does what the platform does until stop is closed: it kills the process of an entry if it exceeds its memory. It reports whether it did.
func (g *rig) awaitExcess(e *entry, limitMB int, stop <-chan struct{}) bool {
	most, told := 0, 0
	for {
		select {
		case <-stop:
			g.record.line("%s: memory at its peak %d MB", e.name, most)
			return false
		case <-time.After(20 * time.Millisecond):
		}
		now := e.residentMB()
		if most = max(most, now); most >= told+20 {
			told = most
			g.record.line("%s uses %d MB", e.name, now)
		}
		if now > limitMB {
			g.record.line("%s uses %d MB of %d MB: the platform kills its process", e.name, now, limitMB)
			e.kill()
			return true
		}
	}
}

// useConnection sends requests over one connection until it ends or stop is closed, and counts those that were passed on and got no answer.
func (g *rig) useConnection(e *entry, client int, stop <-chan struct{}) {
	conn, err := net.DialTimeout("tcp", e.callers, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		q := request{method: "GET", path: "/look/1", id: fmt.Sprintf("look-%s-%d-%d", e.name, client, n), deadline: 2500 * time.Millisecond}
		_ = conn.SetDeadline(time.Now().Add(q.deadline))
		if _, err := io.WriteString(conn, q.text()); err != nil {
			return
		}
		got := readAnswer(conn, q, func(int) {})
		if got.isSuccess() {
			e.served.Add(1)
			continue
		}
		by, passedOn := g.running.Load(q.id)
		g.record.line("client gets %s: %v; run by %v", q.id, got, by)
		if got.status == 0 && passedOn && n > 0 {
			e.lost.Add(1)
		}
		if got.status == 0 {
			return
		}
	}
}
