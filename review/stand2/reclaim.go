package main

import (
	"os"
	"time"

	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

// reclaimServers is the number of plain servers, of which zone z0 has reclaimedServers. They are gone goneAfter the notice.
const (
	reclaimServers, reclaimedServers = 8, 3
	goneAfter                        = 2500 * time.Millisecond
)

// reclaimedZone judges DRAIN: no request reaches a replica later than drainMs after the store's acknowledgement that it is gone.
func reclaimedZone(r *rig, trouble bool) (broken bool) {
	r.addServers(reclaimServers)
	for range 3 {
		r.start(true)
	}
	await(20*time.Second, "all entries are ready, and each names three", func() bool { return r.allNamed(3) })
	stop := r.sendAllTheTime()
	defer stop()
	time.Sleep(5 * time.Second)
	var leaving []*replica.Server
	count := reclaimedServers
	if os.Getenv("FEWER") != "" {
		count--
	}
	for _, server := range r.servers {
		if trouble && len(leaving) < count && r.zones[server.ID()] == "z0" {
			leaving = append(leaving, server)
		}
	}
	for _, server := range leaving {
		server.SetFaults(replica.Faults{Unregistered: true})
		r.api.Delete("servers", server.ID())
	}
	acknowledged := time.Now()
	r.note("the store has removed the entries of %d servers of zone z0, which never report draining and serve on for %v", len(leaving), goneAfter)
	time.Sleep(goneAfter)
	for _, server := range leaving {
		server.Crash()
	}
	r.note("they are gone")
	time.Sleep(3 * time.Second)
	stop()
	late := 0
	for _, server := range leaving {
		for _, run := range lateRuns(server, acknowledged.Add(drainTime)) {
			late++
			r.note("late: %s was run by %s %.3f s after the acknowledgement", run.ID, server.ID(), run.At.Sub(acknowledged).Seconds())
		}
	}
	r.noteRuns(acknowledged)
	r.note("%d requests reached them later than %v after the acknowledgement", late, drainTime)
	return late > 0
}
